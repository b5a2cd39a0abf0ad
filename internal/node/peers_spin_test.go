package node

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingConn fails each read immediately, like a socket on a machine without free buffers.
type failingConn struct {
	reads  atomic.Int64
	closed atomic.Bool
}

func (c *failingConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	c.reads.Add(1)
	if c.closed.Load() {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	return 0, netip.AddrPort{}, syscall.ENOBUFS
}

func (c *failingConn) WriteToUDPAddrPort([]byte, netip.AddrPort) (int, error) {
	return 0, syscall.ENOBUFS
}

func (c *failingConn) LocalAddr() net.Addr { return &net.UDPAddr{} }

func (c *failingConn) Close() error {
	c.closed.Store(true)
	return nil
}

// A node whose gossip socket fails retries the read at a rate that takes little processor time.
func TestBrokenPeerSocketDoesNotSpin(t *testing.T) {
	c := &failingConn{}
	p := &peers{conn: c, outgoing: make(chan datagram, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		p.run(ctx, func(int, []byte) {})
		close(ended)
	}()
	time.Sleep(300 * time.Millisecond)
	if n := c.reads.Load(); n > 1000 || n < 2 {
		t.Errorf("%d reads in 300 ms, want 2 to 1000", n)
	}
	cancel()
	receive(t, "the end of run", ended)
}
