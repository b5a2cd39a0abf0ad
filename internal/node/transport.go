package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/accept"
	"hitchvale/internal/connpool"
	"hitchvale/internal/lograte"
	"hitchvale/internal/monotime"
)

const (
	// maxBodyBytes limits the body of a request or response that is read completely before it is forwarded.
	maxBodyBytes = 64 << 10
	// maxHeadBytes limits the head of a request or response.
	maxHeadBytes = 16 << 10
)

// upstreamTransport sends requests and health checks to backends. Each request and health check is one exchange. An
// exchange runs in its own goroutine on one connection, and the transport never repeats it.
//
// The transport does not use the connections of net/http. http.Transport sends a request again when a reused connection
// breaks. http.ClientConn does not, but it reports a request as written (httptrace.WroteRequest) while the request is
// still in a buffer. Neither tells whether the last byte has been written, and this decides whether the backend may
// have run the request. The transport writes a request in one call, and uses net/http only to encode the header and to
// parse the response.
type upstreamTransport struct {
	pool               *connpool.Pool
	inlineLoadReports  bool             // responses carry load reports
	writtenRequests    *atomic.Int64    // counts completely written requests, without health checks
	bodyMemory         *memoryBudget    // for responses that are read completely before they are forwarded
	streamBuffers      *bufferPool      // for responses that are streamed
	loadReportLog      *lograte.Limited // logs malformed load reports
	exchangeFailureLog *lograte.Limited // logs exchanges without a complete response
}

// newUpstreamTransport returns a transport with the default memory budget for responses. The caller runs the pool.
func newUpstreamTransport(
	pool *connpool.Pool, inlineLoadReports bool, writtenRequests *atomic.Int64, log *slog.Logger,
) *upstreamTransport {
	return &upstreamTransport{
		pool:               pool,
		inlineLoadReports:  inlineLoadReports,
		writtenRequests:    writtenRequests,
		bodyMemory:         newBodyBudget(0),
		streamBuffers:      newBufferPool(0),
		loadReportLog:      &lograte.Limited{Log: log},
		exchangeFailureLog: &lograte.Limited{Log: log},
	}
}

// attemptResult is the result of an exchange.
type attemptResult struct {
	status        balance.Status
	load          balance.Load // the backend's load report; empty if there was none
	elapsed       time.Duration
	body          []byte
	contentType   string
	held          *heldMemory     // the memory that body holds of the budget
	stream        *responseStream // the response, if it was not read completely; nil: body is complete
	notReplayable bool            // the request's body was streamed and cannot be sent again
}

// discard drops a response that is not given to a client.
func (r attemptResult) discard() {
	r.held.release()
	if r.stream != nil {
		r.stream.release(false)
	}
}

// upstreamCall is the state that the event loop and the goroutine of an exchange share. The zero value is ready to be
// passed to upstreamTransport.start.
type upstreamCall struct {
	cancel    context.CancelFunc // ends the exchange and closes its connection; set by start
	startBy   time.Time          // the latest time at which the first byte may be written; zero: no limit
	lifecycle attemptLifecycle
	startedAt monotime.Atomic // when the first byte was about to be written; zero: not yet or never
	withheld  atomic.Bool     // the call was cancelled before its last byte
}

// cancelUnsent cancels the call if its first byte has not been written, and reports whether it did. An unavailable
// backend must not get the first byte of a request after its drain grace, and a dial may take longer than the grace.
func (c *upstreamCall) cancelUnsent() bool { return c.lifecycle.apply(cancelledBeforeWrite) }

// cancelUndelivered cancels the call if its last byte has not been written, and reports whether it did. The backend can
// then not run the request.
func (c *upstreamCall) cancelUndelivered() bool {
	if !c.lifecycle.apply(cancelledBeforeLastByte) {
		return false
	}
	c.withheld.Store(true)
	return true
}

// beginLastByte reports whether the last byte may be written now. If so, the backend may run the request from now on.
func (c *upstreamCall) beginLastByte() bool { return c.lifecycle.apply(lastByteStarting) }

// beginWrite reports whether the first byte may be written now. If so, the call counts as being written from now on.
func (c *upstreamCall) beginWrite() bool {
	late := !c.startBy.IsZero() && !time.Now().Before(c.startBy)
	if late || !c.lifecycle.apply(writeStarting) {
		return false
	}
	c.startedAt.Store(monotime.Now())
	return true
}

// start sends a request to a backend and calls done with the result from another goroutine. If the first byte has not
// been written by call.startBy, the request is not sent. At the deadline, the exchange is cancelled and its connection
// closed. The deadline is ignored for a streamed request, whose deadline is only known when its last byte has arrived:
// the event loop then cancels the exchange at that deadline.
func (t *upstreamTransport) start(
	call *upstreamCall, to connpool.Server, request *forwardedRequest, deadline time.Time, done func(attemptResult),
) {
	var ctx context.Context
	if request.upload == nil {
		ctx, call.cancel = context.WithDeadline(context.Background(), deadline)
	} else {
		ctx, call.cancel = context.WithCancel(context.Background())
	}
	cancel := call.cancel
	go func() {
		defer cancel()
		startedAt := time.Now()
		result := t.exchange(ctx, call, to, request, deadline)
		result.elapsed = time.Since(startedAt)
		done(result)
	}()
}

