package node

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"hitchvale/internal/accept"
)

// limitListener is a listener that bounds how many accepted connections are open at the same time. Further connections
// wait in the backlog, since accepting them would use up the descriptors of the process. Its methods are safe for
// concurrent use, except that only one goroutine may call Accept.
//
// It can be paused during a hand-over, so that the node's other process accepts instead.
type limitListener struct {
	net.Listener

	mu       sync.Mutex
	changed  *sync.Cond // signals a change of any field below
	limit    int        // most connections open at the same time
	reserved int        // slots in use: one for each open connection and for an Accept in progress
	open     int        // accepted connections that are not closed yet
	paused   bool
	closed   bool

	retry accept.Retrier
	conns *clientLimits // of the accepted connections
}

// newLimitListener returns a listener that accepts from the given one and has at most limit connections open. The
// accepted connections share conns.
func newLimitListener(listener net.Listener, limit int, conns *clientLimits) *limitListener {
	limited := &limitListener{Listener: listener, limit: limit, conns: conns}
	limited.changed = sync.NewCond(&limited.mu)
	return limited
}

// logFailures makes the listener log failed calls of accept, at a bounded rate. It must be called before the first
// Accept.
func (l *limitListener) logFailures(log *slog.Logger) {
	l.retry.OnRetry = accept.LogRetries(log, "clients")
}

// backlogged reports whether connections may be waiting in the backlog because the limit is reached or accept fails.
func (l *limitListener) backlogged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retry.Failing() || l.open >= l.limit
}

// full returns the limit of connections, and whether it is reached.
func (l *limitListener) full() (limit int, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit, l.limit > 0 && l.open >= l.limit
}

// openConns returns the number of open connections.
func (l *limitListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// setLimit changes how many connections may be open. Connections that are open beyond a lower limit stay open.
func (l *limitListener) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.changed.Broadcast()
}

// setPaused stops or resumes accepting. Pausing also interrupts an Accept in progress.
func (l *limitListener) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		if paused {
			d.SetDeadline(time.Now()) // interrupts a call of accept in progress
		} else {
			d.SetDeadline(time.Time{})
		}
	}
	l.changed.Broadcast()
}

// Accept waits for a free slot and a connection. It retries after transient errors, since net/http would end the server
// after most of them. It returns an error only if every later call would fail too.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		if err := l.acquireSlot(); err != nil {
			return nil, err
		}
		c, err := l.retry.Accept(l.Listener.Accept)
		paused := l.recordAccept(err)
		if err == nil {
			client := newClientConn(c, time.Now(), l.conns)
			return &limitedConn{Conn: client, client: client, release: sync.OnceFunc(l.releaseSlot)}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !paused {
			l.setPaused(false) // the pause has ended already; this clears the deadline that the pause set
		}
	}
}

// acquireSlot waits until a connection may be accepted, and reserves its slot. It returns net.ErrClosed once the
// listener is closed.
func (l *limitListener) acquireSlot() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && (l.reserved >= l.limit || l.paused) {
		l.changed.Wait()
	}
	if l.closed {
		return net.ErrClosed
	}
	l.reserved++
	return nil
}

// recordAccept records the result of a call of accept and reports whether the listener is paused.
func (l *limitListener) recordAccept(err error) (paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.open++
	} else {
		l.reserved--
	}
	return l.paused
}

// releaseSlot frees the slot of a connection that has been closed.
func (l *limitListener) releaseSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved--
	l.open--
	l.changed.Broadcast()
}

// Close closes the listener. Accepted connections stay open.
func (l *limitListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// limitedConn is an accepted connection that holds a slot of its limitListener until it is closed.
type limitedConn struct {
	net.Conn
	client  *clientConn
	release func() // frees the slot, once
}

// resetOnClose makes Close reset the connection, so that the client can distinguish a failure from an orderly close.
func (c *limitedConn) resetOnClose() {
	if t, ok := c.client.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// Close closes the connection and frees its slot. It first marks the connection as closed, so that a request that is
// read afterwards is not served.
func (c *limitedConn) Close() error {
	c.client.markClosed()
	c.client.releaseHead()
	err := c.Conn.Close()
	c.release()
	return err
}
