package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"hitchvale/balance"
)

// datagramMost is the longest datagram between nodes, and peersLeast how many may wait in a small fleet: only turns of the
// loop that follow one another at once can fill that.
const maxDatagramBytes, minQueuedDatagrams = 256, 64

// peersRetry is how long reading rests after an error.
const peerReadRetryDelay = 2 * time.Millisecond

// peers exchanges datagrams with the other nodes.
type peers struct {
	conn      datagramConn
	addresses []netip.AddrPort // by number
	broadcast netip.AddrPort
	outgoing  chan datagram
}

// datagramConn is a socket for datagrams: net.UDPConn, or a test's.
type datagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

type datagram struct {
	to      netip.AddrPort
	payload []byte
}

// listenPeers opens the node's socket for datagrams.
func listenPeers(cfg *Config) (*peers, error) {
	// One for each may be told in a turn of the loop, before any goes out.
	p := &peers{outgoing: make(chan datagram, max(len(cfg.Peers), minQueuedDatagrams))}
	for _, s := range cfg.Peers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		p.addresses = append(p.addresses, a)
	}
	if cfg.PeersAll != "" {
		var err error
		if p.broadcast, err = netip.ParseAddrPort(cfg.PeersAll); err != nil {
			return nil, err
		}
	}
	lc := net.ListenConfig{}
	if cfg.Admin != "" {
		lc.Control = sharePort // with the other process of the node
	}
	pc, err := lc.ListenPacket(context.Background(), "udp", cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	p.conn = pc.(*net.UDPConn)
	return p, nil
}

// tell sends a datagram to one peer or to all of them. It never blocks: a datagram may be lost anyway.
func (p *peers) enqueue(peer int, payload []byte) {
	to := p.broadcast
	if peer != balance.AllPeers {
		if peer < 0 || peer >= len(p.addresses) {
			return
		}
		to = p.addresses[peer]
	}
	if !to.IsValid() || len(payload) > maxDatagramBytes {
		return
	}
	select {
	case p.outgoing <- datagram{to, append([]byte(nil), payload...)}:
	default:
	}
}

// send sends what is told until ctx ends. A datagram that can't be sent is lost, as any may be.
func (p *peers) writeQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.outgoing:
			p.conn.WriteToUDPAddrPort(d.payload, d.to)
		}
	}
}

// run passes on what other nodes say until ctx ends. What is too long, or from nobody known, is ignored.
func (p *peers) run(ctx context.Context, heard func(peer int, payload []byte)) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	var sender sync.WaitGroup
	defer sender.Wait()
	sender.Go(func() { p.writeQueued(ctx) })
	number := make(map[netip.AddrPort]int, len(p.addresses))
	for i, a := range p.addresses {
		number[a] = i
	}
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// What a peer's machine sent back for a datagram of ours, or a shortage that may last.
			pause(ctx, peerReadRetryDelay)
			continue
		}
		i, ok := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if ok && n <= maxDatagramBytes {
			heard(i, append([]byte(nil), buf[:n]...))
		}
	}
}
