package node

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"hitchvale/internal/monotime"
)

// clientConn is a client's connection. It passes the HTTP server one request at a time and each head only when it is
// complete, has httpframing check the framing of each head, and detects a client that disconnects while its request is
// being served.
//
// Only one goroutine at a time may call Read. The methods of connState are safe for concurrent use.
type clientConn struct {
	net.Conn
	connState

	limits *clientLimits // shared by all connections

	raw       syscall.RawConn // the socket; set by the first read, nil if Conn has no socket
	head      headReader
	received  []byte       // bytes that Read has not returned yet
	readAhead atomic.Int64 // length of the bytes in received that follow the current request
	headLeft  int          // how many bytes of received belong to a complete head
	bodyLeft  int64        // number of bytes of the current request's body that Read has not returned yet
	// openEnded is set if only the reader of the body can tell where the current request ends. No other request may
	// follow on the connection.
	openEnded bool

	progress bodyProgress // guarded by the lock of connState

	openedAt     time.Time
	writingSince monotime.Atomic // when the write in progress of a piece began; zero if there is none
	lastByteAt   monotime.Atomic // when bytes were last received; zero if none were
}

// newClientConn wraps a connection that was opened at openedAt.
func newClientConn(c net.Conn, openedAt time.Time, limits *clientLimits) *clientConn {
	return &clientConn{Conn: c, limits: limits, openedAt: openedAt, head: headReader{startedAt: openedAt}}
}

// Read returns bytes up to the end of the current head or body, never beyond it. The read by which the HTTP server
// waits for a disconnect (awaitsDisconnect) returns no bytes.
func (c *clientConn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.headLeft > 0:
		return c.returnHead(p), nil
	case c.bodyLeft > 0 && !c.openEnded:
		n, err := c.readBytes(p[:min(int64(len(p)), c.bodyLeft)])
		c.bodyLeft -= int64(n)
		return n, err
	case c.awaitsDisconnect(len(p)):
		return 0, c.awaitDisconnect(p)
	case c.openEnded:
		return c.readBytes(p)
	}
	return c.readHead(p)
}

// readBytes returns bytes that have been received already if there are any, and otherwise receives from the connection.
func (c *clientConn) readBytes(p []byte) (int, error) {
	if len(c.received) > 0 {
		n := copy(p, c.received)
		c.drop(n)
		return n, nil
	}
	return c.receiveOpen(p)
}

// receiveOpen receives from the connection, and discards bytes that arrive after the node has closed it or has rejected
// a request on it.
func (c *clientConn) receiveOpen(p []byte) (int, error) {
	n, err := c.receive(p)
	if n > 0 {
		c.lastByteAt.Store(monotime.Now())
		if !c.markReceiving() {
			return 0, c.discardAfterClose(p)
		}
	}
	return n, err
}

// drop removes the first n received bytes, which Read has returned.
func (c *clientConn) drop(n int) {
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil // frees the buffer while the connection is idle
	}
}

// returnHead returns bytes of a complete head.
func (c *clientConn) returnHead(p []byte) int {
	n := copy(p, c.received[:c.headLeft])
	c.headLeft -= n
	c.drop(n)
	return n
}

// awaitsDisconnect reports whether the HTTP server uses a read of size bytes to watch for a disconnect: the server has
// a complete request and reads the first byte after it. If the end of the body is not known here (openEnded), this read
// is recognized by its size, since it is the only read of a single byte.
func (c *clientConn) awaitsDisconnect(size int) bool {
	return c.hasCompleteHead() && (!c.openEnded || size == 1)
}

// maxDiscarded bounds the bytes that are read and dropped after a request has been rejected.
const maxDiscarded = 4 * maxBodyBytes

// discardAfterClose handles bytes that were read after the node had closed the connection or rejected a request on it.
// After a rejection it discards bytes until the client closes the connection, so that a reset does not overtake the
// response.
func (c *clientConn) discardAfterClose(p []byte) error {
	for discarded := 0; c.isRejected() && discarded < maxDiscarded; {
		yieldToOthers()
		n, err := c.Conn.Read(p)
		if err != nil {
			return err
		}
		discarded += n
	}
	return net.ErrClosed
}

// markIdle records that the current request has its response and that the connection stays open.
func (c *clientConn) markIdle() {
	c.releaseHead()
	c.finishMessage(len(c.received) > 0)
}

// interruptBody interrupts the reading of a body that is not forwarded meanwhile. It has to be called repeatedly,
// because the body's reader sets read deadlines as well.
func (c *clientConn) interruptBody() {
	c.ifReadingBody(func() { c.Conn.SetReadDeadline(time.Now()) })
}

// closeIfWaiting marks the connection as closed if the node waits for a request on it: no request is complete and,
// unless includePartial is set, no part of a request has been received. It reports whether it marked the connection;
// the caller then has to close it.
func (c *clientConn) closeIfWaiting(includePartial bool) bool {
	return c.closeIf(func(message messagePhase) bool {
		if message == messageReceiving {
			return includePartial && c.headIncomplete
		}
		return c.peek() != socketReadable
	})
}

// peek returns the state of the connection's socket. A connection without a socket counts as empty.
func (c *clientConn) peek() socketState {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return peekSocket(sc)
	}
	return socketEmpty
}

// peerHasClosed reports whether the client has closed the connection, also if bytes that it sent before are unread. The
// result is false if the system does not tell.
func (c *clientConn) peerHasClosed() bool {
	sc, ok := c.Conn.(syscall.Conn)
	return ok && peerHasClosed(sc)
}

// disconnected reports whether the client has already disconnected. It is called before a request is dispatched, also
// if the client has sent bytes behind the request.
func (c *clientConn) disconnected() bool {
	switch c.peek() {
	case socketEmpty:
		return false
	case socketPeerClosed:
		return true
	}
	return c.peerHasClosed()
}

// lastActivity returns when the client last sent bytes. If it has not sent any, sent is false and at is the time when
// it connected.
func (c *clientConn) lastActivity() (at time.Time, sent bool) {
	if last := c.lastByteAt.Load(); !last.IsZero() {
		return last.Time(), true
	}
	return c.openedAt, false
}

// sinceLastByte returns how long ago the client's last byte reached this machine; 0 if that is not known.
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

// clientConnOf returns the connection of a request. In tests a request may have no connection, and ok is false.
func clientConnOf(ctx context.Context) (c *clientConn, ok bool) {
	c, ok = ctx.Value(clientConnKey{}).(*clientConn)
	return c, ok
}
