package node

import (
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hitchvale/internal/httpframing"
	"hitchvale/internal/lograte"
	"hitchvale/internal/siteconfig"
)

const (
	// headWithin is how long a client may take to send a head, and messageWithin a whole request, counted from
	// connecting or from the first byte of a later one: who sends nothing proper has to hear so within 3 s.
	headTimeout, requestReadTimeout = 2600 * time.Millisecond, 2800 * time.Millisecond
	// headPatience is how many times as long a connection may keep the node waiting within a head as without one.
	slowHeadFactor = 4
	// idleWithin is how long a client may keep a connection without a request.
	keepAliveTimeout = 30 * time.Second
	// lingerMost is how much of a body is read that nobody wants: closing on unread bytes is a reset, which may
	// overtake the answer.
	maxDiscardedBody = 4 * maxBodyBytes
	// answerWithin is how long a client may take to read its answer.
	responseWriteTimeout = 5 * time.Second
	// fullRetry is when a client may come back that was refused because the node is full.
	overloadRetryAfter = 250 * time.Millisecond
)

// front is the client side: it reads requests, has the loop decide and writes the answers.
type clientServer struct {
	loop        *eventLoop
	settings    siteconfig.Settings
	log         *slog.Logger
	warnings    *lograte.Limited
	maxInFlight int64 // requests at once
	inFlight    atomic.Int64
	figures     *figures
	evictAbove  int               // so many connections that idle ones give way
	shutdown    *shutdownSchedule // what is taken, and answered by when, once the process is told to end
	handedOver  atomic.Bool       // another process accepts its connections
	streaming   bool              // bodies of any length are streamed, and connections kept in a crowd
	bodyMemory  *memoryBudget     // of requests kept whole
	fleet       *fleetPart        // nil: none
	closeCounts *closeCounters

	mu           sync.Mutex
	conns        map[net.Conn]time.Time // connections of clients; since when one is idle, zero while it is not
	awaitingHead map[net.Conn]bool      // those that have not brought a whole head yet
}

// newFront returns the client side for a node that may hold so many connections of clients.
func newClientServer(eventLoop *eventLoop, settings siteconfig.Settings, maxConns int, log *slog.Logger) *clientServer {
	eventLoop.shutdown = newShutdownSchedule(settings)
	// Each request in flight may need a connection to a backend, beside those of probes.
	return &clientServer{loop: eventLoop, shutdown: eventLoop.shutdown, figures: eventLoop.figures, bodyMemory: newMemoryBudget(0), settings: settings, log: log,
		warnings: &lograte.Limited{Log: log}, closeCounts: &eventLoop.figures.closes, maxInFlight: int64(maxConns) * 7 / 8, evictAbove: maxConns * 3 / 4,
		conns: map[net.Conn]time.Time{}, awaitingHead: map[net.Conn]bool{}}
}

// server returns the HTTP server of the client side.
func (f *clientServer) httpServer() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       keepAliveTimeout,
		WriteTimeout:      requestReadTimeout + longestDeadline(f.settings) + responseWriteTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         f.trackState,
		ConnContext:       withClientConn,
		// "OPTIONS *" is no request of a client either: the library would answer it with 200.
		DisableGeneralOptionsHandler: true,
	}
}

// track follows the connections of clients. When they become many, the one that has been idle longest is closed:
// else a crowd that keeps its connections would lock out who has something to ask.
func (f *clientServer) trackState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.awaitingHead, c)
	switch s {
	case http.StateNew, http.StateActive:
		f.conns[c] = time.Time{}
		if s == http.StateNew {
			f.awaitingHead[c] = true
		}
	case http.StateIdle:
		f.conns[c] = time.Now()
		if b, ok := c.(*limitedConn); ok {
			b.client.markIdle()
		}
	case http.StateClosed, http.StateHijacked:
		delete(f.conns, c)
		if b, ok := c.(*limitedConn); ok && f.fleet != nil {
			f.fleet.closed(b.client)
		}
	}
	if s == http.StateNew && len(f.conns) > f.evictAbove {
		f.evictSlowest()
	}
}

