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
	bodyMost, headMost = 64 << 10, 16 << 10
	// answerMost bounds an answer as it comes: small chunks take several times their body.
	answerMost = headMost + 4*bodyMost
	// informMost is how many 1xx answers may come ahead of the one that counts.
	informMost = 8
	// probeWithin is how long a probe may take: an answer that comes later tells of the past.
	probeWithin = 150 * time.Millisecond
	// reportHeader carries a load report, neverRanHeader tells that a request never ran.
	reportHeader, neverRanHeader = "Endpoint-Load-Metrics", "X-Never-Ran"
)

// exchanges sends attempts and probes to backends. Each runs in a goroutine of its own on one connection.
//
// The connections are not net/http's own. Its Transport sends a request again when a reused connection breaks,
// and its ClientConn, which does not, reports a request as written (httptrace.WroteRequest) while it still
// stands in a buffer: neither tells whether the last byte has left, which decides if an attempt may have run.
// Here a request goes out whole in one Write. net/http still words it and reads the answer.
type exchanges struct {
	pool     *pool
	inline   bool             // answers carry load reports
	written  *atomic.Int64    // counts the attempts that were written whole
	complain *lograte.Limited // of load reports
	kept     *budget          // of answers kept whole
	failing  *lograte.Limited // of attempts without a whole answer
}

func newExchanges(p *pool, inline bool, written *atomic.Int64, log *slog.Logger) *exchanges {
	return &exchanges{pool: p, inline: inline, written: written, kept: newBudget(0), complain: &lograte.Limited{Log: log}, failing: &lograte.Limited{Log: log}}
}

// message is what a client asked for, as it goes on to backends.
type message struct {
	method string
	url    *url.URL
	host   string
	header http.Header
	body   []byte
	probe  bool

	open    *upload          // a body that is still coming; nil: it is whole
	left    time.Duration    // that its client will wait from its last byte on
	written func() time.Time // tells that its last byte has gone, and returns the deadline
}

// result is how an exchange ended.
type result struct {
	status      balance.Status
	load        balance.Load
	spent       time.Duration
	body        []byte
	contentType string
	stream      *stream // the answer is still coming
	spoilt      bool    // the request's body is used up
}

// call is an exchange under way.
type call struct {
	cancel context.CancelFunc
	begin  time.Time // the latest at which its first byte may go; zero: any
	state  atomic.Int32
	began  monotime.Atomic // when its first byte was about to go; zero: it never was
}

// States of a call: its first byte has not been written, or it may have been, or it never will be.
const (
	callQueued int32 = iota
	callWriting
	callBarred
)

// bar keeps a call that has not begun to write from ever doing so: a send counts for a drain from its first
// byte, and a dial may outlast the grace. It tells whether it came in time.
func (c *call) bar() bool { return c.state.CompareAndSwap(callQueued, callBarred) }

// attempt sends a message to an endpoint and calls done, from another goroutine, with how it ended. What has not begun
// by begin, if that is told, never does; what is not over by the deadline is ended then, and its connection with it.
func (x *exchanges) attempt(to endpoint, m *message, begin, deadline time.Time, done func(result)) *call {
	ctx, cancel := context.WithCancel(context.Background())
	if m.open == nil { // else its time begins with its last byte
		ctx, cancel = context.WithDeadline(context.Background(), deadline)
	}
	c := &call{cancel: cancel, begin: begin}
	go func() {
		defer cancel()
		start := time.Now()
		r := x.exchange(ctx, c, to, m, deadline)
		r.spent = time.Since(start)
		done(r)
	}()
	return c
}

