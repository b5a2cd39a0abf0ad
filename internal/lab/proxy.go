package lab

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Proxy is a TCP fault proxy on one link: it forwards each connection it accepts to its target, and can
// partition the link (new connections come up but carry nothing, open ones go silent, as a machine cut off does
// in PROTOCOL's "The network"), delay every piece of data, reset every open connection, or reset a share of new
// ones at once. Its goroutines end with Close.
type Proxy struct {
	ln     net.Listener // nil: a fan accepts for it
	target string

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	healed  chan struct{} // nil: not partitioned; closed when the partition heals
	delay   time.Duration
	drop    float64
	rng     *rand.Rand
	closed  bool
	observe func(piece []byte) // sees each piece that the near side sends; nil: nobody does
	refused map[string]bool    // by the near side's address: connections that the far side refused
	workers sync.WaitGroup
}

// NewProxy listens on a port of 127.0.0.1 that the system picks and forwards to target (host:port).
func NewProxy(target string, seed uint64) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := newProxy(target, seed)
	p.ln = ln
	p.workers.Go(p.acceptLoop)
	return p, nil
}

func newProxy(target string, seed uint64) *Proxy {
	return &Proxy{target: target, conns: map[net.Conn]struct{}{}, refused: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, 1))}
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Partition cuts the link (true) or heals it (false).
func (p *Proxy) Partition(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.healed == nil:
		p.healed = make(chan struct{})
	case !on && p.healed != nil:
		close(p.healed)
		p.healed = nil
	}
}

// Delay holds every piece of data for d before it is passed on; 0 removes the delay.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	p.delay = d
	p.mu.Unlock()
}

// Drop resets that share (0 to 1) of the connections that arrive from now on, at once.
func (p *Proxy) Drop(share float64) {
	p.mu.Lock()
	p.drop = share
	p.mu.Unlock()
}

// Reset breaks every open connection with a TCP reset, on both sides.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// Close stops the proxy, breaks its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
	for c := range p.conns {
		abort(c)
	}
	p.mu.Unlock()
	if p.ln != nil {
		p.ln.Close()
	}
	p.workers.Wait()
}

// run has a function see each piece that the near side of later connections sends.
func (p *Proxy) observeSent(seen func(piece []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe = seen
}

func (p *Proxy) observer() func([]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.observe
}

// refusedFor tells whether the far side could not be connected to for the connection from an address. It is so before
// that connection ends.
func (p *Proxy) refusedFor(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[addr]
}

func abort(c net.Conn) {
	if t, ok := c.(*tap); ok {
		c = t.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) acceptLoop() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.accepted(c)
	}
}

// allocate serves a connection that has been accepted, or resets it where the link drops it.
func (p *Proxy) accepted(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || (p.drop > 0 && p.rng.Float64() < p.drop) {
		abort(c)
		return
	}
	p.conns[c] = struct{}{}
	p.workers.Go(func() { p.serve(c) })
}

// track adds or removes a connection; it reports false where the proxy has closed.
func (p *Proxy) track(c net.Conn, add bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !add {
		delete(p.conns, c)
		return true
	}
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) serve(c net.Conn) {
	stop := make(chan struct{})
	defer func() { p.track(c, false); c.Close(); close(stop) }()
	near := c
	if seen := p.observer(); seen != nil {
		near = newTap(c, seen, stop)
	}
	if !p.awaitPassage() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	up, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	cancel()
	if err != nil {
		p.mu.Lock()
		p.refused[c.RemoteAddr().String()] = true
		p.mu.Unlock()
		abort(c) // the far side is down: the near side sees its connection reset, as a refused connect would
		return
	}
	if !p.track(up, true) {
		abort(up)
		return
	}
	defer func() { p.track(up, false); up.Close() }()
	var pair sync.WaitGroup
	pair.Go(func() { p.pipe(up, near) })
	p.pipe(c, up)
	pair.Wait()
}

// pipe copies from src to dst, through the partition and the delay, and half-closes dst at src's end.
func (p *Proxy) pipe(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !p.awaitPassage() {
				return
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				abort(src)
				return
			}
			if ended(dst) && awaitReset(dst) {
				abort(src) // it crossed the close of the far side, which resets it
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				if t, ok := dst.(*net.TCPConn); ok {
					t.CloseWrite()
				}
			} else {
				abort(dst)
			}
			return
		}
	}
}

// wait holds while the link is partitioned, then for the delay; false once the proxy has closed.
func (p *Proxy) awaitPassage() bool {
	p.mu.Lock()
	healed, delay, closed := p.healed, p.delay, p.closed
	p.mu.Unlock()
	if healed != nil {
		<-healed
		p.mu.Lock()
		closed = p.closed
		p.mu.Unlock()
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}
