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
	"hitchvale/internal/lograte"
	"hitchvale/internal/monotime"
)

const (
	// bodyMost bounds the body of a message, headMost its head.
	maxBodyBytes, maxHeadBytes = 64 << 10, 16 << 10
	// answerMost bounds an answer as it comes: small chunks take several times their body.
	maxResponseBytes = maxHeadBytes + 4*maxBodyBytes
	// informMost is how many 1xx answers may come ahead of the one that counts.
	maxInformational = 8
	// probeWithin is how long a probe may take: an answer that comes later tells of the past.
	healthCheckTimeout = 150 * time.Millisecond
	// reportHeader carries a load report, neverRanHeader tells that a request never ran.
	loadReportHeader, neverRanHeader = "Endpoint-Load-Metrics", "X-Never-Ran"
)

// upstreamTransport sends attempts and probes to backends. Each runs in a goroutine of its own on one connection.
//
// The connections are not net/http's own. Its Transport sends a request again when a reused connection breaks,
// and its ClientConn, which does not, reports a request as written (httptrace.WroteRequest) while it still
// stands in a buffer: neither tells whether the last byte has left, which decides if an attempt may have run.
// Here a request goes out whole in one Write. net/http still words it and reads the answer.
type upstreamTransport struct {
	pool              *connPool
	inlineLoadReports bool             // answers carry load reports
	writtenRequests   *atomic.Int64    // counts the attempts that were written whole
	loadReportLog     *lograte.Limited // of load reports
	bodyMemory        *budget          // of answers kept whole
	failureLog        *lograte.Limited // of attempts without a whole answer
}

func newUpstreamTransport(p *connPool, inline bool, written *atomic.Int64, log *slog.Logger) *upstreamTransport {
	return &upstreamTransport{pool: p, inlineLoadReports: inline, writtenRequests: written, bodyMemory: newBudget(0), loadReportLog: &lograte.Limited{Log: log}, failureLog: &lograte.Limited{Log: log}}
}

// attemptResult is how an exchange ended.
type attemptResult struct {
	status        balance.Status
	load          balance.Load
	elapsed       time.Duration
	body          []byte
	contentType   string
	stream        *stream // the answer is still coming
	notReplayable bool    // the request's body is used up
}

// upstreamCall is an exchange under way.
type upstreamCall struct {
	cancel    context.CancelFunc // ends the exchange and closes its connection; set by start
	startBy   time.Time          // the latest at which its first byte may be written; zero: any
	lifecycle attemptLifecycle
	startedAt monotime.Atomic // when its first byte was about to be written; zero: it never was
}

// cancelUnsent cancels the call if its first byte has not been written, and returns whether that came in time. A drain counts
// a request as sent from its first byte, and a dial may outlast the drain's grace.
func (c *upstreamCall) cancelUnsent() bool { return c.lifecycle.apply(cancelledUnsent) }

// start sends a request to a backend and calls done, from another goroutine, with the result. A call that has not begun to
// write by call.startBy never does; one that is not over by the deadline is ended then, and its connection with it.
func (x *upstreamTransport) start(
	call *upstreamCall, to backendProcess, m *forwardedRequest, deadline time.Time, done func(attemptResult),
) {
	ctx, cancel := context.WithCancel(context.Background())
	if m.upload == nil { // else its time begins with its last byte
		ctx, cancel = context.WithDeadline(context.Background(), deadline)
	}
	call.cancel = cancel
	go func() {
		defer cancel()
		start := time.Now()
		r := x.roundTrip(ctx, call, to, m, deadline)
		r.elapsed = time.Since(start)
		done(r)
	}()
}

