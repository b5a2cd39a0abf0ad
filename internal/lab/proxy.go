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

const (
	// proxyDialTimeout bounds a proxy's connect to its target.
	proxyDialTimeout = 3 * time.Second
	// proxyBufferBytes is the size of the largest chunk that a proxy forwards at once.
	proxyBufferBytes = 32 << 10
)

// Proxy is a TCP fault proxy on one link: it forwards each connection it accepts to its target. It can partition the
// link (new connections are accepted but carry nothing, open ones go silent, as with a machine that is cut off in
// PROTOCOL's "The network"), delay every chunk of data, reset every open connection, or reset a share of new ones.
// Its goroutines end with Close.
type Proxy struct {
	ln     net.Listener // nil: a CallerRouter accepts for it
	target string

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	healed  chan struct{} // nil: not partitioned; closed when the partition heals
	delay   time.Duration
	drop    float64 // share of new connections that are reset
	rng     *rand.Rand
	closed  bool
	observe func(chunk []byte) // called with each chunk that the near side sends; nil: none
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

// newProxy makes a proxy that gets its connections from a CallerRouter.
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

// Delay delays every chunk of data by d; 0 removes the delay.
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

// observeSent has a function called with each chunk that the near side of later connections sends.
func (p *Proxy) observeSent(observe func(chunk []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe = observe
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

// abort closes a connection with a reset.
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
		p.handle(c)
	}
}

// handle serves a connection that has been handle, or resets it where the link drops it.
func (p *Proxy) handle(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || (p.drop > 0 && p.rng.Float64() < p.drop) {
		abort(c)
		return
	}
	p.conns[c] = struct{}{}
	p.workers.Go(func() { p.serve(c) })
}

// track adds a connection to those that Reset and Close break; false where the proxy has closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// untrack removes and closes a connection.
func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.Close()
}

// serve connects to the target and forwards in both directions until both have ended.
func (p *Proxy) serve(c net.Conn) {
	stop := make(chan struct{})
	defer func() { p.untrack(c); close(stop) }()
	near := c
	if observe := p.observer(); observe != nil {
		near = newTap(c, observe, stop)
	}
	if !p.awaitForwarding() {
		return
	}
	far, err := p.dialTarget()
	if err != nil {
		p.refuse(c)
		return
	}
	if !p.track(far) {
		abort(far)
		return
	}
	defer p.untrack(far)
	var forward sync.WaitGroup
	forward.Go(func() { p.pipe(far, near) })
	p.pipe(c, far)
	forward.Wait()
}

func (p *Proxy) dialTarget() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), proxyDialTimeout)
	defer cancel()
	return (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
}

// refuse resets a connection whose target could not be connected to, as a refused connect would be.
func (p *Proxy) refuse(c net.Conn) {
	p.mu.Lock()
	p.refused[c.RemoteAddr().String()] = true
	p.mu.Unlock()
	abort(c)
}

// pipe copies from src to dst, through the partition and the delay, and half-closes dst at src's end.
func (p *Proxy) pipe(dst, src net.Conn) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !p.forward(dst, src, buffer[:n]) {
			return
		}
		if err != nil {
			propagateEnd(dst, err)
			return
		}
	}
}

// forward writes a chunk from src to dst; false where that has ended.
func (p *Proxy) forward(dst, src net.Conn, chunk []byte) bool {
	if !p.awaitForwarding() {
		return false
	}
	if _, err := dst.Write(chunk); err != nil {
		abort(src)
		return false
	}
	if ended(dst) && awaitReset(dst) {
		abort(src) // the chunk crossed the far side's close, which resets the connection
		return false
	}
	return true
}

// propagateEnd passes the end of the source on to dst: in order, or by a reset.
func propagateEnd(dst net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		abort(dst)
		return
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// awaitForwarding blocks while the link is partitioned, then for the delay; false once the proxy has closed.
func (p *Proxy) awaitForwarding() bool {
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
