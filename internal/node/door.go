package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
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
}

// full tells whether connections have to wait.
func (l *boundedListener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken >= l.most
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
			d.SetDeadline(time.Unix(1, 0)) // wakes an Accept that waits
		} else {
			d.SetDeadline(time.Time{})
		}
	}
	l.cond.Broadcast()
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		for !l.closed && (l.open >= l.most || l.resting) {
			l.cond.Wait()
		}
		closed := l.closed
		l.open++
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		c, err := l.Listener.Accept()
		l.mu.Lock()
		resting := l.resting
		if err == nil {
			l.taken++
		} else {
			l.open--
		}
		l.mu.Unlock()
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
