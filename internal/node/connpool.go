package node

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hitchvale/internal/monotime"
)

// quarantineTime is how long a connection rests before it is used again. A backend may have more to say a moment after its
// answer, another one even, and what is asked meanwhile would take that for its own. A rest costs time and, with little
// to spare, processor: it is kept for waryFor after some connection has had more than its answer.
const quarantineTime, quarantinePeriod = 6 * time.Millisecond, 2 * time.Minute

// errPoolExhausted says that the node may open no more connections now.
var errPoolExhausted = errors.New("no descriptor left for a connection to a backend")

// connPool keeps the connections to backends: the idle ones, and a count of all.
type connPool struct {
	dialer     net.Dialer
	maxIdle    time.Duration // how long one may stand idle
	quarantine time.Duration // how long one rests at the least

	dials           atomic.Int64 // since the loop last counted them
	closes          *closeCounts
	quarantineUntil monotime.Atomic // until which connections rest

	mu      sync.Mutex
	maxOpen int                               // connections, idle or not
	idle    map[backendProcess][]*backendConn // the one used last is at the end
	open    int
}

func newConnPool(most int, connectTimeout, idleClose time.Duration) *connPool {
	if connectTimeout <= 0 {
		connectTimeout = time.Second
	}
	if idleClose <= 0 {
		idleClose = 5 * time.Second
	}
	return &connPool{
		// A silent machine answers no SYN, and keep-alive packets notice nothing.
		dialer:  net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		maxOpen: most,
		// A backend closes an idle connection at idleClose at the latest, and a request that crosses that is
		// a reset that may have run: stay well below.
		maxIdle: idleClose * 7 / 10, quarantine: min(quarantineTime, idleClose/10),
		idle: map[backendProcess][]*backendConn{}, closes: new(closeCounts),
	}
}

// acquire returns an idle connection, or dials one.
func (p *connPool) acquire(ctx context.Context, to backendProcess) (*backendConn, error) {
	for {
		c := p.takeIdle(to)
		if c == nil {
			break
		}
		if pause(ctx, p.currentQuarantine()-time.Since(c.idleSince)); ctx.Err() != nil {
			p.addIdle(c)
			return nil, ctx.Err()
		}
		switch c.check() {
		case nothingWaits:
			return c, nil
		case bytesWait:
			p.startQuarantine()
		}
		p.closes.add(closedStale)
		p.close(c)
	}
	if !p.reserveSlot() {
		return nil, errPoolExhausted
	}
	p.dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	c := &backendConn{Conn: nc, process: to}
	c.limit.R = nc
	c.reader = bufio.NewReaderSize(&c.limit, 2<<10)
	return c, nil
}

// startQuarantine takes in that a backend has sent more than an answer.
func (p *connPool) startQuarantine() { p.quarantineUntil.Store(monotime.Now().Add(quarantinePeriod)) }

// currentQuarantine is how long a connection rests now.
func (p *connPool) currentQuarantine() time.Duration {
	if monotime.Now() < p.quarantineUntil.Load() {
		return p.quarantine
	}
	return 0
}

// takeIdle takes the idle connection that was used last of those that have rested, or else the first one that will have.
func (p *connPool) takeIdle(to backendProcess) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.withoutExpired(p.idle[to], now, p.maxIdle)
	if len(list) == 0 {
		p.setIdle(to, nil)
		return nil
	}
	i, rest := len(list)-1, p.currentQuarantine()
	for i > 0 && now.Sub(list[i].idleSince) < rest {
		i--
	}
	c := list[i]
	p.setIdle(to, slices.Delete(list, i, i+1))
	return c
}

func (p *connPool) setIdle(to backendProcess, list []*backendConn) {
	if len(list) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = list
	}
}

// reserveSlot counts a connection to be dialed. At the limit the one that has been idle longest makes room.
func (p *connPool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxOpen {
		p.open++
		return true
	}
	var oldest *backendConn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.process, p.idle[oldest.process][1:])
	oldest.Close()
	return true
}

// setMaxOpen sets how many connections there may be from now on. Idle ones beyond that are closed.
func (p *connPool) setMaxOpen(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = most
	for to, list := range p.idle {
		for len(list) > 0 && p.open > p.maxOpen {
			list[0].Close()
			list = list[1:]
			p.open--
		}
		p.setIdle(to, list)
	}
}

// size is how many connections there are, and how many of them are idle.
func (p *connPool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open, idle
}

func (p *connPool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// release takes back a connection whose last answer came whole.
func (p *connPool) release(c *backendConn) {
	c.idleSince = time.Now()
	p.addIdle(c)
}

// addIdle counts a connection among the idle ones, in the order of their last use.
func (p *connPool) addIdle(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.process]
	at, _ := slices.BinarySearchFunc(list, c, func(a, b *backendConn) int { return a.idleSince.Compare(b.idleSince) })
	p.idle[c.process] = slices.Insert(list, at, c)
}

// discard ends a connection that can't be used again.
func (p *connPool) discard(c *backendConn) {
	p.closes.add(closedUsed)
	p.close(c)
}

func (p *connPool) close(c *backendConn) {
	c.Close()
	p.releaseSlot()
}

// closeIdleTo ends the idle connections to an endpoint.
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

// run ends connections that have been idle for long, until ctx ends, and then all idle ones.
func (p *connPool) run(ctx context.Context) {
	t := time.NewTicker(max(p.maxIdle/8, time.Millisecond))
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			p.closeExpired(0)
		case <-t.C:
			p.closeExpired(p.maxIdle)
		}
	}
}

func (p *connPool) closeExpired(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for to, list := range p.idle {
		p.setIdle(to, p.withoutExpired(list, now, keep))
	}
}

// kept ends the connections of a list that have been idle for so long, and returns the others.
func (p *connPool) withoutExpired(list []*backendConn, now time.Time, keep time.Duration) []*backendConn {
	for len(list) > 0 && now.Sub(list[0].idleSince) >= keep {
		list[0].Close()
		p.closes.add(closedIdle)
		p.open--
		list = list[1:]
	}
	return list
}
