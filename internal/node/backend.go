package node

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
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

// message is what a client asked for, as it goes on to backends.
type forwardedRequest struct {
	method      string
	url         *url.URL
	host        string
	header      http.Header
	body        []byte
	healthCheck bool

	upload    *upload          // a body that is still coming; nil: it is whole
	timeLeft  time.Duration    // that its client will wait from its last byte on
	onWritten func() time.Time // tells that its last byte has gone, and returns the deadline
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
	cancel    context.CancelFunc
	startBy   time.Time // the latest at which its first byte may go; zero: any
	state     atomic.Int32
	startedAt monotime.Atomic // when its first byte was about to go; zero: it never was
}

// States of a call: its first byte has not been written, or it may have been, or it never will be.
const (
	callQueued int32 = iota
	callWriting
	callBarred
)

// cancelUnsent keeps a call that has not begun to write from ever doing so: a send counts for a drain from its first
// byte, and a dial may outlast the grace. It tells whether it came in time.
func (c *upstreamCall) cancelUnsent() bool { return c.state.CompareAndSwap(callQueued, callBarred) }

// start sends a message to an endpoint and calls done, from another goroutine, with how it ended. What has not begun
// by begin, if that is told, never does; what is not over by the deadline is ended then, and its connection with it.
func (x *upstreamTransport) start(to backendProcess, m *forwardedRequest, begin, deadline time.Time, done func(attemptResult)) *upstreamCall {
	ctx, cancel := context.WithCancel(context.Background())
	if m.upload == nil { // else its time begins with its last byte
		ctx, cancel = context.WithDeadline(context.Background(), deadline)
	}
	c := &upstreamCall{cancel: cancel, startBy: begin}
	go func() {
		defer cancel()
		start := time.Now()
		r := x.roundTrip(ctx, c, to, m, deadline)
		r.elapsed = time.Since(start)
		done(r)
	}()
	return c
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
	if ctx.Err() != nil || late || !c.state.CompareAndSwap(callQueued, callWriting) {
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

// readResponse reads an answer. One that is large or long in coming is left to be streamed. The connection goes back to the
// pool, or is ended, when the answer is whole.
func (x *upstreamTransport) readResponse(cn *backendConn, m *forwardedRequest, stop func() bool) (attemptResult, error) {
	resp, err := cn.readResponseHead(m.method)
	if err != nil {
		return attemptResult{}, err
	}
	r := attemptResult{status: responseStatus(resp), contentType: resp.Header.Get("Content-Type")}
	if text := resp.Header.Get(loadReportHeader); text != "" && x.inlineLoadReports {
		r.load = x.readLoadReport(text)
	}
	// What ends with its connection is whole if the other side says so by an orderly end: a reset is none.
	delimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	done := func(whole bool) {
		if whole && cn.reader.Buffered() > 0 {
			x.pool.startQuarantine()
		}
		if !whole || resp.Close || delimited || cn.reader.Buffered() > 0 || m.upload != nil {
			x.pool.discard(cn)
			return
		}
		cn.SetDeadline(time.Time{})
		x.pool.release(cn)
	}
	body, ended, err := x.readBody(resp, !m.healthCheck && r.status == balance.StatusSucceeded)
	switch {
	case err != nil:
		return attemptResult{}, err
	case ended && !stop():
		x.pool.discard(cn)
	case ended:
		done(true)
	case !stop():
		return attemptResult{}, context.Canceled
	default:
		cn.limit.N = math.MaxInt64
		r.stream = &stream{head: body, size: resp.ContentLength, body: resp.Body, cn: cn, end: done}
		return r, nil
	}
	r.body = body
	return r, nil
}

// readBody reads an answer's body, if it can be kept whole, and otherwise what has come of it. One that serves nobody has to
// be short.
func (x *upstreamTransport) readBody(resp *http.Response, served bool) (body []byte, ended bool, err error) {
	size := resp.ContentLength
	switch {
	case !served && size > maxBodyBytes:
		return nil, false, errTooLong
	case !served:
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
		if err == nil && len(body) > maxBodyBytes {
			err = errTooLong
		}
		return body, true, err
	case size > maxBodyBytes || size > 0 && !x.bodyMemory.take(size):
		// Nothing is passed on before some of the body is there: until then a failure can still be answered.
		body = make([]byte, pieceSize)
		n, err := io.ReadAtLeast(resp.Body, body, 1)
		return body[:n], false, err
	case size >= 0:
		defer x.bodyMemory.give(size)
		body = make([]byte, size)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	}
	// Its length is not told. What has not been passed on can still be answered otherwise, if it breaks off or never ends: so
	// it is kept until it ends or its time does, up to a piece, or less where there is no room.
	most := pieceSize
	if x.bodyMemory.take(pieceSize) {
		defer x.bodyMemory.give(pieceSize)
	} else {
		most = 1
	}
	for buf := make([]byte, 0, pieceSize); ; {
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, true, nil
		case err != nil:
			return nil, false, err
		case len(buf) >= most:
			return buf, false, nil
		}
	}
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

// outcome reads a whole answer's status.
func responseStatus(resp *http.Response) balance.Status {
	switch resp.StatusCode {
	case http.StatusOK:
		return balance.StatusSucceeded
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(neverRanHeader) == "1" {
			return balance.StatusRejected
		}
	}
	return balance.StatusApplicationError
}

// encodeHead words the head of the message for a backend.
func (m *forwardedRequest) encodeHead(addr string, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.url.RequestURI(), cmp.Or(m.host, addr))
	m.header.WriteSubset(&b, map[string]bool{"X-Expires-In": true, "Host": true})
	fmt.Fprintf(&b, "X-Expires-In: %.3f\r\n", max(left, 0).Seconds())
	switch {
	case m.upload != nil && m.upload.size < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case m.upload != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", m.upload.size)
	case len(m.body) > 0 || m.method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// answer reads the head of an answer.
func (c *backendConn) readResponseHead(method string) (*http.Response, error) {
	c.limit.N = maxResponseBytes
	req := &http.Request{Method: method}
	for range maxInformational {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 100 || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many 1xx answers")
}

// probe asks an endpoint for its load report.
func (x *upstreamTransport) checkHealth(to backendProcess, done func(attemptResult)) {
	x.start(to, &forwardedRequest{method: http.MethodGet, url: &url.URL{Path: "/stats"}, host: to.addr, header: http.Header{}, healthCheck: true},
		time.Time{}, time.Now().Add(healthCheckTimeout), func(r attemptResult) {
			if r.status == balance.StatusSucceeded && r.load.Has == 0 {
				r.load = x.readLoadReport(string(r.body))
			}
			if r.status == balance.StatusApplicationError {
				r.status = balance.StatusRejected // a probe that is turned away
			}
			done(r)
		})
}