// exchange carries out one attempt on one connection, once.
func (x *exchanges) exchange(ctx context.Context, c *call, to endpoint, m *message, deadline time.Time) result {
	cn, err := x.pool.get(ctx, to)
	switch {
	case errors.Is(err, errNoRoom):
		return result{status: balance.StatusNotSent} // says nothing of the backend
	case accept.IsShortage(err):
		x.failed(ctx, m, to, "this machine is short of what a connection needs", err)
		return result{status: balance.StatusNotSent} // likewise
	case err != nil:
		x.failed(ctx, m, to, "no connection", err)
		return result{status: balance.StatusConnectFailed}
	}
	late := !c.begin.IsZero() && !time.Now().Before(c.begin)
	if ctx.Err() != nil || late || !c.state.CompareAndSwap(callQueued, callWriting) {
		x.pool.discard(cn)
		return result{status: balance.StatusNotSent}
	}
	c.began.Store(monotime.Now())
	// Given up means closed, at once: nothing that comes later can reach anyone.
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	defer stop()
	if m.open != nil {
		return x.upload(ctx, cn, m, stop)
	}
	cn.SetDeadline(deadline)
	head := m.head(to.addr, time.Until(deadline))
	text := net.Buffers{head, m.body}
	if n, err := text.WriteTo(cn.Conn); err != nil {
		x.pool.discard(cn)
		x.failed(ctx, m, to, "not written", err)
		if n < int64(len(head)+len(m.body)) {
			return result{status: balance.StatusConnectFailed} // the last byte never left
		}
		return result{status: x.broken(ctx, err)}
	}
	if !m.probe {
		x.written.Add(1)
	}
	r, err := x.receive(cn, m, stop)
	if err != nil {
		x.pool.discard(cn)
		x.failed(ctx, m, to, "no whole answer", err)
		return result{status: x.broken(ctx, err)}
	}
	return r
}

// upload carries out an attempt whose body is still coming in. Its time begins with the last byte.
func (x *exchanges) upload(ctx context.Context, cn *conn, m *message, stop func() bool) result {
	cn.SetWriteDeadline(time.Now().Add(takeWithin))
	if _, err := cn.Write(m.head(cn.to.addr, m.left)); err != nil {
		x.pool.discard(cn)
		x.failed(ctx, m, cn.to, "not written", err)
		return result{status: balance.StatusConnectFailed, spoilt: m.open.touched()}
	}
	type end struct{ wrote, whole bool }
	sent := make(chan end, 1)
	go func() {
		wrote, err := m.open.copyTo(cn)
		sent <- end{wrote, err == nil}
		switch {
		case err == nil:
			x.written.Add(1)
			cn.SetReadDeadline(m.written())
		case !wrote || timedOut(err):
			cn.Close()
			// After another error what the backend said before it broke off may still be read.
		}
	}()
	r, err := x.receive(cn, m, stop)
	if err != nil {
		m.open.leave()
		x.pool.discard(cn) // from here on nothing more is written
		status := balance.StatusConnectFailed
		if m.open.taken.Load() {
			// Its last byte may have gone.
			if e := <-sent; e.whole {
				status = x.broken(ctx, err)
			}
		} else if len(sent) > 0 && !(<-sent).wrote {
			status = balance.StatusNotSent // its client did not send it
		}
		x.failed(ctx, m, cn.to, "no whole answer to a streamed request", err)
		return result{status: status, spoilt: true}
	}
	r.spoilt = true
	if r.status != balance.StatusSucceeded {
		m.open.leave() // it has said no before the end
	}
	return r
}