// ServeHTTP answers one request of a client.
func (f *clientServer) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	if f.shutdown.started() || f.handedOver.Load() || f.nearConnLimit() {
		// Closing after an answer crosses no request, as closing an idle connection may.
		w.Header().Set("Connection", "close")
	}
	h, open := requestHead(hr, received)
	if !open {
		panic(http.ErrAbortHandler) // nobody can be answered
	}
	// Set before anything else: what the library does with an unread body would wait for it without end.
	http.NewResponseController(w).SetReadDeadline(h.Start.Add(requestReadTimeout))
	if h.Fault != "" {
		f.warnings.Warn("request refused for its framing", "trouble", h.Fault, "from", hr.RemoteAddr)
		rejectMalformed(w, hr, http.StatusBadRequest, h.Fault) // nobody can tell where the next request would begin
		return
	}
	if h.Final {
		w.Header().Set("Connection", "close")
	}
	switch hr.URL.Path {
	case "/health/ready":
		f.writeHealth(w, f.loop.ready.Load() && (f.handedOver.Load() || !f.shutdown.started()))
		return
	case "/health/live":
		f.writeHealth(w, true)
		return
	}
	if f.inFlight.Add(1) > f.maxInFlight {
		f.inFlight.Add(-1)
		w.Header().Set("Connection", "close")
		writeRejected(w, overloadRetryAfter)
		if class := slices.Index(f.settings.Classes, hr.Header.Get("X-Qos")); class >= 0 {
			f.figures.count(class, responseRejected)
		}
		return
	}
	defer f.inFlight.Add(-1)
	r, err := f.readRequest(w, hr, h.Start)
	late := !f.shutdown.admits()
	if err != nil {
		status := statusOf(err)
		if late && status == http.StatusRequestTimeout {
			status = http.StatusServiceUnavailable // cut short here: nothing was done for it
		}
		rejectMalformed(w, hr, status, err.Error())
		return
	}
	defer f.bodyMemory.release(r.bodyBytes)
	if c, ok := clientConnOf(hr.Context()); ok {
		if r.forwarded.upload == nil && c.peerClosed() {
			panic(http.ErrAbortHandler) // while it waited to be read: nobody wants what would be done for it
		}
		if f.fleet != nil {
			f.fleet.asked(c, r)
		}
	}
	if late {
		f.warnings.Warn("request refused: this process is about to end", "request", r.id, "class", r.class)
		f.figures.count(r.class, responseRejected)
		rejectMalformed(w, hr, http.StatusServiceUnavailable, "this process is about to end")
		return
	}
	if r.forwarded.upload != nil {
		// The answer may come before the body's end, and nothing can follow it then.
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).EnableFullDuplex()
	}
	f.injectDropInDrain()
	f.dispatch(w, hr, r)
}

// requestHead returns what the head of a request says of its end; open is false if this side has closed the connection.
func requestHead(hr *http.Request, received time.Time) (head httpframing.Head, open bool) {
	if c, ok := clientConnOf(hr.Context()); ok {
		return c.takeHead()
	}
	return httpframing.Head{Start: received}, true
}

// serve has the loop decide on a request and passes on the one final answer.
func (f *clientServer) dispatch(w http.ResponseWriter, hr *http.Request, r *request) {
	end, u := responseFailed, r.forwarded.upload
	begin, over := f.figures.pend()
	if u == nil {
		begin()
	} else {
		u.onComplete = begin // a request is taken with its last byte
		defer u.discard()    // which may take its time: the request has been counted by then
	}
	var counted bool
	count := func(kind responseKind) {
		if !counted {
			counted = true
			over()
			f.figures.count(r.class, kind)
		}
	}
	defer func() { count(end) }()
	f.loop.post(requestArrived{r})
	select {
	case a := <-r.response:
		if end = a.kind; a.stream != nil {
			end = responseFailed // until all of it has been passed on
		}
		if f.shutdown.started() || f.handedOver.Load() {
			w.Header().Set("Connection", "close")
		}
		if u != nil {
			http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
		}
		// Who has read the whole answer finds it counted: so it is counted before its last byte goes.
		err := writeAnswer(w, a, func() { count(a.kind) })
		if u != nil {
			http.NewResponseController(w).Flush() // the rest of the body may take long to come
		}
		if err != nil {
			f.warnings.Warn("answer not passed on", "error", err)
			abortResponse(w, hr.ProtoAtLeast(1, 1) || a.stream.size >= 0)
		}
		end = a.kind
	case <-hr.Context().Done():
		if c, ok := clientConnOf(hr.Context()); ok && c.isClosed() {
			f.loop.guard.reportViolation(ruleAnswer, r.id, "trouble", "connection ended under it")
		}
		f.loop.post(clientDisconnected{r})
		// Returning would have the library word an empty 200.
		panic(http.ErrAbortHandler)
	case <-f.loop.done: // the node is ending
		writeFailed(w, http.StatusBadGateway)
	}
}
