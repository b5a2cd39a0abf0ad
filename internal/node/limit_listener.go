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

// limitListener is a connection limiter: it bounds how many accepted connections are open at once. Further ones wait
// in the backlog, where accepting them would run the process out of descriptors.
//
// It can be paused during a hand-over, so that the node's other process accepts instead.
type limitListener struct {
	net.Listener

	mu       sync.Mutex
	changed  *sync.Cond // signals a change of any field below
	limit    int        // most connections open at once
	reserved int        // slots in use: open connections, and one for an Accept in progress
	open     int        // accepted connections that are not closed
	paused   bool
	closed   bool

	retry accept.Retrier
}

// newLimitListener returns a listener that keeps at most limit connections of the given one open.
func newLimitListener(listener net.Listener, limit int) *limitListener {
	limited := &limitListener{Listener: listener, limit: limit}
	limited.changed = sync.NewCond(&limited.mu)
	return limited
}

// logFailures logs failed calls of accept at a bounded rate. It must be called before the first Accept.
func (l *limitListener) logFailures(log *slog.Logger) {
	l.retry.OnRetry = accept.LogRetries(log, "clients")
}

// backlogged reports whether connections may be waiting in the backlog: the limit is reached, or accept fails.
func (l *limitListener) backlogged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retry.Failing() || l.open >= l.limit
}

// openConns returns the number of open connections.
func (l *limitListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// setLimit changes how many connections may be open. Open ones beyond a lower limit stay open.
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
			d.SetDeadline(time.Now()) // interrupts an Accept in progress
		} else {
			d.SetDeadline(time.Time{})
		}
	}
	l.changed.Broadcast()
}

// Accept waits for a free slot and a connection. It retries errors that may pass, as net/http ends the server at most
// of them, and returns an error only when no later call could succeed.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		if err := l.acquireSlot(); err != nil {
			return nil, err
		}
		c, err := l.retry.Accept(l.Listener.Accept)
		paused := l.recordAccept(err)
		if err == nil {
			client := newClientConn(c, time.Now())
			return &limitedConn{Conn: client, client: client, release: sync.OnceFunc(l.releaseSlot)}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !paused {
			l.setPaused(false) // paused and resumed meanwhile: clears the deadline of the pause
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

// resetOnClose makes Close reset the connection, so that the client can tell a failure from an orderly end.
func (c *limitedConn) resetOnClose() {
	if t, ok := c.client.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// Close marks the connection as closed before it closes it: a request read later is not served.
func (c *limitedConn) Close() error {
	c.client.markClosed()
	err := c.Conn.Close()
	c.release()
	return err
}
