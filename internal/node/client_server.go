package node

import (
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"hitchvale/internal/httpframing"
	"hitchvale/internal/lograte"
	"hitchvale/internal/siteconfig"
)

const (
	// headTimeout is how long a client may take to send a head. It counts from connecting, or from the first byte of a
	// later head. It has to be less than 3 s, within which an improper client gets an error.
	headTimeout = 2600 * time.Millisecond
	// requestReadTimeout is how long a client may take to send a request, counted likewise.
	requestReadTimeout = 2800 * time.Millisecond
	// keepAliveTimeout is how long a connection may be idle between requests.
	keepAliveTimeout = 30 * time.Second
	// responseWriteTimeout is how long a client may take to read its response.
	responseWriteTimeout = 5 * time.Second
	// overloadRetryAfter is the Retry-After of a request that was rejected since too many are in flight.
	overloadRetryAfter = 250 * time.Millisecond
	// inFlightEighths is the part of the clients' connections, in eighths, that may have a request in flight: the others
	// are left for answers to those who come beyond it.
	inFlightEighths = 7
)

// clientServer is the HTTP handler for clients: it reads requests, has the loop decide on them and writes the
// responses.
type clientServer struct {
	loop     *eventLoop
	settings siteconfig.Settings
	warnings *lograte.Limited
	log      *slog.Logger
	counters *counters
	shutdown *shutdownSchedule
	conns    *connTracker

	maxInFlight int64
	inFlight    atomic.Int64

	handedOver atomic.Bool   // another process of the node accepts connections
	streaming  bool          // long bodies are streamed, and connections stay open also above the eviction threshold
	bodyMemory *memoryBudget // of requests that are read into memory
	fleet      *fleetMember  // nil: the node is in no fleet
}

// newClientServer returns the handler of a node that may hold at most maxConns connections of clients. Some of them are
// beyond the requests in flight, so that a full node can still answer.
func newClientServer(loop *eventLoop, settings siteconfig.Settings, maxConns int, log *slog.Logger) *clientServer {
	schedule := newShutdownSchedule(settings)
	loop.shutdown = schedule
	f := &clientServer{
		loop:        loop,
		settings:    settings,
		warnings:    &lograte.Limited{Log: log},
		log:         log,
		counters:    loop.counters,
		shutdown:    schedule,
		maxInFlight: int64(maxConns) * inFlightEighths / 8,
		bodyMemory:  newMemoryBudget(0),
	}
	f.conns = newConnTracker(maxConns, &loop.counters.closes, f.connClosed)
	return f
}

// httpServer returns the HTTP server that clients connect to.
func (s *clientServer) httpServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       keepAliveTimeout,
		WriteTimeout:      requestReadTimeout + longestDeadline(s.settings) + responseWriteTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		ConnState:         s.conns.track,
		ConnContext:       withClientConn,
		// The library would answer "OPTIONS *" with 200, which is no valid request of a client.
		DisableGeneralOptionsHandler: true,
	}
}

// connClosed forgets what the fleet's report knows of a connection.
func (s *clientServer) connClosed(c *clientConn) {
	if s.fleet != nil {
		s.fleet.connClosed(c)
	}
}

// closesConnections reports whether each response closes its connection now. That crosses no request, as closing an
// idle connection may. Where slow heads are evicted too (streaming) there is always room for a new connection, and
// clients keep those that they use.
func (s *clientServer) closesConnections() bool {
	return s.shutdown.started() || s.handedOver.Load() || !s.streaming && s.conns.aboveThreshold()
}

// ServeHTTP answers one request of a client.
func (s *clientServer) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	if s.closesConnections() {
		closeAfterResponse(w)
	}
	head, open := requestHead(hr, received)
	if !open {
		panic(http.ErrAbortHandler) // the connection is closed: no response is possible
	}
	// Set first of all: the library reads what is left of a body, and would wait for it without end.
	http.NewResponseController(w).SetReadDeadline(head.Start.Add(requestReadTimeout))
	if head.Fault != nil {
		s.warnings.Warn("malformed request framing", "fault", head.Fault, "from", hr.RemoteAddr)
		rejectWithText(w, hr, http.StatusBadRequest, head.Fault.Error()) // the next request's start is unknown
		return
	}
	if head.Final {
		closeAfterResponse(w)
	}
	switch hr.URL.Path {
	case "/health/ready":
		writeHealth(w, s.loop.ready.Load() && (s.handedOver.Load() || !s.shutdown.started()))
		return
	case "/health/live":
		writeHealth(w, true)
		return
	}
	if s.inFlight.Add(1) > s.maxInFlight {
		s.inFlight.Add(-1)
		s.rejectOverload(w, hr)
		return
	}
	defer s.inFlight.Add(-1)
	s.serveRequest(w, hr, head.Start)
}

