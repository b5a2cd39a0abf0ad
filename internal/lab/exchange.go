package lab

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// crossedCloseWindow is the longest time from sending a request until its connection ends, if the request crossed the
// close of the connection. A node that closes the connection later had accepted the request.
const crossedCloseWindow = 250 * time.Millisecond

// clientRequest is a request as a client sends it.
type clientRequest struct {
	trace        string
	class        string
	key          string        // idempotency key; "": none
	body         longBody      // the length and form of the body of a POST
	deadline     time.Time     // when its client stops waiting
	timeout      time.Duration // how long its client waits, counted from the last byte of a body that is sent at once
	disconnectAt time.Time     // when its client disconnects; zero: the client does not disconnect
}

// method returns the HTTP method of the request's class.
func (r *clientRequest) method() string {
	if r.class == classRead {
		return http.MethodGet
	}
	return http.MethodPost
}

// text returns the request as a client sends it now, with the time that remains until its deadline.
func (r *clientRequest) text() string {
	if r.body.sentAtOnce {
		return r.textWithTimeout(r.timeout)
	}
	return r.textWithTimeout(time.Until(r.deadline))
}

// textWithTimeout returns the request of a client that waits for its response for timeout from now on.
func (r *clientRequest) textWithTimeout(timeout time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %.3f\r\n",
		r.method(), r.trace, r.class, max(timeout.Seconds(), 0))
	if r.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.key)
	}
	if r.method() == http.MethodPost {
		r.body.write(&b, `{"claim":"`+r.trace+`"}`)
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}

// send sends a request to the node on an idle connection, or on a new one. It returns whether the node accepted a
// connection.
func (c *client) send(request *clientRequest, outcome *Outcome) (accepted bool) {
	return c.sendOn(c.takeIdle(), request, outcome)
}

// sendOn sends a request on conn, or on a new connection if conn is nil. It returns whether the node accepted a
// connection. A request that crossed the close of its connection is sent once more on a new connection: the first
// connection ended without a byte of a response and with a reset, because the node had not read the request. The node
// may close the new connection unread too (FLEET). A request that was closed unread twice has failed.
func (c *client) sendOn(conn *clientConn, request *clientRequest, outcome *Outcome) (accepted bool) {
	for ; ; conn = nil {
		reused := conn != nil
		if !reused {
			var err error
			if conn, err = c.dial(); err != nil {
				outcome.Error = err.Error()
				return false
			}
		}
		outcome.DialedAt = conn.dialedAt.UnixNano()
		outcome.FirstOnConnection = !reused
		start := time.Now()
		silent, err := c.exchange(conn, request, outcome)
		elapsed := time.Since(start)
		if err == nil {
			return true
		}
		outcome.Error = err.Error()
		crossed := silent && crossedClose(conn, outcome.Kind, elapsed)
		refused := silent && c.refused(conn)
		conn.Close()
		if outcome.Kind == kindClientDisconnected || !silent {
			return true
		}
		if !crossed {
			return !refused
		}
		closedTwice := outcome.Resent
		outcome.Resent = true
		outcome.CrossedAt = time.Now().UnixNano()
		if closedTwice {
			outcome.Kind = kindClosedUnread
			return !refused
		}
	}
}

// crossedClose reports whether a request, for which no byte of a response came, crossed the close of its connection:
// the node had closed the connection when the request had been written, or closed it within crossedCloseWindow. elapsed
// is the time from sending the request until the client saw the end of its connection. A busy lab sees it late.
func crossedClose(conn *clientConn, kind string, elapsed time.Duration) bool {
	inTime := conn.endedAtWrite || elapsed <= crossedCloseWindow
	return kind == kindIncomplete || kind == kindBroken && inTime && awaitReset(conn.Conn)
}

// exchange sends a request on a connection, reads its response and sets the outcome's kind. The error says why there is
// no complete response. silent says that no byte of a response came, or that only a part of the request was written.
func (c *client) exchange(conn *clientConn, request *clientRequest, outcome *Outcome) (silent bool, err error) {
	until := request.deadline.Add(responseGrace)
	if request.body.sentAtOnce {
		until = time.Now().Add(longBodyTimeout)
	}
	disconnects := !request.disconnectAt.IsZero() && request.disconnectAt.Before(until)
	if disconnects {
		until = request.disconnectAt
	}
	conn.SetDeadline(until)
	text := conn.unsentRemainder
	conn.unsentRemainder = ""
	if text == "" {
		text = request.text()
	}
	_, writeErr := io.WriteString(conn, text)
	conn.endedAtWrite = ended(conn.Conn)
	if request.body.sentAtOnce && writeErr == nil {
		writeErr = conn.awaitReceipt(request, outcome, until)
	}
	// After a failed write too, since the node may have responded before it had the complete request.
	response, silent, err := readResponse(conn, request)
	outcome.DoneAt = time.Now().UnixNano()
	if writeErr != nil && err != nil {
		outcome.Kind = kindIncomplete
		if disconnects && !time.Now().Before(request.disconnectAt) { // the client has not waited for its write
			outcome.Kind = kindClientDisconnected
			outcome.DisconnectedAt = outcome.DoneAt
		}
		return true, writeErr
	}
	if err != nil {
		outcome.Kind = errorKind(err, silent, disconnects)
		if outcome.Kind == kindClientDisconnected {
			outcome.DisconnectedAt = outcome.DoneAt
		}
		return silent, err
	}
	outcome.Status = response.StatusCode
	outcome.Kind = statusKind(response.StatusCode)
	if response.Close || writeErr != nil {
		conn.Close()
	} else {
		c.putIdle(conn)
	}
	return false, nil
}

// readResponse reads a response and discards its body. silent says that no byte of a response came.
func readResponse(conn *clientConn, request *clientRequest) (response *http.Response, silent bool, err error) {
	if _, err = conn.reader.Peek(1); err != nil {
		return nil, true, err
	}
	response, err = http.ReadResponse(conn.reader, &http.Request{Method: request.method()})
	if err != nil {
		return nil, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, false, err
}

// errorKind returns the kind of outcome of a request that was sent completely and has no complete response.
func errorKind(err error, silent, disconnects bool) string {
	switch timedOut := isTimeout(err); {
	case timedOut && disconnects:
		return kindClientDisconnected
	case timedOut:
		return kindNoResponse
	case silent:
		return kindBroken
	}
	return kindFailed
}

// statusKind returns the kind of outcome of a request with a complete response.
func statusKind(status int) string {
	switch status {
	case http.StatusOK:
		return kindServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return kindRejected
	}
	return kindFailed
}

// isTimeout reports whether an error comes from a deadline that this process set, and not from a timeout of TCP.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}