// roundTrip carries out one attempt on one connection, once.
func (x *upstreamTransport) roundTrip(ctx context.Context, c *upstreamCall, to backendProcess, m *forwardedRequest, deadline time.Time) attemptResult {
	cn, err := x.pool.acquire(ctx, to)
	switch {
	case errors.Is(err, errPoolExhausted):
		return attemptResult{status: balance.StatusNotSent} // says nothing of the backend
	case accept.IsShortage(err):
		x.logFailure(ctx, m, to, "this machine is short of what a connection needs", err)
		return attemptResult{status: balance.StatusNotSent} // likewise
	case err != nil:
		x.logFailure(ctx, m, to, "no connection", err)
		return attemptResult{status: balance.StatusConnectFailed}
	}
	late := !c.startBy.IsZero() && !time.Now().Before(c.startBy)
	if ctx.Err() != nil || late || !c.lifecycle.apply(firstByteDue) {
		x.pool.discard(cn)
		return attemptResult{status: balance.StatusNotSent}
	}
	c.startedAt.Store(monotime.Now())
	// Given up means closed, at once: nothing that comes later can reach anyone.
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	defer stop()
	if m.upload != nil {
		return x.streamRequest(ctx, cn, m, stop)
	}
	cn.SetDeadline(deadline)
	head := m.encodeHead(to.addr, time.Until(deadline))
	text := net.Buffers{head, m.body}
	if n, err := text.WriteTo(cn.Conn); err != nil {
		x.pool.discard(cn)
		x.logFailure(ctx, m, to, "not written", err)
		if n < int64(len(head)+len(m.body)) {
			return attemptResult{status: balance.StatusConnectFailed} // the last byte never left
		}
		return attemptResult{status: x.unansweredStatus(ctx, err)}
	}
	if !m.healthCheck {
		x.writtenRequests.Add(1)
	}
	r, err := x.readResponse(cn, m, stop)
	if err != nil {
		x.pool.discard(cn)
		x.logFailure(ctx, m, to, "no whole answer", err)
		return attemptResult{status: x.unansweredStatus(ctx, err)}
	}
	return r
}

// streamRequest carries out an attempt whose body is still coming in. Its time begins with the last byte.
func (x *upstreamTransport) streamRequest(ctx context.Context, cn *backendConn, m *forwardedRequest, stop func() bool) attemptResult {
	cn.SetWriteDeadline(time.Now().Add(takeWithin))
	if _, err := cn.Write(m.encodeHead(cn.process.addr, m.timeLeft)); err != nil {
		x.pool.discard(cn)
		x.logFailure(ctx, m, cn.process, "not written", err)
		return attemptResult{status: balance.StatusConnectFailed, notReplayable: m.upload.touched()}
	}
	type end struct{ wrote, whole bool }
	sent := make(chan end, 1)
	go func() {
		wrote, err := m.upload.copyTo(cn)
		sent <- end{wrote, err == nil}
		switch {
		case err == nil:
			x.writtenRequests.Add(1)
			cn.SetReadDeadline(m.onWritten())
		case !wrote || timedOut(err):
			cn.Close()
			// After another error what the backend said before it broke off may still be read.
		}
	}()
	r, err := x.readResponse(cn, m, stop)
	if err != nil {
		m.upload.leave()
		x.pool.discard(cn) // from here on nothing more is written
		status := balance.StatusConnectFailed
		if m.upload.taken.Load() {
			// Its last byte may have gone.
			if e := <-sent; e.whole {
				status = x.unansweredStatus(ctx, err)
			}
		} else if len(sent) > 0 && !(<-sent).wrote {
			status = balance.StatusNotSent // its client did not send it
		}
		x.logFailure(ctx, m, cn.process, "no whole answer to a streamed request", err)
		return attemptResult{status: status, notReplayable: true}
	}
	r.notReplayable = true
	if r.status != balance.StatusSucceeded {
		m.upload.leave() // it has said no before the end
	}
	return r
}

// failed logs, at a bounded rate, why an attempt got no whole answer; of one that was cancelled there is nothing
// to tell.
func (x *upstreamTransport) logFailure(ctx context.Context, m *forwardedRequest, to backendProcess, what string, err error) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		x.failureLog.Warn("attempt failed: "+what, "request", m.header.Get("X-Trace-Id"), "backend", to.addr, "error", err)
	}
}

// unansweredStatus tells how an attempt ended that was written whole and got no whole answer. It may have run. A time-out within a
// line shows as a malformed one, as net/http takes what came of it for all.
func (x *upstreamTransport) unansweredStatus(ctx context.Context, err error) balance.Status {
	until, timed := ctx.Deadline()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded),
		timed && !time.Now().Before(until):
		return balance.StatusTimedOut
	case ctx.Err() != nil:
		return balance.StatusCancelled
	}
	return balance.StatusConnectionLost
}
