package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchvale/internal/monotime"
)

// endpoint is one process of a backend: the address, and when it started.
type endpoint struct {
	addr     string
	launched time.Duration
}

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	to     endpoint
	limit  io.LimitedReader // bounds what one answer may hold
	read   *bufio.Reader
	idleAt time.Time
}

// settleFor is how long a connection rests before it is used again. A backend may have more to say a moment after its
// answer, another one even, and what is asked meanwhile would take that for its own. A rest costs time and, with little
// to spare, processor: it is kept for waryFor after some connection has had more than its answer.
const settleFor, waryFor = 6 * time.Millisecond, 2 * time.Minute

// errNoRoom says that the node may open no more connections now.
var errNoRoom = errors.New("no descriptor left for a connection to a backend")

// pool keeps the connections to backends: the idle ones, and a count of all.
type pool struct {
	dialer net.Dialer
	keep   time.Duration // how long one may stand idle
	settle time.Duration // how long one rests at the least

	dials  atomic.Int64 // since the loop last counted them
	closes *closeCounts
	wary   monotime.Atomic // until which connections rest

	mu   sync.Mutex
	most int                  // connections, idle or not
	idle map[endpoint][]*conn // the one used last is at the end
	open int
}

func newPool(most int, connectTimeout, idleClose time.Duration) *pool {
	if connectTimeout <= 0 {
		connectTimeout = time.Second
	}
	if idleClose <= 0 {
		idleClose = 5 * time.Second
	}
	return &pool{
		// A silent machine answers no SYN, and keep-alive packets notice nothing.
		dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		most:   most,
		// A backend closes an idle connection at idleClose at the latest, and a request that crosses that is
		// a reset that may have run: stay well below.
		keep: idleClose * 7 / 10, settle: min(settleFor, idleClose/10),
		idle: map[endpoint][]*conn{}, closes: new(closeCounts),
	}
}

// get returns an idle connection, or dials one.
func (p *pool) get(ctx context.Context, to endpoint) (*conn, error) {
	for {
		c := p.take(to)
		if c == nil {
			break
		}
		if pause(ctx, p.rest()-time.Since(c.idleAt)); ctx.Err() != nil {
			p.idled(c)
			return nil, ctx.Err()
		}
		switch c.peek() {
		case nothingWaits:
			return c, nil
		case bytesWait:
			p.beWary()
		}
		p.closes.add(closedStale)
		p.end(c)
	}
	if !p.reserve() {
		return nil, errNoRoom
	}
	p.dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		p.release()
		return nil, err
	}
	c := &conn{Conn: nc, to: to}
	c.limit.R = nc
	c.read = bufio.NewReaderSize(&c.limit, 2<<10)
	return c, nil
}

// beWary takes in that a backend has sent more than an answer.
func (p *pool) beWary() { p.wary.Store(monotime.Now().Add(waryFor)) }

// rest is how long a connection rests now.
func (p *pool) rest() time.Duration {
	if monotime.Now() < p.wary.Load() {
		return p.settle
	}
	return 0
}

// take takes the idle connection that was used last of those that have rested, or else the first one that will have.
func (p *pool) take(to endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.kept(p.idle[to], now, p.keep)
	if len(list) == 0 {
		p.setIdle(to, nil)
		return nil
	}
	i, rest := len(list)-1, p.rest()
	for i > 0 && now.Sub(list[i].idleAt) < rest {
		i--
	}
	c := list[i]
	p.setIdle(to, slices.Delete(list, i, i+1))
	return c
}

func (p *pool) setIdle(to endpoint, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = list
	}
}

// reserve counts a connection to be dialed. At the limit the one that has been idle longest makes room.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.most {
		p.open++
		return true
	}
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleAt.Before(oldest.idleAt) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.to, p.idle[oldest.to][1:])
	oldest.Close()
	return true
}

// allow sets how many connections there may be from now on. Idle ones beyond that are closed.
func (p *pool) allow(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	for to, list := range p.idle {
		for len(list) > 0 && p.open > p.most {
			list[0].Close()
			list = list[1:]
			p.open--
		}
		p.setIdle(to, list)
	}
}

// held is how many connections there are, and how many of them are idle.
func (p *pool) held() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open, idle
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put takes back a connection whose last answer came whole.
func (p *pool) put(c *conn) {
	c.idleAt = time.Now()
	p.idled(c)
}

// idled counts a connection among the idle ones, in the order of their last use.
func (p *pool) idled(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.to]
	at, _ := slices.BinarySearchFunc(list, c, func(a, b *conn) int { return a.idleAt.Compare(b.idleAt) })
	p.idle[c.to] = slices.Insert(list, at, c)
}

// discard ends a connection that can't be used again.
func (p *pool) discard(c *conn) {
	p.closes.add(closedUsed)
	p.end(c)
}

func (p *pool) end(c *conn) {
	c.Close()
	p.release()
}

// drop ends the idle connections to an endpoint.
func (p *pool) drop(to endpoint) {
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
func (p *pool) run(ctx context.Context) {
	t := time.NewTicker(max(p.keep/8, time.Millisecond))
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			p.sweep(0)
		case <-t.C:
			p.sweep(p.keep)
		}
	}
}

func (p *pool) sweep(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for to, list := range p.idle {
		p.setIdle(to, p.kept(list, now, keep))
	}
}

// kept ends the connections of a list that have been idle for so long, and returns the others.
func (p *pool) kept(list []*conn, now time.Time, keep time.Duration) []*conn {
	for len(list) > 0 && now.Sub(list[0].idleAt) >= keep {
		list[0].Close()
		p.closes.add(closedIdle)
		p.open--
		list = list[1:]
	}
	return list
}

// peek tells whether an idle connection is still up, with nothing unread on it. A backend that was restarted under its
// old address leaves connections behind that would swallow a request.
func (c *conn) peek() peeked {
	if c.read.Buffered() > 0 {
		return bytesWait
	}
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return peekAt(sc)
	}
	return peerLeft // nobody can tell
}