// exchange sends a request on one connection and reads the response.
func (t *upstreamTransport) exchange(
	ctx context.Context, call *upstreamCall, to connpool.Server, request *forwardedRequest, deadline time.Time,
) attemptResult {
	conn, err := t.pool.Acquire(ctx, to)
	if err != nil {
		return attemptResult{status: t.statusWithoutConnection(ctx, request, to, err)}
	}
	if ctx.Err() != nil || request.abandoned() || !call.beginWrite() {
		t.pool.Discard(conn)
		return attemptResult{status: balance.StatusNotSent}
	}
	// A cancelled exchange closes its connection immediately, so that no later response can reach a client.
	e := &upstreamExchange{transport: t, call: call, conn: conn, request: request}
	e.detach = context.AfterFunc(ctx, e.abort)
	defer e.detach()
	if request.upload != nil {
		return e.streamRequest(ctx)
	}
	return e.sendRequest(ctx, deadline)
}

// statusWithoutConnection returns the status of an exchange that got no connection. A shortage of resources on this
// machine does not count as a failure of the backend.
func (t *upstreamTransport) statusWithoutConnection(
	ctx context.Context, request *forwardedRequest, to connpool.Server, err error,
) balance.Status {
	switch {
	case errors.Is(err, connpool.ErrExhausted):
		return balance.StatusNotSent
	case accept.IsTransientOpenError(err):
		t.logFailure(ctx, request, to, "no connection to the backend: this machine is short of resources", err)
		return balance.StatusNotSent
	}
	t.logFailure(ctx, request, to, "no connection to the backend", err)
	return balance.StatusNotDelivered
}

// statusWithoutResponse returns the status of an exchange whose request was written completely and that got no complete
// response. The backend may have run the request. If the deadline passes within a line of the head, err is a parse
// error, so ctx is checked in addition.
func statusWithoutResponse(ctx context.Context, err error) balance.Status {
	deadline, hasDeadline := ctx.Deadline()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded),
		hasDeadline && !time.Now().Before(deadline):
		return balance.StatusTimedOut
	case ctx.Err() != nil:
		return balance.StatusCancelled
	}
	return balance.StatusConnectionLost
}

// logFailure logs, at a bounded rate, why an exchange got no complete response. Cancelled exchanges are not logged.
// args are further attributes for the log.
func (t *upstreamTransport) logFailure(
	ctx context.Context, request *forwardedRequest, to connpool.Server, reason string, err error, args ...any,
) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	t.exchangeFailureLog.Warn("attempt failed, reporting its status to the balancer", append([]any{
		"reason", reason, "request", request.header.Get("X-Trace-Id"), "backend", to.Addr, "error", err}, args...)...)
}

// upstreamExchange is an exchange that has a connection.
type upstreamExchange struct {
	transport *upstreamTransport
	call      *upstreamCall
	conn      *connpool.Conn
	request   *forwardedRequest
	detach    func() bool // stops the context from closing the connection; returns false if the context has ended

	responseMu   sync.Mutex
	responseRead bool // of a streamed request: readResponse has returned
}

// sendRequest writes a request whose body is complete, and reads the response.
func (e *upstreamExchange) sendRequest(ctx context.Context, deadline time.Time) attemptResult {
	e.conn.SetDeadline(deadline)
	head := e.request.encodeHead(e.conn.Server.Addr, time.Until(deadline))
	if !e.call.beginLastByte() {
		e.transport.pool.Discard(e.conn)
		return attemptResult{status: balance.StatusNotDelivered}
	}
	message := net.Buffers{head, e.request.body}
	written, err := message.WriteTo(e.conn.Conn)
	if err != nil {
		e.discard(ctx, "request not written", err)
		if written < int64(len(head)+len(e.request.body)) {
			return attemptResult{status: balance.StatusNotDelivered} // the backend cannot have run the request
		}
		return attemptResult{status: statusWithoutResponse(ctx, err)}
	}
	if !e.request.healthCheck {
		e.transport.writtenRequests.Add(1)
	}
	result, err := e.readResponse()
	if err != nil {
		e.discard(ctx, "no complete response", err)
		return attemptResult{status: statusWithoutResponse(ctx, err)}
	}
	return result
}

// abort closes the connection of an exchange that is given up. If the last byte has been withheld, the connection is
// reset: otherwise the system would keep the bytes that the backend has not taken, and the backend would learn of the
// close only behind them.
func (e *upstreamExchange) abort() {
	if e.call.withheld.Load() {
		e.conn.ResetOnClose()
	}
	e.conn.Close()
}

// discard closes the connection of an exchange that has failed, and logs why.
func (e *upstreamExchange) discard(ctx context.Context, reason string, err error) {
	e.transport.pool.Discard(e.conn)
	e.transport.logFailure(ctx, e.request, e.conn.Server, reason, err)
}
