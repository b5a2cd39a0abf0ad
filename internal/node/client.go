package node

import (
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hitchvale/internal/lograte"
	"hitchvale/internal/siteconfig"
)

const (
	// headWithin is how long a client may take to send a head, and messageWithin a whole request, counted from
	// connecting or from the first byte of a later one: who sends nothing proper has to hear so within 3 s.
	headWithin, messageWithin = 2600 * time.Millisecond, 2800 * time.Millisecond
	// headPatience is how many times as long a connection may keep the node waiting within a head as without one.
	headPatience = 4
	// idleWithin is how long a client may keep a connection without a request.
	idleWithin = 30 * time.Second
	// lingerMost is how much of a body is read that nobody wants: closing on unread bytes is a reset, which may
	// overtake the answer.
	lingerMost = 4 * maxBodyBytes
	// answerWithin is how long a client may take to read its answer.
	answerWithin = 5 * time.Second
	// early is how much sooner than the client's deadline a request ends: its way here and the answer's way
	// back take part of the time, and neither can be seen from here.
	early = 8 * time.Millisecond
	// defaultDeadline stands for a class's deadline that is not told.
	defaultDeadline = time.Minute
	// fullRetry is when a client may come back that was refused because the node is full.
	fullRetry = 250 * time.Millisecond
)

// front is the client side: it reads requests, has the loop decide and writes the answers.
type front struct {
	loop     *eventLoop
	names    siteconfig.Settings
	log      *slog.Logger
	complain *lograte.Limited
	most     int64 // requests at once
	inFlight atomic.Int64
	figures  *counters
	crowded  int          // so many connections that idle ones give way
	shutdown *shutdown    // what is taken, and answered by when, once the process is told to end
	handed   atomic.Bool  // another process accepts its connections
	large    bool         // bodies of any length are streamed, and connections kept in a crowd
	kept     *budget      // of requests kept whole
	fleet    *fleetMember // nil: none
	closes   *closeCounts

	mu    sync.Mutex
	conns map[net.Conn]time.Time // connections of clients; since when one is idle, zero while it is not
	heads map[net.Conn]bool      // those that have not brought a whole head yet
}

// newFront returns the client side for a node that may hold so many connections of clients.
func newFront(l *eventLoop, names siteconfig.Settings, conns int, log *slog.Logger) *front {
	l.shutdown = newShutdown(names)
	// Each request in flight may need a connection to a backend, beside those of probes.
	return &front{loop: l, shutdown: l.shutdown, figures: l.counters, kept: newBudget(0), names: names, log: log,
		complain: &lograte.Limited{Log: log}, closes: &l.counters.closes, most: int64(conns) * 7 / 8, crowded: conns * 3 / 4,
		conns: map[net.Conn]time.Time{}, heads: map[net.Conn]bool{}}
}

// server returns the HTTP server of the client side.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headWithin,
		IdleTimeout:       idleWithin,
		WriteTimeout:      messageWithin + longestDeadline(f.names) + answerWithin,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         f.track,
		ConnContext:       withFramed,
		// "OPTIONS *" is no request of a client either: the library would answer it with 200.
		DisableGeneralOptionsHandler: true,
	}
}

// track follows the connections of clients. When they become many, the one that has been idle longest is closed:
// else a crowd that keeps its connections would lock out who has something to ask.
func (f *front) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.heads, c)
	switch s {
	case http.StateNew, http.StateActive:
		f.conns[c] = time.Time{}
		if s == http.StateNew {
			f.heads[c] = true
		}
	case http.StateIdle:
		f.conns[c] = time.Now()
		if b, ok := c.(*boundedConn); ok {
			b.framed.rests()
		}
	case http.StateClosed, http.StateHijacked:
		delete(f.conns, c)
		if b, ok := c.(*boundedConn); ok && f.fleet != nil {
			f.fleet.connClosed(b.framed)
		}
	}
	if s == http.StateNew && len(f.conns) > f.crowded {
		f.giveWay()
	}
}

