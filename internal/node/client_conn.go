package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"hitchvale/internal/httpframing"
	"hitchvale/internal/monotime"
)

const (
	// maxHeadLine bounds a line of a head, in bytes. The HTTP server bounds the entire head below that.
	maxHeadLine = 2 * maxHeadBytes
	// maxReadAhead bounds what is read behind a request that is being served, in bytes.
	maxReadAhead = maxHeadBytes + maxBodyBytes
)

// errPipelineFlood ends the connection of a client that sends more than maxReadAhead behind a request that is being
// served.
var errPipelineFlood = errors.New("too much behind a request that is being served")

// clientConn is a client's connection. It gives the HTTP server one request at a time, with the head judged by
// httpframing, and notices a client that disconnects while its request is being served.
//
// Read is for one goroutine at a time; the connState may be used by any.
type clientConn struct {
	net.Conn
	connState

	raw      syscall.RawConn // set by the first read; nil where the system has none
	parser   *httpframing.Parser
	buffered []byte // read past the end of a head
	bodyLeft int64  // bytes of the current request's body that have not been read
	// openEnded says that only its reader can tell where the current request ends: no other may follow.
	openEnded bool

	openedAt   time.Time
	lastByteAt monotime.Atomic // when the last bytes came; zero: none have
}

// newClientConn returns a connection that was opened at a time.
func newClientConn(c net.Conn, openedAt time.Time) *clientConn {
	return &clientConn{Conn: c, openedAt: openedAt, parser: httpframing.NewParser(maxHeadLine, openedAt)}
}

// Read reads at most to the end of the current head or body.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.bodyLeft > 0 && !c.openEnded {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	} else if c.awaitsDisconnect(len(p)) {
		return 0, c.readAhead(p)
	}
	n, err := c.readBytes(p)
	if n > 0 && !c.markReceiving() {
		return 0, c.discardAfterClose(p)
	}
	switch {
	case c.openEnded:
	case c.bodyLeft > 0:
		c.bodyLeft -= int64(n)
	default:
		n = c.parse(p[:n])
	}
	return n, err
}

// readBytes reads what was buffered, or else from the connection.
func (c *clientConn) readBytes(p []byte) (int, error) {
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	c.buffered = nil
	n, err := c.receive(p)
	if n > 0 {
		c.lastByteAt.Store(monotime.Now())
	}
	return n, err
}

// parse follows the current head. It returns how many bytes belong to it, and buffers those that follow.
func (c *clientConn) parse(data []byte) int {
	used, head := c.parser.Parse(data)
	if head != nil {
		c.bodyLeft = head.ContentLength
		c.openEnded = head.LastOnConnection
		c.addHead(*head)
	}
	if used < len(data) {
		c.buffered = append(bytes.Clone(data[used:]), c.buffered...)
	}
	return used
}

// awaitsDisconnect reports whether a read of so many bytes is the HTTP server's watch for a disconnect: it has a
// complete request and reads the first byte behind it. Where a body's end is not known here, such a read is the only
// one of a single byte.
func (c *clientConn) awaitsDisconnect(size int) bool {
	return c.hasCompleteHead() && (!c.openEnded || size == 1)
}

// readAhead buffers what comes behind a request that is being served, until the client disconnects or the HTTP server
// stops waiting. The HTTP server itself would stop at the first byte, and not notice a disconnect behind it.
func (c *clientConn) readAhead(p []byte) error {
	for len(c.buffered) <= maxReadAhead {
		n, err := c.Conn.Read(p)
		if !c.openEnded { // else no request may follow
			c.buffered = append(c.buffered, p[:n]...)
		}
		if err != nil {
			return err
		}
		if len(p) == 1 { // which is enough for most clients
			p = make([]byte, 1<<10)
		}
	}
	return errPipelineFlood
}

// discardAfterClose handles bytes that came after this side had closed the connection or rejected a request on it. In
// the latter case it reads on until the client closes.
func (c *clientConn) discardAfterClose(p []byte) error {
	for rejected := c.isRejected(); rejected; {
		if _, err := c.Conn.Read(p); err != nil {
			return err
		}
	}
	return net.ErrClosed
}

// markIdle records that a request has been answered and the connection stays.
func (c *clientConn) markIdle() { c.finishMessage(len(c.buffered) > 0) }

// incompleteResponse answers an incomplete request: nothing is done for it, whatever its client still sends.
const incompleteResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// incompleteResponseTimeout bounds the write of an incompleteResponse, which fits the buffer of a client that reads.
const incompleteResponseTimeout = 20 * time.Millisecond

// rejectIncomplete answers a client that has sent an incomplete head, and serves nothing more of it. The connection
// stays until the client closes it: a reset could overtake the response. It reports whether there was such a head.
func (c *clientConn) rejectIncomplete() bool {
	if !c.reject() {
		return false
	}
	c.Conn.SetWriteDeadline(time.Now().Add(incompleteResponseTimeout))
	io.WriteString(c.Conn, incompleteResponse)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	return true
}

// interruptBody ends the wait for a body that is read into memory. It is called repeatedly, as the body's reader sets
// deadlines of its own.
func (c *clientConn) interruptBody() {
	c.ifBuffering(func() { c.Conn.SetReadDeadline(time.Now()) })
}

// closeIfWaiting marks the connection as closed if no request is complete, nor partly received unless evenPartial. It
// reports whether it has; the caller then closes it.
func (c *clientConn) closeIfWaiting(evenPartial bool) bool {
	return c.closeIf(func(message messagePhase) bool {
		return evenPartial || message != messageReceiving && c.peek() != socketReadable
	})
}

// peek returns the state of the connection's socket.
func (c *clientConn) peek() socketState {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return peekSocket(sc)
	}
	return socketEmpty
}

const (
	// peerClosedTries and peerClosedPause are how often and how far apart peerClosed looks.
	peerClosedTries = 8
	peerClosedPause = 250 * time.Microsecond
)

// peerClosed reports whether the client has disconnected before anything is done for its request. It waits for a moment
// where bytes behind the request hide the state, until they are read ahead.
func (c *clientConn) peerClosed() bool {
	for range peerClosedTries {
		switch c.peek() {
		case socketEmpty:
			return false
		case socketPeerClosed:
			return true
		}
		time.Sleep(peerClosedPause)
	}
	return false
}

// lastActivity returns when the client last sent something, or else when it connected.
func (c *clientConn) lastActivity() (at time.Time, sent bool) {
	if last := c.lastByteAt.Load(); !last.IsZero() {
		return last.Time(), true
	}
	return c.openedAt, false
}

// sinceLastByte returns how long ago the client's last byte reached this machine.
func (c *clientConn) sinceLastByte() time.Duration {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sinceLastReceive(sc)
	}
	return 0
}

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// withClientConn is the ConnContext of the HTTP server.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	if limited, ok := c.(*limitedConn); ok {
		return context.WithValue(ctx, clientConnKey{}, limited.client)
	}
	return ctx
}

// clientConnOf returns the connection of a request; ok is false for a request that came on none, as in some tests.
func clientConnOf(ctx context.Context) (c *clientConn, ok bool) {
	c, ok = ctx.Value(clientConnKey{}).(*clientConn)
	return c, ok
}
