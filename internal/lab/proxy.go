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
	// proxyDialTimeout bounds the time that a proxy takes to connect to its target.
	proxyDialTimeout = 3 * time.Second
	// proxyBufferBytes is the size of the largest chunk that a proxy reads and forwards.
	proxyBufferBytes = 32 << 10
)

// Proxy is a TCP fault proxy on one link. It forwards each connection from a caller to its target. It can inject these
// faults: partition the link, delay every chunk of data, reset every open connection, or reset a share of the new
// connections. While the link is partitioned, new connections are accepted, and no connection carries data, as with a
// machine that is cut off in PROTOCOL's "The network". The caller of NewProxy must call Close, which ends its
// goroutines. The methods may be called by several goroutines.
type Proxy struct {
	ln     net.Listener // nil: a CallerRouter accepts connections for the proxy
	target string

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	healed  chan struct{} // nil: not partitioned; closed when the partition heals
	delay   time.Duration
	drop    float64 // share of new connections that are reset
	rng     *rand.Rand
	closed  bool
	observe func(chunk []byte) // called with each chunk that a caller sends; nil: not called
	refused map[string]bool    // by the caller's address: connections for which the target could not be reached
	buffer  int                // size of the sockets' buffers towards the target, in bytes; 0: the system's
	workers sync.WaitGroup
}

// NewProxy starts a proxy that listens on a free port of 127.0.0.1 and forwards to target (host:port). The seed
// determines which connections Drop resets.
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

// newProxy returns a proxy without a listener. The caller passes each connection to handle.
func newProxy(target string, seed uint64) *Proxy {
	return &Proxy{target: target, conns: map[net.Conn]struct{}{}, refused: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, 1))}
}

// Addr returns the address on which the proxy listens. It must not be called on a proxy of a CallerRouter.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Partition starts a partition of the link (true) or ends it (false).
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

// Delay delays every chunk of data by d from now on; 0 removes the delay.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	p.delay = d
	p.mu.Unlock()
}

// Drop resets a share (0 to 1) of the connections that arrive from now on, immediately when they arrive.
func (p *Proxy) Drop(share float64) {
	p.mu.Lock()
	p.drop = share
	p.mu.Unlock()
}

// Reset closes every open connection with a TCP reset, on both sides.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// Close stops the proxy, resets its connections and waits until its goroutines have ended.
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

// observeSent sets a function that is called with each chunk that callers send. It applies to connections that arrive
// later.
func (p *Proxy) observeSent(observe func(chunk []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe = observe
}

// limitBuffers sets the size, in bytes, of the sockets' buffers on the way to the target, for new connections. With the
// system's buffers a link holds megabytes that the target does not read.
func (p *Proxy) limitBuffers(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buffer = bytes
}

// applyBufferLimit sets the buffers of a connection's two sockets.
func (p *Proxy) applyBufferLimit(caller, target net.Conn) {
	p.mu.Lock()
	buffer := p.buffer
	p.mu.Unlock()
	if buffer == 0 {
		return
	}
	if tcp, ok := caller.(*net.TCPConn); ok {
		tcp.SetReadBuffer(buffer)
	}
	if tcp, ok := target.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(buffer)
	}
}

func (p *Proxy) observer() func([]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.observe
}

// refusedFor reports whether the proxy failed to connect to its target for the connection from a caller's address. The
// proxy records the failure before it resets that connection.
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

// handle serves an accepted connection in a goroutine, or resets it if the proxy has closed or Drop applies to it.
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

// track adds a connection to the connections that Reset and Close reset. It returns false if the proxy has closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// untrack closes a connection and removes it from the connections that Reset and Close reset.
func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.Close()
}

// serve connects to the target and forwards data in both directions until both directions have ended.
func (p *Proxy) serve(c net.Conn) {
	stop := make(chan struct{})
	defer func() { p.untrack(c); close(stop) }()
	caller := c
	if observe := p.observer(); observe != nil {
		caller = newTap(c, observe, stop)
	}
	if !p.awaitForwarding() {
		return
	}
	target, err := p.dialTarget()
	if err != nil {
		p.refuse(c)
		return
	}
	if !p.track(target) {
		abort(target)
		return
	}
	defer p.untrack(target)
	p.applyBufferLimit(c, target)
	var toTarget sync.WaitGroup
	toTarget.Go(func() { p.pipe(target, caller) })
	p.pipe(c, target)
	toTarget.Wait()
}

func (p *Proxy) dialTarget() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), proxyDialTimeout)
	defer cancel()
	return (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
}

// refuse resets a connection for which the target could not be reached. The caller sees a reset, as if the target had
// refused the connection.
func (p *Proxy) refuse(c net.Conn) {
	p.mu.Lock()
	p.refused[c.RemoteAddr().String()] = true
	p.mu.Unlock()
	abort(c)
}

// pipe copies data from src to dst, subject to the partition and the delay, until one of the connections ends. It
// passes the end of src on to dst.
func (p *Proxy) pipe(dst, src net.Conn) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !p.forward(dst, src, buffer[:n]) {
			return
		}
		if err != nil {
			passEnd(dst, err)
			return
		}
	}
}

// forward writes a chunk from src to dst. It returns false if the connection has ended.
func (p *Proxy) forward(dst, src net.Conn, chunk []byte) bool {
	if !p.awaitForwarding() {
		return false
	}
	if _, err := dst.Write(chunk); err != nil {
		abort(src)
		return false
	}
	if ended(dst) && awaitReset(dst) {
		abort(src) // dst had been closed before the chunk arrived there, and was reset in response
		return false
	}
	return true
}

// passEnd passes the end of a pipe's source on to dst. It half-closes dst if the source ended with EOF, and resets dst
// otherwise.
func passEnd(dst net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		abort(dst)
		return
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// awaitForwarding blocks while the link is partitioned, and then for the delay. It returns false if the proxy has
// closed.
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