// ServeHTTP answers one request of a client.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	if f.shutdown.begun() || f.handed.Load() || f.isCrowded() {
		// Closing after an answer crosses no request, as closing an idle connection may.
		w.Header().Set("Connection", "close")
	}
	h := framing(hr, received)
	if h.ended {
		panic(http.ErrAbortHandler) // nobody can be answered
	}
	// Set before anything else: what the library does with an unread body would wait for it without end.
	http.NewResponseController(w).SetReadDeadline(h.since.Add(messageWithin))
	if h.trouble != "" {
		f.complain.Warn("request refused for its framing", "trouble", h.trouble, "from", hr.RemoteAddr)
		reject(w, hr, http.StatusBadRequest, h.trouble) // nobody can tell where the next request would begin
		return
	}
	if h.last {
		w.Header().Set("Connection", "close")
	}
	switch hr.URL.Path {
	case "/health/ready":
		f.health(w, f.loop.ready.Load() && (f.handed.Load() || !f.shutdown.begun()))
		return
	case "/health/live":
		f.health(w, true)
		return
	}
	if f.inFlight.Add(1) > f.most {
		f.inFlight.Add(-1)
		w.Header().Set("Connection", "close")
		refuse(w, fullRetry)
		if class := slices.Index(f.names.Classes, hr.Header.Get("X-Qos")); class >= 0 {
			f.figures.recordOutcome(class, responseRejected)
		}
		return
	}
	defer f.inFlight.Add(-1)
	r, status, err := f.read(w, hr, h.since)
	late := !f.shutdown.takes()
	if err != nil {
		if late && status == http.StatusRequestTimeout {
			status = http.StatusServiceUnavailable // cut short here: nothing was done for it
		}
		reject(w, hr, status, err.Error())
		return
	}
	defer f.kept.give(r.bodyBytes)
	if c, ok := hr.Context().Value(framedKey{}).(*framedConn); ok {
		if r.forwarded.upload == nil && c.gone() {
			panic(http.ErrAbortHandler) // while it waited to be read: nobody wants what would be done for it
		}
		if f.fleet != nil {
			f.fleet.requestStarted(c, r)
		}
	}
	if late {
		f.complain.Warn("request refused: this process is about to end", "request", r.id, "class", r.class)
		f.figures.recordOutcome(r.class, responseRejected)
		reject(w, hr, http.StatusServiceUnavailable, "this process is about to end")
		return
	}
	if r.forwarded.upload != nil {
		// The answer may come before the body's end, and nothing can follow it then.
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).EnableFullDuplex()
	}
	f.dropPlanted()
	f.serve(w, hr, r)
}

// framing returns what the head of a request says of its end.
func framing(hr *http.Request, received time.Time) head {
	if c, ok := hr.Context().Value(framedKey{}).(*framedConn); ok {
		return c.take()
	}
	return head{since: received}
}

// serve has the loop decide on a request and passes on the one final answer.
func (f *front) serve(w http.ResponseWriter, hr *http.Request, r *request) {
	end, u := responseFailed, r.forwarded.upload
	begin, over := f.figures.trackPending()
	if u == nil {
		begin()
	} else {
		u.whole = begin   // a request is taken with its last byte
		defer u.discard() // which may take its time: the request has been counted by then
	}
	var counted bool
	count := func(kind responseKind) {
		if !counted {
			counted = true
			over()
			f.figures.recordOutcome(r.class, kind)
		}
	}
	defer func() { count(end) }()
	f.loop.post(requestArrived{r})
	select {
	case a := <-r.response:
		if end = a.kind; a.stream != nil {
			end = responseFailed // until all of it has been passed on
		}
		if f.shutdown.begun() || f.handed.Load() {
			w.Header().Set("Connection", "close")
		}
		if u != nil {
			http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWithin))
		}
		// Who has read the whole answer finds it counted: so it is counted before its last byte goes.
		err := write(w, a, func() { count(a.kind) })
		if u != nil {
			http.NewResponseController(w).Flush() // the rest of the body may take long to come
		}
		if err != nil {
			f.complain.Warn("answer not passed on", "error", err)
			abort(w, hr.ProtoAtLeast(1, 1) || a.stream.size >= 0)
		}
		end = a.kind
	case <-hr.Context().Done():
		if c, ok := hr.Context().Value(framedKey{}).(*framedConn); ok && c.endedHere() {
			f.loop.guard.violated(ruleAnswer, r.id, "trouble", "connection ended under it")
		}
		f.loop.post(clientDisconnected{r})
		// Returning would have the library word an empty 200.
		panic(http.ErrAbortHandler)
	case <-f.loop.done: // the node is ending
		fail(w, http.StatusBadGateway)
	}
}
