package connpool

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// listen returns a server that accepts connections and keeps them open until the test ends.
func listen(t *testing.T) Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return Server{Addr: l.Addr().String()}
}

// newTestPool returns a pool whose connections always count as open and without unread bytes. It also returns a map in
// which the pool counts the connections that it closes, by reason.
func newTestPool(maxOpen int) (*Pool, map[CloseReason]int) {
	closed := map[CloseReason]int{}
	return New(Config{
		MaxOpen: maxOpen,
		Inspect: func(net.Conn) (open, unread bool) { return true, false },
		OnClose: func(reason CloseReason) { closed[reason]++ },
	}), closed
}

// acquire returns a connection from the pool, and fails the test on an error.
func acquire(t *testing.T, p *Pool, server Server) *Conn {
	t.Helper()
	c, err := p.Acquire(context.Background(), server)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A connection that has been idle for maxIdle is closed and not reused. Its server may be about to close it, and the
// pool's user could then not tell whether a request on it has run.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	server := listen(t)
	p, closed := newTestPool(16)
	conn := acquire(t, p, server)
	p.Release(conn)
	if c := acquire(t, p, server); c != conn {
		t.Fatal("an idle connection was not reused before maxIdle")
	}
	p.Release(conn)
	conn.idleSince = time.Now().Add(-p.maxIdle)
	c := acquire(t, p, server)
	if c == conn || closed[ClosedIdle] != 1 {
		t.Errorf("an expired connection was reused, or not closed as idle; closed by reason: %v", closed)
	}
	if open, idle := p.Size(); open != 1 || idle != 0 || p.TakeDials() != 2 {
		t.Errorf("%d connections, %d idle, want 1 and none after two dials", open, idle)
	}
}

// The most recently used idle connection is reused. During a quarantine period it is the most recently used connection
// whose quarantine has ended.
func TestMostRecentlyUsedConnectionIsReused(t *testing.T) {
	server := listen(t)
	p, _ := newTestPool(16)
	first, second := acquire(t, p, server), acquire(t, p, server)
	p.Release(first)
	p.Release(second)
	if c := acquire(t, p, server); c != second {
		t.Error("the reused connection is not the most recently used one")
	}
	p.Release(second)
	p.StartQuarantine()
	first.idleSince = time.Now().Add(-p.quarantine)
	second.idleSince = time.Now().Add(time.Minute)
	if c := acquire(t, p, server); c != first {
		t.Error("the reused connection is not the one whose quarantine has ended")
	}
}

// At the connection limit, Acquire closes the connection that has been idle longest among the connections to all
// servers. If no connection is idle, Acquire returns ErrExhausted.
func TestLimitClosesTheLongestIdleConnection(t *testing.T) {
	a, b := listen(t), listen(t)
	p, _ := newTestPool(2)
	older, newer := acquire(t, p, a), acquire(t, p, a)
	p.Release(older)
	p.Release(newer)
	older.idleSince = newer.idleSince.Add(-time.Millisecond)
	acquire(t, p, b)
	if open, idle := p.Size(); open != 2 || idle != 1 {
		t.Errorf("%d connections, %d idle, want 2 and 1", open, idle)
	}
	if c := acquire(t, p, a); c != newer {
		t.Error("the connection that was idle for less time was closed")
	}
	if _, err := p.Acquire(context.Background(), b); !errors.Is(err, ErrExhausted) {
		t.Errorf("error %v without an idle connection, want %v", err, ErrExhausted)
	}
}
