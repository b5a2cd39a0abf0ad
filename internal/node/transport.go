package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/accept"
	"hitchvale/internal/connpool"
	"hitchvale/internal/lograte"
	"hitchvale/internal/monotime"
)

const (
	// maxBodyBytes bounds a body that is read completely before it is passed on, a request's or a response's.
	maxBodyBytes = 64 << 10
	// maxHeadBytes bounds the head of a request or a response.
	maxHeadBytes = 16 << 10
)

// upstreamTransport sends requests and health checks to backends. Each is one exchange: it runs in a goroutine of its
// own, on one connection, and is never repeated here.
//
// The connections are not net/http's own. Its Transport sends a request again when a reused connection breaks, and
// its ClientConn, which does not, reports a request as written (httptrace.WroteRequest) while it is still in a
// buffer: neither says whether the last byte has been written, which decides if the backend may have run the request.
// Here a request is written in one call. net/http still encodes its header and parses the response.
type upstreamTransport struct {
	pool               *connpool.Pool
	inlineLoadReports  bool             // responses carry load reports
	writtenRequests    *atomic.Int64    // counts requests that were written completely, health checks aside
	bodyMemory         *memoryBudget    // of responses that are read completely before they are passed on
	loadReportLog      *lograte.Limited // of malformed load reports
	exchangeFailureLog *lograte.Limited // of exchanges without a complete response
}

func newUpstreamTransport(
	pool *connpool.Pool, inlineLoadReports bool, writtenRequests *atomic.Int64, log *slog.Logger,
) *upstreamTransport {
	return &upstreamTransport{
		pool:               pool,
		inlineLoadReports:  inlineLoadReports,
		writtenRequests:    writtenRequests,
		bodyMemory:         newMemoryBudget(0),
		loadReportLog:      &lograte.Limited{Log: log},
		exchangeFailureLog: &lograte.Limited{Log: log},
	}
}

// attemptResult is how an exchange ended.
type attemptResult struct {
	status        balance.Status
	load          balance.Load // the backend's load report, if there was one
	elapsed       time.Duration
	body          []byte
	contentType   string
	stream        *responseStream // the part of the response that is still coming; nil: none
	notReplayable bool            // the request's body was streamed and can't be sent again
}

// upstreamCall is an exchange under way. The zero value may be started.
type upstreamCall struct {
	cancel    context.CancelFunc // ends the exchange and closes its connection; set by start
	startBy   time.Time          // the latest at which its first byte may be written; zero: any
	lifecycle attemptLifecycle
	startedAt monotime.Atomic // when its first byte was about to be written; zero: it never was
}

// cancelUnsent cancels the call if its first byte has not been written, and returns whether that came in time. A
// drain counts a request as sent from its first byte, and a dial may outlast the drain's grace.
func (c *upstreamCall) cancelUnsent() bool { return c.lifecycle.apply(cancelledUnsent) }

// beginWrite says whether the first byte may be written now, and counts it as written from here on.
func (c *upstreamCall) beginWrite() bool {
	late := !c.startBy.IsZero() && !time.Now().Before(c.startBy)
	if late || !c.lifecycle.apply(firstByteDue) {
		return false
	}
	c.startedAt.Store(monotime.Now())
	return true
}

// start sends a request to a backend and calls done, from another goroutine, with the result. A call that has not
// begun to write by call.startBy never does; one that is not over by the deadline is ended then, and its connection
// with it. A streamed request has no deadline before its last byte.
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
	if ctx.Err() != nil || !call.beginWrite() {
		t.pool.Discard(conn)
		return attemptResult{status: balance.StatusNotSent}
	}
	// A cancelled exchange closes its connection at once: nothing that comes later can reach a client.
	detach := context.AfterFunc(ctx, func() { conn.Close() })
	defer detach()
	e := &upstreamExchange{transport: t, conn: conn, request: request, detach: detach}
	if request.upload != nil {
		return e.streamRequest(ctx)
	}
	return e.sendRequest(ctx, deadline)
}

// statusWithoutConnection returns the status of an exchange that got no connection. A shortage of resources on this
// machine is no failure of the backend.
func (t *upstreamTransport) statusWithoutConnection(
	ctx context.Context, request *forwardedRequest, to connpool.Server, err error,
) balance.Status {
	switch {
	case errors.Is(err, connpool.ErrExhausted):
		return balance.StatusNotSent
	case accept.IsShortage(err):
		t.logFailure(ctx, request, to, "no connection for want of resources", err)
		return balance.StatusNotSent
	}
	t.logFailure(ctx, request, to, "no connection", err)
	return balance.StatusNotDelivered
}

// statusWithoutResponse is the status of an exchange whose request was written completely and that got no complete
// response: the backend may have run it. A timeout within a line of the head comes as a parse error, so ctx is looked
// at too.
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

// logFailure logs, at a bounded rate, why an exchange got no complete response; cancelled ones are not logged.
func (t *upstreamTransport) logFailure(
	ctx context.Context, request *forwardedRequest, to connpool.Server, reason string, err error,
) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	t.exchangeFailureLog.Warn("attempt failed",
		"reason", reason, "request", request.header.Get("X-Trace-Id"), "backend", to.Addr, "error", err)
}

// upstreamExchange is an exchange on its connection.
type upstreamExchange struct {
	transport *upstreamTransport
	conn      *connpool.Conn
	request   *forwardedRequest
	detach    func() bool // keeps the end of the context from closing the connection; false if it has
}

// sendRequest writes a request whose body is complete, and reads the response.
func (e *upstreamExchange) sendRequest(ctx context.Context, deadline time.Time) attemptResult {
	e.conn.SetDeadline(deadline)
	head := e.request.encodeHead(e.conn.Server.Addr, time.Until(deadline))
	message := net.Buffers{head, e.request.body}
	written, err := message.WriteTo(e.conn.Conn)
	if err != nil {
		e.discard(ctx, "request not written", err)
		if written < int64(len(head)+len(e.request.body)) {
			return attemptResult{status: balance.StatusNotDelivered} // it can't have run
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

// discard closes the connection of an exchange that has failed, and logs why.
func (e *upstreamExchange) discard(ctx context.Context, reason string, err error) {
	e.transport.pool.Discard(e.conn)
	e.transport.logFailure(ctx, e.request, e.conn.Server, reason, err)
}
