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

const (
	// maxDatagramBytes is the maximum size of a datagram between nodes. Longer datagrams are dropped.
	maxDatagramBytes = 256
	// minQueuedDatagrams is the length of the queue of outgoing datagrams in a fleet with fewer peers than this.
	minQueuedDatagrams = 64
	// peerReadRetryDelay is the delay after a failed read. A read fails with an ICMP error that an earlier datagram
	// caused, or because of a shortage of resources that may last.
	peerReadRetryDelay = 2 * time.Millisecond
)

// peers exchanges gossip datagrams with the other nodes. Any datagram may be lost without notice.
type peers struct {
	conn      datagramConn
	addresses []netip.AddrPort // by the peer's index
	broadcast netip.AddrPort   // the address that reaches every peer; invalid if there is none
	outgoing  chan datagram
}

// datagramConn is the part of net.UDPConn that peers uses.
type datagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// datagram is an outgoing datagram in the queue.
type datagram struct {
	to      netip.AddrPort
	payload []byte
}

// listenPeers opens the node's socket for gossip. run closes the socket when it ends; a caller that does not call run
// must close the socket itself.
func listenPeers(cfg *Config) (*peers, error) {
	// One iteration of the event loop may queue a datagram for each peer before any is written.
	p := &peers{outgoing: make(chan datagram, max(len(cfg.Peers), minQueuedDatagrams))}
	for _, text := range cfg.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		p.addresses = append(p.addresses, address)
	}
	if cfg.PeersAll != "" {
		var err error
		if p.broadcast, err = netip.ParseAddrPort(cfg.PeersAll); err != nil {
			return nil, err
		}
	}
	listenConfig := net.ListenConfig{}
	if cfg.Admin != "" {
		listenConfig.Control = sharePort // the predecessor or successor uses the same port
	}
	conn, err := listenConfig.ListenPacket(context.Background(), "udp", cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	p.conn = conn.(*net.UDPConn)
	return p, nil
}

// enqueue queues a datagram for one peer, or for all peers if peer is balance.AllPeers. It never blocks. If the queue
// is full, the datagram is dropped.
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
	case p.outgoing <- datagram{to: to, payload: append([]byte(nil), payload...)}:
	default:
	}
}

// writeQueued writes queued datagrams until ctx ends.
func (p *peers) writeQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.outgoing:
			p.conn.WriteToUDPAddrPort(d.payload, d.to) // a datagram that cannot be written is lost
		}
	}
}

// run writes queued datagrams and calls onMessage with each datagram from a peer, until ctx ends. It drops datagrams
// that are too long or come from unknown senders. It closes the socket when ctx ends.
func (p *peers) run(ctx context.Context, onMessage func(peer int, payload []byte)) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { p.writeQueued(ctx) })
	indexByAddress := make(map[netip.AddrPort]int, len(p.addresses))
	for i, address := range p.addresses {
		indexByAddress[address] = i
	}
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			pause(ctx, peerReadRetryDelay)
			continue
		}
		peer, known := indexByAddress[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && n <= maxDatagramBytes {
			onMessage(peer, append([]byte(nil), buffer[:n]...))
		}
	}
}
