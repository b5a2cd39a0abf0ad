package node

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"
)

// backendProcess is one process of a backend: the address, and when it started.
type backendProcess struct {
	addr      string
	startedAt time.Duration
}

// backendConn is a connection to a backend. It carries one request at a time.
type backendConn struct {
	net.Conn
	process   backendProcess
	limit     io.LimitedReader // bounds what one answer may hold
	reader    *bufio.Reader
	idleSince time.Time
}

// check tells whether an idle connection is still up, with nothing unread on it. A backend that was restarted under its
// old address leaves connections behind that would swallow a request.
func (c *backendConn) check() peeked {
	if c.reader.Buffered() > 0 {
		return bytesWait
	}
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return peekAt(sc)
	}
	return peerLeft // nobody can tell
}
