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
func limitListener(l net.Listener, most int) *boundedListener {
	b := &boundedListener{Listener: l, most: most}
	b.cond = sync.NewCond(&b.mu)
	return b
}

// boundedListener can also rest: it accepts nothing, and leaves what comes to the other process of the node.
type boundedListener struct {
	net.Listener

	mu      sync.Mutex
	cond    *sync.Cond // any of these has changed
	most    int
	open    int // accepted and not closed, with one place for Accept while it waits
	taken   int // accepted and not closed
	resting bool
	closed  bool

	retry accept.Retry
}

// backlogged tells whether connections may have to wait in the backlog, for want of room or since accept fails.
func (l *boundedListener) backlogged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retry.Failing() || l.taken >= l.most
}

// logFailures has the listener log, at a bounded rate, failed calls of accept. It is called before the first Accept.
func (l *boundedListener) logFailures(log *slog.Logger) {
	l.retry.OnRetry = accept.LogRetries(log, "clients")
}

// held is how many connections are open.
func (l *boundedListener) held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken
}

// allow sets how many connections may be open from now on. Those that are open already stay.
func (l *boundedListener) allow(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
	l.cond.Broadcast()
}

// rest has the listener accept nothing, or accept again.
func (l *boundedListener) rest(resting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resting = resting
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		if resting {
			d.SetDeadline(time.Now()) // wakes an Accept that waits
		} else {
			d.SetDeadline(time.Time{})
		}
	}
	l.cond.Broadcast()
}

// Accept waits for room and a connection. It returns an error only when no later call could succeed: net/http would end the
// server at most errors that pass.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		if err := l.awaitRoom(); err != nil {
			return nil, err
		}
		c, err := l.retry.Accept(l.Listener.Accept)
		resting := l.accepted(err)
		if err == nil {
			now := time.Now()
			framed := &framedConn{Conn: c, opened: now, next: head{since: now}}
			return &boundedConn{Conn: framed, framed: framed, release: sync.OnceFunc(l.release)}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !resting {
			l.rest(false) // it rested for a moment
		}
	}
}

// awaitRoom waits until a connection may be accepted, and takes its place.
func (l *boundedListener) awaitRoom() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && (l.open >= l.most || l.resting) {
		l.cond.Wait()
	}
	if l.closed {
		return net.ErrClosed
	}
	l.open++
	return nil
}

// accepted takes in how a call of accept ended, and tells whether the listener rests.
func (l *boundedListener) accepted(err error) (resting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.taken++
	} else {
		l.open--
	}
	return l.resting
}

func (l *boundedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.taken--
	l.cond.Broadcast()
}

func (l *boundedListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.cond.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	framed  *framedConn
	release func()
}

// reset has closing the connection tell the other side that something went wrong.
func (c *boundedConn) reset() {
	if t, ok := c.framed.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

func (c *boundedConn) Close() error {
	c.framed.end()
	err := c.Conn.Close()
	c.release()
	return err
}