// requestHead returns what the head of a request says of its end; open is false if this side has closed the connection.
func requestHead(hr *http.Request, received time.Time) (head httpframing.Head, open bool) {
	if c, ok := clientConnOf(hr.Context()); ok {
		return c.takeHead()
	}
	return httpframing.Head{Start: received}, true
}

// rejectOverload rejects a request, unread, since too many are in flight.
func (s *clientServer) rejectOverload(w http.ResponseWriter, hr *http.Request) {
	closeAfterResponse(w)
	writeRejected(w, overloadRetryAfter)
	if class := slices.Index(s.settings.Classes, hr.Header.Get("X-Qos")); class >= 0 {
		s.counters.recordOutcome(class, responseRejected)
	}
}

// serveRequest reads a request, whose first byte came at start, and has it served.
func (s *clientServer) serveRequest(w http.ResponseWriter, hr *http.Request, start time.Time) {
	r, err := s.readRequest(w, hr, start)
	late := !s.shutdown.admits()
	if err != nil {
		status := statusOf(err)
		if late && status == http.StatusRequestTimeout {
			status = http.StatusServiceUnavailable // interrupted by the shutdown: nothing was done for it
		}
		rejectWithText(w, hr, status, err.Error())
		return
	}
	defer s.bodyMemory.release(r.bodyBytes)
	if c, ok := clientConnOf(hr.Context()); ok {
		if r.forwarded.upload == nil && c.peerClosed() {
			panic(http.ErrAbortHandler) // the client disconnected before its request was read
		}
		if s.fleet != nil {
			s.fleet.requestStarted(c, r)
		}
	}
	if late {
		s.warnings.Warn("request rejected during shutdown", "request", r.id, "class", r.class)
		s.counters.recordOutcome(r.class, responseRejected)
		rejectWithText(w, hr, http.StatusServiceUnavailable, "this process is about to end")
		return
	}
	if r.forwarded.upload != nil {
		// The response may come before the body's end, and then no other request can follow.
		closeAfterResponse(w)
		http.NewResponseController(w).EnableFullDuplex()
	}
	s.injectDropInDrain()
	s.dispatch(w, hr, r)
}

// dispatch has the loop decide on a request, and writes its final response.
func (s *clientServer) dispatch(w http.ResponseWriter, hr *http.Request, r *request) {
	count := newRequestCount(s.counters, r.class)
	if body := r.forwarded.upload; body == nil {
		count.begin()
	} else {
		body.onComplete = count.begin // pending from the last byte on
		defer body.discard()          // after the count below, as it may take its time
	}
	end := responseFailed
	defer func() { count.finish(end) }()
	s.loop.post(requestArrived{r})
	select {
	case response := <-r.response:
		s.writeFinalResponse(w, hr, r, response, count)
		end = response.kind
	case <-hr.Context().Done():
		if c, ok := clientConnOf(hr.Context()); ok && c.isClosedOrRejected() {
			s.loop.guard.reportViolation(ruleAnswer, r.id, "fault", "connection closed under a request")
		}
		s.loop.post(clientDisconnected{r})
		// After a return the library would write an empty 200.
		panic(http.ErrAbortHandler)
	case <-s.loop.done: // the node is ending
		writeFailed(w, http.StatusBadGateway)
	}
}

// writeFinalResponse writes a response. It panics with http.ErrAbortHandler where a streamed one breaks off.
func (s *clientServer) writeFinalResponse(
	w http.ResponseWriter, hr *http.Request, r *request, response finalResponse, count *requestCount,
) {
	if s.shutdown.started() || s.handedOver.Load() {
		closeAfterResponse(w)
	}
	bodyOpen := r.forwarded.upload != nil
	if bodyOpen {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	}
	// Counted before the last byte goes: a client that has the response finds it in the figures.
	err := writeResponse(w, response, func() { count.finish(response.kind) })
	if bodyOpen {
		http.NewResponseController(w).Flush() // what is left of the request's body may take long to come
	}
	if err != nil {
		s.warnings.Warn("response aborted", "error", err)
		abortResponse(w, hr.ProtoAtLeast(1, 1) || response.stream.size >= 0)
	}
}

// requestCount counts one request in the figures: as pending, and how it ended. It is for one goroutine, but for begin.
type requestCount struct {
	counters *counters
	class    int
	begin    func() // counts the request as pending, once it is complete
	end      func()
	finished bool
}

// newRequestCount returns the count of a request that has neither begun nor ended.
func newRequestCount(counters *counters, class int) *requestCount {
	begin, end := counters.trackPending()
	return &requestCount{counters: counters, class: class, begin: begin, end: end}
}

// finish counts the end of the request. Only the first call counts.
func (c *requestCount) finish(kind responseKind) {
	if c.finished {
		return
	}
	c.finished = true
	c.end()
	c.counters.recordOutcome(c.class, kind)
}
