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

// crossedCloseWindow is within what time a connection ends whose close a request crossed. A node that closes later had
// accepted the request.
const crossedCloseWindow = 250 * time.Millisecond

// clientRequest is a request as a client sends it.
type clientRequest struct {
	trace        string
	class        string
	key          string    // idempotency key; "": none
	deadline     time.Time // when its client stops waiting
	disconnectAt time.Time // when its client disconnects; zero: it does not
}

// method is the HTTP method of the request's class.
func (r *clientRequest) method() string {
	if r.class == classRead {
		return http.MethodGet
	}
	return http.MethodPost
}

// text is the request as it is sent now.
func (r *clientRequest) text() string { return r.textWithTimeout(time.Until(r.deadline)) }

// textWithTimeout is the request of a client that waits for timeout from now on.
func (r *clientRequest) textWithTimeout(timeout time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %.3f\r\n",
		r.method(), r.trace, r.class, max(timeout.Seconds(), 0))
	if r.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.key)
	}
	if r.method() == http.MethodPost {
		body := `{"claim":"` + r.trace + `"}`
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}

// send sends one request to the node on a connection that is idle, or on a new one. It returns whether the node
// accepted a connection.
func (c *client) send(request *clientRequest, outcome *Outcome) (accepted bool) {
	return c.sendOn(c.takeIdle(), request, outcome)
}

// sendOn sends one request on conn; nil: on a new connection. A request that crossed the close of its connection is
// sent once more on a new one: its connection ended without a byte, and with a reset, as the node had not read the
// request. A new connection may be closed unread too (FLEET); a request that was closed unread twice has failed.
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

// crossedClose tells whether a request without a byte of a response crossed the close of its connection.
func crossedClose(conn *clientConn, kind string, elapsed time.Duration) bool {
	return kind == kindIncomplete || kind == kindBroken && elapsed <= crossedCloseWindow && awaitReset(conn.Conn)
}

// exchange sends a request on a connection and reads its response, and sets the outcome's kind. An error says why there
// is no complete response; silent, that no byte of one came.
func (c *client) exchange(conn *clientConn, request *clientRequest, outcome *Outcome) (silent bool, err error) {
	until := request.deadline.Add(responseGrace)
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
	if _, err := io.WriteString(conn, text); err != nil {
		outcome.Kind = kindIncomplete
		return true, err
	}
	response, silent, err := readResponse(conn, request)
	outcome.DoneAt = time.Now().UnixNano()
	if err != nil {
		outcome.Kind = errorKind(err, silent, disconnects)
		if outcome.Kind == kindClientDisconnected {
			outcome.DisconnectedAt = outcome.DoneAt
		}
		return silent, err
	}
	outcome.Status = response.StatusCode
	outcome.Kind = statusKind(response.StatusCode)
	if response.Close {
		conn.Close()
	} else {
		c.putIdle(conn)
	}
	return false, nil
}

// readResponse reads a response and discards its body; silent says that no byte of one came.
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

// errorKind is the outcome of a request without a complete response.
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

// statusKind is the outcome of a request with a complete response.
func statusKind(status int) string {
	switch status {
	case http.StatusOK:
		return kindServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return kindRejected
	}
	return kindFailed
}

// isTimeout tells whether an error is that of a deadline of this process, not of the network.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}
