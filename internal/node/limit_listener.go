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

// limitListener bounds how many connections are open at once. Beyond that they wait in the backlog, where
// accepting them would run the process out of descriptors.
func newLimitListener(listener net.Listener, limit int) *limitListener {
	limited := &limitListener{Listener: listener, limit: limit}
	limited.cond = sync.NewCond(&limited.mu)
	return limited
}

// boundedListener can also rest: it accepts nothing, and leaves what comes to the other process of the node.
type limitListener struct {
	net.Listener

	mu       sync.Mutex
	cond     *sync.Cond // any of these has changed
	limit    int
	reserved int // accepted and not closed, with one place for Accept while it waits
	open     int // accepted and not closed
	paused   bool
	closed   bool

	retry accept.Retry
}

// backlogged tells whether connections may have to wait in the backlog, for want of room or since accept fails.
func (l *limitListener) backlogged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retry.Failing() || l.open >= l.limit
}

// logFailures has the listener log, at a bounded rate, failed calls of accept. It is called before the first Accept.
func (l *limitListener) logFailures(log *slog.Logger) {
	l.retry.OnRetry = accept.LogRetries(log, "clients")
}

// held is how many connections are open.
func (l *limitListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// allow sets how many connections may be open from now on. Those that are open already stay.
func (l *limitListener) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.cond.Broadcast()
}

// rest has the listener accept nothing, or accept again.
func (l *limitListener) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		if paused {
			d.SetDeadline(time.Now()) // wakes an Accept that waits
		} else {
			d.SetDeadline(time.Time{})
		}
	}
	l.cond.Broadcast()
}

// Accept waits for room and a connection. It returns an error only when no later call could succeed: net/http would end the
// server at most errors that pass.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		if err := l.acquireSlot(); err != nil {
			return nil, err
		}
		c, err := l.retry.Accept(l.Listener.Accept)
		paused := l.recordAccept(err)
		if err == nil {
			now := time.Now()
			client := &clientConn{Conn: c, openedAt: now, next: head{since: now}}
			return &limitedConn{Conn: client, client: client, release: sync.OnceFunc(l.releaseSlot)}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !paused {
			l.setPaused(false) // it rested for a moment
		}
	}
}

// awaitRoom waits until a connection may be accepted, and takes its place.
func (l *limitListener) acquireSlot() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && (l.reserved >= l.limit || l.paused) {
		l.cond.Wait()
	}
	if l.closed {
		return net.ErrClosed
	}
	l.reserved++
	return nil
}

// accepted takes in how a call of accept ended, and tells whether the listener rests.
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

func (l *limitListener) releaseSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved--
	l.open--
	l.cond.Broadcast()
}

func (l *limitListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.cond.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	client  *clientConn
	release func()
}

// reset has closing the connection tell the other side that something went wrong.
func (c *limitedConn) resetOnClose() {
	if t, ok := c.client.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

func (c *limitedConn) Close() error {
	c.client.markClosed()
	err := c.Conn.Close()
	c.release()
	return err
}
