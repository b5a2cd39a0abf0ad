package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hitchvale/internal/monotime"
)

const (
	// defaultConnectTimeout and defaultIdleClose stand for settings that are not given.
	defaultConnectTimeout = time.Second
	defaultIdleClose      = 5 * time.Second
	// maxIdlePercent is the part of the backends' idle timeout for which a connection may be idle here. A backend
	// closes an idle connection at that timeout at the latest, and a request that crosses the close may have run.
	maxIdlePercent = 70
	// sweepsPerMaxIdle is how often within that time the pool looks for connections that have expired.
	sweepsPerMaxIdle = 8
	// quarantineTime is how long a connection rests between two requests while backends send more than their
	// responses: a second response that comes a moment late would be read as the next request's. It is at most a
	// tenth of the idle timeout.
	quarantineTime = 6 * time.Millisecond
	// quarantinePeriod is for how long connections are quarantined after a backend has sent more than a response. At
	// other times they are not: a rest costs latency.
	quarantinePeriod = 2 * time.Minute
)

// errPoolExhausted is the error of acquiring a connection where the node may open no more of them.
var errPoolExhausted = errors.New("no descriptor left for a connection to a backend")

// connPool holds the connections to backends: the idle ones, and a count of all. Each carries one request at a time.
//
// A connection is reused if it is idle for less than maxIdle, has been through its quarantine, is still open and has
// nothing to be read on it; of those the one used last. It is closed otherwise, and where its backend becomes
// unavailable. There are at most maxOpen, idle or not; at the limit the one that has been idle longest is closed for
// a new one. All methods may be called from any goroutine.
type connPool struct {
	dialer     net.Dialer
	maxIdle    time.Duration
	quarantine time.Duration

	dials           atomic.Int64 // connections dialed since the event loop last logged them
	closes          *closeCounters
	quarantineUntil monotime.Atomic

	mu      sync.Mutex
	maxOpen int
	open    int                               // connections, idle or not, and dials under way
	idle    map[backendProcess][]*backendConn // never empty lists, in the order of idleSince
}

// newConnPool returns a pool of at most maxOpen connections. idleClose is after how long a backend closes idle ones.
// Durations of 0 stand for the defaults.
func newConnPool(maxOpen int, connectTimeout, idleClose time.Duration) *connPool {
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	if idleClose <= 0 {
		idleClose = defaultIdleClose
	}
	return &connPool{
		// A silent machine answers no SYN, which Timeout bounds; keep-alive probes would notice it too late.
		dialer:     net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		maxIdle:    idleClose * maxIdlePercent / 100,
		quarantine: min(quarantineTime, idleClose/10),
		closes:     new(closeCounters),
		maxOpen:    maxOpen,
		idle:       map[backendProcess][]*backendConn{},
	}
}

// acquire returns an idle connection to a backend, or dials one. The caller has to release or discard it. Its errors
// are errPoolExhausted, the context's, and those of dialing.
func (p *connPool) acquire(ctx context.Context, to backendProcess) (*backendConn, error) {
	for {
		c := p.takeIdle(to)
		if c == nil {
			return p.dial(ctx, to)
		}
		pause(ctx, p.currentQuarantine()-time.Since(c.idleSince))
		if ctx.Err() != nil {
			p.addIdle(c)
			return nil, ctx.Err()
		}
		if p.isReusable(c) {
			return c, nil
		}
		p.closes.add(closedStale)
		p.close(c)
	}
}

// dial opens a connection to a backend, where there may be one more.
func (p *connPool) dial(ctx context.Context, to backendProcess) (*backendConn, error) {
	if !p.reserveSlot() {
		return nil, errPoolExhausted
	}
	p.dials.Add(1)
	conn, err := p.dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return newBackendConn(conn, to), nil
}

// release takes back a connection whose last response was read completely.
func (p *connPool) release(c *backendConn) {
	c.idleSince = time.Now()
	p.addIdle(c)
}

// discard closes a connection that can't carry another request.
func (p *connPool) discard(c *backendConn) {
	p.closes.add(closedNotReusable)
	p.close(c)
}

