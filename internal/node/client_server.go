package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"hitchvale/internal/httpframing"
	"hitchvale/internal/lograte"
	"hitchvale/internal/siteconfig"
)

const (
	// headTimeout is how long a client may take to send the head of a request. For the first request the time counts
	// when the client connects, for a later one from its first byte. The timeout has to be below 3 s, because a client
	// that sends a malformed or incomplete request gets an error within 3 s.
	headTimeout = 2600 * time.Millisecond
	// requestReadTimeout is how long a client may take to send a request, counted in the same way. The bytes of a body
	// extend this time at minBodyRate.
	requestReadTimeout = 2800 * time.Millisecond
	// keepAliveTimeout is how long a connection may be idle between two requests.
	keepAliveTimeout = 30 * time.Second
	// overloadRetryAfter is the Retry-After of a request that is rejected because too many requests are in flight.
	overloadRetryAfter = 250 * time.Millisecond
	// inFlightEighths is the share of the client connections, in eighths, that may have a request in flight. The other
	// connections are reserved for rejecting the requests beyond this share.
	inFlightEighths = 7
)

// clientServer is the HTTP handler for clients. It reads requests, passes them to the event loop and writes the
// responses. It is safe for concurrent use.
type clientServer struct {
	loop      *eventLoop
	settings  siteconfig.Settings
	warnings  *lograte.Limited
	unwritten *lograte.Limited // logs responses that could not be written
	log       *slog.Logger
	counters  *counters
	shutdown  *shutdownSchedule
	conns     *connTracker

	streamBuffers *bufferPool // for request bodies that are streamed

	maxInFlight int64
	inFlight    atomic.Int64

	handedOver atomic.Bool   // set while another process of the node accepts the connections
	streaming  bool          // whether long bodies are streamed, and connections stay open above the eviction threshold
	bodyMemory *memoryBudget // of the request bodies that are read into memory
	uploads    uploadWatcher
	fleet      *fleetMember // nil if the node is not a member of a fleet
}

// newClientServer returns the handler of a node that has at most maxConns client connections. Fewer requests than that
// may be in flight, so that a node at its limit can still reject requests.
func newClientServer(loop *eventLoop, settings siteconfig.Settings, maxConns int, log *slog.Logger) *clientServer {
	schedule := newShutdownSchedule(settings)
	loop.shutdown = schedule
	s := &clientServer{
		loop:        loop,
		settings:    settings,
		warnings:    &lograte.Limited{Log: log},
		unwritten:   &lograte.Limited{Log: log},
		log:         log,
		counters:    loop.counters,
		shutdown:    schedule,
		maxInFlight: int64(maxConns) * inFlightEighths / 8,
		bodyMemory:  newBodyBudget(0),

		streamBuffers: newBufferPool(0),
	}
	s.conns = newConnTracker(maxConns, &loop.counters.closes, s.connClosed)
	return s
}

// httpServer returns the HTTP server that clients connect to. The caller starts and closes it. The server has no
// timeout for writes, because each write of a clientConn has its own.
func (s *clientServer) httpServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		ConnState:         s.conns.track,
		ConnContext:       withClientConn,
		// Otherwise net/http would answer "OPTIONS *" with 200, although it is not a valid request of a client.
		DisableGeneralOptionsHandler: true,
	}
}

// connClosed removes a closed connection from the data of the fleet's reports.
func (s *clientServer) connClosed(c *clientConn) {
	if s.fleet != nil {
		s.fleet.connClosed(c)
	}
}

// closesConnections reports whether each response closes its connection at present. Closing with a response cannot
// interrupt a request, whereas the close of an idle connection may cross a new request of its client.
//
// A node without streaming also closes connections in this way while they exceed the eviction threshold. On a node with
// streaming, evicting slow clients alone leaves room for new connections, and clients keep the connections they use.
func (s *clientServer) closesConnections() bool {
	return s.shutdown.started() || s.handedOver.Load() || !s.streaming && s.conns.aboveThreshold()
}

// ServeHTTP answers one request of a client.
func (s *clientServer) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	yieldToOthers()
	s.serve(w, hr)
	if c, ok := clientConnOf(hr.Context()); ok && closesAfterResponse(w) {
		flushResponse(w)
		c.discardUnread(s.streamBuffers)
	}
}

// serve answers one request of a client. Its last bytes may still be in the HTTP server's buffer.
func (s *clientServer) serve(w http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	if s.closesConnections() {
		closeAfterResponse(w)
	}
	head, open := requestHead(hr, received)
	if !open {
		panic(http.ErrAbortHandler) // no response is possible on a closed connection
	}
	// The deadline is set first, because net/http reads the rest of the body when the handler returns, and would wait
	// for it without a limit.
	http.NewResponseController(w).SetReadDeadline(head.Start.Add(requestReadTimeout))
	if head.Err != nil {
		s.warnings.Warn("request with malformed framing rejected", "fault", head.Err, "from", hr.RemoteAddr)
		// This closes the connection, since the start of the next request is unknown.
		s.rejectWithText(w, hr, head.Start, http.StatusBadRequest, head.Err.Error())
		return
	}
	if head.LastOnConnection {
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
		s.rejectOverload(w, hr, head.Start)
		return
	}
	defer s.inFlight.Add(-1)
	s.serveRequest(w, hr, head.Start)
}

