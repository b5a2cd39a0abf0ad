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

// newTestPool returns a pool whose connections are open and have nothing unread, and its counts of closed ones.
func newTestPool(maxOpen int) (*Pool, map[CloseReason]int) {
	closed := map[CloseReason]int{}
	return New(Config{
		MaxOpen: maxOpen,
		Inspect: func(net.Conn) (open, unread bool) { return true, false },
		OnClose: func(reason CloseReason) { closed[reason]++ },
	}), closed
}

func acquire(t *testing.T, p *Pool, server Server) *Conn {
	t.Helper()
	c, err := p.Acquire(context.Background(), server)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A connection that has been idle for maxIdle is not reused: a request that crosses its close may have run.
func TestOldIdleConnectionsAreNotUsed(t *testing.T) {
	server := listen(t)
	p, closed := newTestPool(16)
	fresh := acquire(t, p, server)
	p.Release(fresh)
	if c := acquire(t, p, server); c != fresh {
		t.Fatal("a fresh idle connection was not reused")
	}
	p.Release(fresh)
	fresh.idleSince = time.Now().Add(-p.maxIdle)
	c := acquire(t, p, server)
	if c == fresh || closed[ClosedIdle] != 1 {
		t.Errorf("an old idle connection was used, or not closed as one: %v", closed)
	}
	if open, idle := p.Size(); open != 1 || idle != 0 || p.TakeDials() != 2 {
		t.Errorf("%d connections, %d idle, want 1 and none after two dials", open, idle)
	}
}

// Of the idle connections the one used last is reused; under quarantine the last one of those that have rested.
func TestConnectionUsedLastIsReused(t *testing.T) {
	server := listen(t)
	p, _ := newTestPool(16)
	first, second := acquire(t, p, server), acquire(t, p, server)
	p.Release(first)
	p.Release(second)
	if c := acquire(t, p, server); c != second {
		t.Error("not the connection used last")
	}
	p.Release(second)
	p.StartQuarantine()
	first.idleSince = time.Now().Add(-p.quarantine)
	second.idleSince = time.Now().Add(time.Minute)
	if c := acquire(t, p, server); c != first {
		t.Error("not the connection that has rested")
	}
}

// At its limit the pool closes the connection that has been idle longest, whosever it is, and else refuses.
func TestLimitClosesTheLongestIdle(t *testing.T) {
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
		t.Error("the newer connection was closed")
	}
	if _, err := p.Acquire(context.Background(), b); !errors.Is(err, ErrExhausted) {
		t.Errorf("with none idle: %v", err)
	}
}