// isReusable says whether an idle connection is open and has nothing unread on it, which starts the quarantine.
func (p *connPool) isReusable(c *backendConn) bool {
	switch c.check() {
	case socketEmpty:
		return true
	case socketReadable:
		p.startQuarantine()
	}
	return false
}

// startQuarantine follows from a backend that has sent more than a response.
func (p *connPool) startQuarantine() { p.quarantineUntil.Store(monotime.Now().Add(quarantinePeriod)) }

// currentQuarantine returns how long a connection has to be idle now before it is reused.
func (p *connPool) currentQuarantine() time.Duration {
	if monotime.Now() < p.quarantineUntil.Load() {
		return p.quarantine
	}
	return 0
}

// takeIdle removes the idle connection to a backend that was used last of those through their quarantine, else the
// one that will be first; nil if there is none.
func (p *connPool) takeIdle(to backendProcess) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	conns := p.closeExpired(p.idle[to], now, p.maxIdle)
	if len(conns) == 0 {
		p.setIdle(to, nil)
		return nil
	}
	quarantine := p.currentQuarantine()
	i := len(conns) - 1
	for i > 0 && now.Sub(conns[i].idleSince) < quarantine {
		i--
	}
	c := conns[i]
	p.setIdle(to, slices.Delete(conns, i, i+1))
	return c
}

// addIdle enters a connection among the idle ones, in the order of their last use.
func (p *connPool) addIdle(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.process]
	at, _ := slices.BinarySearchFunc(conns, c, func(a, b *backendConn) int {
		return a.idleSince.Compare(b.idleSince)
	})
	p.idle[c.process] = slices.Insert(conns, at, c)
}

// setIdle sets the idle connections to a backend. The caller holds mu.
func (p *connPool) setIdle(to backendProcess, conns []*backendConn) {
	if len(conns) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = conns
	}
}

// reserveSlot counts a connection that is about to be dialed. At the limit it closes the one that has been idle
// longest, and returns false if none is idle.
func (p *connPool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxOpen {
		p.open++
		return true
	}
	var oldest *backendConn
	for _, conns := range p.idle {
		if oldest == nil || conns[0].idleSince.Before(oldest.idleSince) {
			oldest = conns[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.process, p.idle[oldest.process][1:])
	oldest.Close()
	return true
}

func (p *connPool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// setMaxOpen sets how many connections there may be from now on, and closes idle ones beyond that.
func (p *connPool) setMaxOpen(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
	for to, conns := range p.idle {
		for len(conns) > 0 && p.open > p.maxOpen {
			conns[0].Close()
			conns = conns[1:]
			p.open--
		}
		p.setIdle(to, conns)
	}
}

// size returns how many connections there are, and how many of them are idle.
func (p *connPool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return p.open, idle
}

// close closes a connection that is not among the idle ones.
func (p *connPool) close(c *backendConn) {
	c.Close()
	p.releaseSlot()
}

// closeIdleTo closes the idle connections to a backend.
func (p *connPool) closeIdleTo(to backendProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		c.Close()
		p.closes.add(closedUnlisted)
		p.open--
	}
	delete(p.idle, to)
}

// run closes connections as they expire until ctx ends, and then all idle ones.
func (p *connPool) run(ctx context.Context) {
	ticker := time.NewTicker(max(p.maxIdle/sweepsPerMaxIdle, time.Millisecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			p.sweep(0)
		case <-ticker.C:
			p.sweep(p.maxIdle)
		}
	}
}

// sweep closes the connections that have been idle for at least so long.
func (p *connPool) sweep(maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for to, conns := range p.idle {
		p.setIdle(to, p.closeExpired(conns, now, maxIdle))
	}
}

// closeExpired closes those of a list that have been idle for at least so long, and returns the others. The caller
// holds mu.
func (p *connPool) closeExpired(conns []*backendConn, now time.Time, maxIdle time.Duration) []*backendConn {
	for len(conns) > 0 && now.Sub(conns[0].idleSince) >= maxIdle {
		conns[0].Close()
		p.closes.add(closedIdle)
		p.open--
		conns = conns[1:]
	}
	return conns
}
