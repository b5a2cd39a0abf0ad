package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// crossedCloseWindow is how soon a connection ends that a request crosses. One that ends later held the request.
const crossedCloseWindow = 250 * time.Millisecond

// clientIdleTimeout is how long a client keeps a connection without a request.
const clientIdleTimeout = 2 * time.Second

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	read          *bufio.Reader
	dialed        time.Time
	idleAt        time.Time
	unsentRequest string // what is left to be written of a request that was begun on it
}

// client is the clients' side of one node: the connections that they keep to it. It does what PROTOCOL says of a
// client: one request at a time on a connection, and one that crosses the close of a kept connection is sent once more
// on a new one.
type client struct {
	target string
	link   *Proxy // that the target is; nil: it is the node itself

	mu          sync.Mutex
	idle        []*clientConn
	notAdmitted bool // the front sends no new connection here
}

// admit has the front send new connections to this node, or none.
func (c *client) admit(admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAdmitted = !admitted
}

// takeIdle takes the connection that was used last and that the node has not ended since, or nil.
func (c *client) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.idleAt) < clientIdleTimeout && !ended(conn.Conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

func (c *client) putIdle(conn *clientConn) {
	conn.SetDeadline(time.Time{})
	conn.idleAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// close ends the connections that are kept.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// errNotAdmitted says that the front sends no new connection to a node.
var errNotAdmitted = errors.New("the front sends no new connection to this node")

func (c *client) dial() (*clientConn, error) {
	c.mu.Lock()
	closed := c.notAdmitted
	c.mu.Unlock()
	if closed {
		return nil, errNotAdmitted
	}
	conn, err := net.DialTimeout("tcp", c.target, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, read: bufio.NewReader(conn), dialed: time.Now()}, nil
}

// refused tells whether the node's machine has refused a connection that a proxy had accepted for it.
func (c *client) refused(conn *clientConn) bool {
	return c.link != nil && c.link.refusedFor(conn.LocalAddr().String())
}

// clientRequest is a request as a client sends it.
type clientRequest struct {
	trace        string
	class        string
	key          string
	deadline     time.Time // when its client stops waiting
	disconnectAt time.Time // when its client leaves; zero: it stays
}

// method is the method that a class asks for.
func (r *clientRequest) method() string {
	if r.class == classRead {
		return http.MethodGet
	}
	return http.MethodPost
}

func (r *clientRequest) text() string { return r.textFor(time.Until(r.deadline)) }

// textFor words the request of a client that waits for so long.
func (r *clientRequest) textFor(wait time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %.3f\r\n",
		r.method(), r.trace, r.class, max(wait.Seconds(), 0))
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

// send makes one request of the node, and once more on a new connection where it crossed the close of its connection:
// that ended without a byte, and the node had not read the request, so a reset follows. A new connection may be shut
// unread too (FLEET), and what was shut so twice, within crossedCloseWindow each time, has failed. It tells whether the
// node accepted it at all.
func (c *client) send(r *clientRequest, o *Outcome) (accepted bool) {
	return c.sendOn(c.takeIdle(), r, o)
}

// sendOn does so on a connection that there is already; nil: on a new one.
func (c *client) sendOn(conn *clientConn, r *clientRequest, o *Outcome) (accepted bool) {
	for ; ; conn = nil {
		reused := conn != nil
		if !reused {
			var err error
			if conn, err = c.dial(); err != nil {
				o.Error = err.Error()
				return false
			}
		}
		o.DialedAt, o.FirstOnConnection = conn.dialed.UnixNano(), !reused
		began := time.Now()
		silent, err := c.exchange(conn, r, o)
		held := time.Since(began)
		if err == nil {
			return true
		}
		o.Error = err.Error()
		crossed := silent && (o.Kind == kindIncomplete || o.Kind == kindBroken && held <= crossedCloseWindow &&
			awaitReset(conn.Conn))
		refused := silent && c.refused(conn)
		conn.Close()
		switch {
		case o.Kind == kindClientDisconnected || !silent:
			return true
		case crossed && o.Resent:
			o.Kind, o.CrossedAt = kindClosedUnread, time.Now().UnixNano()
			return !refused
		case crossed:
			o.Resent, o.CrossedAt = true, time.Now().UnixNano()
			continue
		}
		return !refused
	}
}

// exchange sends a request on a connection and reads its answer. An error says why there is no whole answer; silent,
// that nothing of one came.
func (c *client) exchange(conn *clientConn, r *clientRequest, o *Outcome) (silent bool, err error) {
	until := r.deadline.Add(answerGrace)
	leaves := !r.disconnectAt.IsZero() && r.disconnectAt.Before(until)
	if leaves {
		until = r.disconnectAt
	}
	conn.SetDeadline(until)
	text := conn.unsentRequest
	if conn.unsentRequest = ""; text == "" {
		text = r.text()
	}
	if _, err := io.WriteString(conn, text); err != nil {
		o.Kind = kindIncomplete
		return true, err
	}
	_, err = conn.read.Peek(1)
	var resp *http.Response
	if err == nil {
		if resp, err = http.ReadResponse(conn.read, &http.Request{Method: r.method()}); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
	} else {
		silent = true
	}
	o.DoneAt = time.Now().UnixNano()
	switch timedOut := isTimeout(err); {
	case timedOut && leaves:
		o.Kind, o.DisconnectedAt = kindClientDisconnected, o.DoneAt
		return silent, err
	case timedOut:
		o.Kind = kindNoAnswer
		return silent, err
	case err != nil && silent:
		o.Kind = kindBroken
		return silent, err
	case err != nil:
		o.Kind = kindFailed
		return silent, err
	}
	o.Status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		o.Kind = kindServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		o.Kind = kindRejected
	default:
		o.Kind = kindFailed
	}
	if resp.Close {
		conn.Close()
	} else {
		c.putIdle(conn)
	}
	return false, nil
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}

// sendImproperRequest is a peer that sends half a request and stays. It gives how long it took to hear an error or a
// close, and whether it has within a while.
func (c *client) sendImproperRequest(timeout time.Duration) (elapsed time.Duration, ok bool) {
	conn, err := c.dial()
	if err != nil {
		return 0, true
	}
	defer conn.Close()
	began := time.Now()
	conn.SetDeadline(began.Add(timeout))
	io.WriteString(conn, "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Tra")
	_, err = conn.read.ReadByte()
	return time.Since(began), !isTimeout(err)
}