// receive reads an answer. One that is large or long in coming is left to be streamed. The connection goes back to the
// pool, or is ended, when the answer is whole.
func (x *exchanges) receive(cn *conn, m *message, stop func() bool) (result, error) {
	resp, err := cn.answer(m.method)
	if err != nil {
		return result{}, err
	}
	r := result{status: outcome(resp), contentType: resp.Header.Get("Content-Type")}
	if text := resp.Header.Get(reportHeader); text != "" && x.inline {
		r.load = x.report(text)
	}
	// What ends with its connection is whole if the other side says so by an orderly end: a reset is none.
	delimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	done := func(whole bool) {
		if whole && cn.read.Buffered() > 0 {
			x.pool.beWary()
		}
		if !whole || resp.Close || delimited || cn.read.Buffered() > 0 || m.open != nil {
			x.pool.discard(cn)
			return
		}
		cn.SetDeadline(time.Time{})
		x.pool.put(cn)
	}
	body, ended, err := x.gather(resp, !m.probe && r.status == balance.StatusSucceeded)
	switch {
	case err != nil:
		return result{}, err
	case ended && !stop():
		x.pool.discard(cn)
	case ended:
		done(true)
	case !stop():
		return result{}, context.Canceled
	default:
		cn.limit.N = math.MaxInt64
		r.stream = &stream{head: body, size: resp.ContentLength, body: resp.Body, cn: cn, end: done}
		return r, nil
	}
	r.body = body
	return r, nil
}

// gather reads an answer's body, if it can be kept whole, and otherwise what has come of it. One that serves nobody has to
// be short.
func (x *exchanges) gather(resp *http.Response, served bool) (body []byte, ended bool, err error) {
	size := resp.ContentLength
	switch {
	case !served && size > bodyMost:
		return nil, false, errTooLong
	case !served:
		body, err = io.ReadAll(io.LimitReader(resp.Body, bodyMost+1))
		if err == nil && len(body) > bodyMost {
			err = errTooLong
		}
		return body, true, err
	case size > bodyMost || size > 0 && !x.kept.take(size):
		// Nothing is passed on before some of the body is there: until then a failure can still be answered.
		body = make([]byte, pieceSize)
		n, err := io.ReadAtLeast(resp.Body, body, 1)
		return body[:n], false, err
	case size >= 0:
		defer x.kept.give(size)
		body = make([]byte, size)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	}
	// Its length is not told. What has not been passed on can still be answered otherwise, if it breaks off or never ends: so
	// it is kept until it ends or its time does, up to a piece, or less where there is no room.
	most := pieceSize
	if x.kept.take(pieceSize) {
		defer x.kept.give(pieceSize)
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
func (x *exchanges) failed(ctx context.Context, m *message, to endpoint, what string, err error) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		x.failing.Warn("attempt failed: "+what, "request", m.header.Get("X-Trace-Id"), "backend", to.addr, "error", err)
	}
}

// broken tells how an attempt ended that was written whole and got no whole answer. It may have run. A time-out within a
// line shows as a malformed one, as net/http takes what came of it for all.
func (x *exchanges) broken(ctx context.Context, err error) balance.Status {
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
func outcome(resp *http.Response) balance.Status {
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

// head words the head of the message for a backend.
func (m *message) head(addr string, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.url.RequestURI(), cmp.Or(m.host, addr))
	m.header.WriteSubset(&b, map[string]bool{"X-Expires-In": true, "Host": true})
	fmt.Fprintf(&b, "X-Expires-In: %.3f\r\n", max(left, 0).Seconds())
	switch {
	case m.open != nil && m.open.size < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case m.open != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", m.open.size)
	case len(m.body) > 0 || m.method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// answer reads the head of an answer.
func (c *conn) answer(method string) (*http.Response, error) {
	c.limit.N = answerMost
	req := &http.Request{Method: method}
	for range informMost {
		resp, err := http.ReadResponse(c.read, req)
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
func (x *exchanges) probe(to endpoint, done func(result)) {
	x.attempt(to, &message{method: http.MethodGet, url: &url.URL{Path: "/stats"}, host: to.addr, header: http.Header{}, probe: true},
		time.Time{}, time.Now().Add(probeWithin), func(r result) {
			if r.status == balance.StatusSucceeded && r.load.Has == 0 {
				r.load = x.report(string(r.body))
			}
			if r.status == balance.StatusApplicationError {
				r.status = balance.StatusRejected // a probe that is turned away
			}
			done(r)
		})
}