// requestHead returns the result of checking the framing of a request's head. If the node has closed the
// connection, open is false and the request must not be served.
func requestHead(hr *http.Request, received time.Time) (head httpframing.Head, open bool) {
	if c, ok := clientConnOf(hr.Context()); ok {
		return c.takeHead()
	}
	return httpframing.Head{Start: received}, true
}

// serveRequest reads a request whose first byte arrived at start, and dispatches it if the node admits it.
func (s *clientServer) serveRequest(w http.ResponseWriter, hr *http.Request, start time.Time) {
	r, err := s.readRequest(w, hr, start)
	notAdmitted := !s.shutdown.admits()
	if err != nil {
		s.rejectUnread(w, hr, start, err)
		return
	}
	defer s.bodyMemory.release(r.bodyBytes)
	if c, ok := clientConnOf(hr.Context()); ok {
		if r.forwarded.upload == nil && c.disconnected() {
			panic(http.ErrAbortHandler) // the client disconnected before its request was read
		}
		if r.forwarded.upload == nil && c.pipelinesTooMuch() {
			s.rejectPipelined(w, hr, start, r.class)
			return
		}
		if s.fleet != nil {
			s.fleet.requestStarted(c, r)
		}
	}
	if notAdmitted {
		s.warnings.Warn("request rejected during shutdown", "request", r.id, "class", r.class)
		s.counters.recordOutcome(r.class, responseRejected)
		s.rejectWithText(w, hr, start, http.StatusServiceUnavailable, errShuttingDown.Error())
		return
	}
	if r.forwarded.upload != nil {
		// If the response precedes the end of the body, no other request can follow on the connection.
		closeAfterResponse(w)
		http.NewResponseController(w).EnableFullDuplex()
	}
	s.injectDropInDrain()
	s.dispatch(w, hr, r)
}

// dispatch passes a request to the event loop and writes its final response. It panics with http.ErrAbortHandler if the
// client disconnects or a streamed response breaks off.
func (s *clientServer) dispatch(w http.ResponseWriter, hr *http.Request, r *request) {
	recorder := newRequestRecorder(s.counters, r.class)
	if body := r.forwarded.upload; body == nil {
		recorder.begin()
	} else {
		s.prepareArrival(hr, r, recorder.begin)
		defer body.discard() // runs after the outcome is recorded below, since it may take long
	}
	outcome := responseFailed
	defer func() { recorder.finish(outcome) }()
	s.loop.post(requestArrived{r})
	ctx := hr.Context()
	if body := r.forwarded.upload; body != nil {
		var stopWatching context.CancelFunc
		ctx, stopWatching = s.uploads.watch(ctx, body)
		defer stopWatching()
	}
	select {
	case response := <-r.response:
		defer response.held.release()
		s.writeFinalResponse(w, hr, r, response, recorder)
		outcome = response.kind
	case <-ctx.Done():
		if c, ok := clientConnOf(hr.Context()); ok && c.isClosedOrRejected() {
			s.loop.guard.reportViolation(invariantConnectionKept, r.id, "fault", "connection closed during a request")
		}
		s.loop.post(clientDisconnected{r})
		// If the handler returned, net/http would write an empty 200 response.
		panic(http.ErrAbortHandler)
	case <-s.loop.done: // the process ends
		writeFailed(w, http.StatusBadGateway)
	}
}

// writeFinalResponse writes a response and records the outcome of its request. It panics with http.ErrAbortHandler if a
// streamed response breaks off.
func (s *clientServer) writeFinalResponse(
	w http.ResponseWriter, hr *http.Request, r *request, response finalResponse, recorder *requestRecorder,
) {
	if s.shutdown.started() || s.handedOver.Load() {
		closeAfterResponse(w)
	}
	// The outcome is recorded before the last byte is written, so that a client which has read the whole response finds
	// it in the statistics.
	err := writeResponse(w, response, func() { recorder.finish(response.kind) })
	if err == nil {
		// The response must not wait for the rest of the request's body, which may take long to arrive.
		s.reportUnwritten(hr, r.startedAt, flushResponse(w))
	} else {
		s.warnings.Warn("response not passed on completely, closing the client's connection", "error", err)
		abortResponse(w, hr.ProtoAtLeast(1, 1) || response.stream.size >= 0)
	}
}
