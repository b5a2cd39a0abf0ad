// Package connpool holds connections to servers, each of which carries one request at a time, for reuse. It owns the
// rules of what is reused, closed and how many there may be; it knows nothing of what the connections carry.
package connpool

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
	// defaultConnectTimeout and defaultIdleTimeout stand for durations that the configuration does not give.
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 5 * time.Second
	// maxIdlePercent is the part of the servers' idle timeout for which a connection may be idle here. A server
	// closes an idle connection at that timeout at the latest, and a request that crosses the close may have run.
	maxIdlePercent = 70
	// sweepsPerMaxIdle is how often within that time the pool looks for connections that have expired.
	sweepsPerMaxIdle = 8
	// QuarantineTime is how long a connection rests between two requests while servers send more than their
	// responses: a second response that comes a moment late would be read as the next request's. It is at most a
	// tenth of the idle timeout.
	QuarantineTime = 6 * time.Millisecond
	// quarantinePeriod is for how long connections are quarantined after a server has sent more than a response. At
	// other times they are not: a rest costs latency.
	quarantinePeriod = 2 * time.Minute
)

// ErrExhausted is the error of acquiring a connection where there may be no more of them.
var ErrExhausted = errors.New("connection limit reached")

// CloseReason is why the pool closed a connection.
type CloseReason uint8

const (
	// ClosedIdle: it was idle for too long.
	ClosedIdle CloseReason = iota
	// ClosedStale: before its reuse it had ended or held unexpected bytes.
	ClosedStale
	// ClosedUnlisted: its server takes no new requests.
	ClosedUnlisted
	// ClosedNotReusable: it was discarded after a request.
	ClosedNotReusable
)

// Config configures a Pool. Durations of 0 stand for defaults.
type Config struct {
	MaxOpen        int           // connections, idle or not
	ConnectTimeout time.Duration // of a dial
	IdleTimeout    time.Duration // after which servers close idle connections
	Quarantine     time.Duration // of a connection between two requests while servers send more than their responses
	// Inspect says of an idle connection, without reading from it, whether it is open, and whether there are unread
	// bytes. It is required.
	Inspect func(net.Conn) (open, unread bool)
	// OnClose is called for each connection that the pool closes, but for those that make way at a limit; may be nil.
	OnClose func(CloseReason)
}

// Pool holds the connections to servers: the idle ones, and a count of all.
//
// A connection is reused if it is idle for less than maxIdle, has been through its quarantine, is still open and has
// nothing to be read on it; of those the one used last. It is closed otherwise, and by CloseIdle if it is idle then.
// There are at most MaxOpen, idle or not, but for those that were in use when SetMaxOpen lowered the limit; at the
// limit the one that has been idle longest is closed for a new one. All methods may be called from any goroutine.
type Pool struct {
	// DialContext opens a connection. It may be replaced while nothing is dialed.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	maxIdle    time.Duration
	quarantine time.Duration
	inspect    func(net.Conn) (open, unread bool)
	onClose    func(CloseReason)

	dials           atomic.Int64 // since TakeDials
	quarantineUntil monotime.Atomic

	mu      sync.Mutex
	maxOpen int
	open    int                // connections, idle or not, and dials under way
	idle    map[Server][]*Conn // no empty lists; in the order of idleSince
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	connectTimeout := cfg.ConnectTimeout
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	idleTimeout := cfg.IdleTimeout
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	quarantine := cfg.Quarantine
	if quarantine <= 0 {
		quarantine = min(QuarantineTime, idleTimeout/10)
	}
	onClose := cfg.OnClose
	if onClose == nil {
		onClose = func(CloseReason) {}
	}
	// A silent machine answers no SYN, which Timeout bounds; keep-alive probes would notice it too late.
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &Pool{
		DialContext: dialer.DialContext,
		maxIdle:     idleTimeout * maxIdlePercent / 100,
		quarantine:  quarantine,
		inspect:     cfg.Inspect,
		onClose:     onClose,
		maxOpen:     cfg.MaxOpen,
		idle:        map[Server][]*Conn{},
	}
}

// Acquire returns an idle connection to a server, or dials one. The caller has to release or discard it. Its errors
// are ErrExhausted, the context's, and those of dialing.
func (p *Pool) Acquire(ctx context.Context, to Server) (*Conn, error) {
	for {
		c := p.takeIdle(to)
		if c == nil {
			return p.dial(ctx, to)
		}
		if err := p.waitQuarantine(ctx, c); err != nil {
			p.addIdle(c)
			return nil, err
		}
		if p.isReusable(c) {
			return c, nil
		}
		p.onClose(ClosedStale)
		p.close(c)
	}
}

// dial opens a connection to a server, where there may be one more.
func (p *Pool) dial(ctx context.Context, to Server) (*Conn, error) {
	if !p.reserveSlot() {
		return nil, ErrExhausted
	}
	p.dials.Add(1)
	conn, err := p.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return newConn(conn, to), nil
}

// Release takes back a connection whose last response was read completely.
func (p *Pool) Release(c *Conn) {
	c.idleSince = time.Now()
	p.addIdle(c)
}

// Discard closes a connection that can't carry another request.
func (p *Pool) Discard(c *Conn) {
	p.onClose(ClosedNotReusable)
	p.close(c)
}

// waitQuarantine waits until a connection has been idle for its quarantine. It returns the context's error if that
// ends first.
func (p *Pool) waitQuarantine(ctx context.Context, c *Conn) error {
	remaining := p.Quarantine() - time.Since(c.idleSince)
	if remaining > 0 {
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	return ctx.Err()
}

// isReusable says whether an idle connection is open and has nothing unread on it, which starts the quarantine.
func (p *Pool) isReusable(c *Conn) bool {
	open, unread := true, c.Reader.Buffered() > 0
	if !unread {
		open, unread = p.inspect(c.Conn)
	}
	if unread {
		p.StartQuarantine()
		return false
	}
	return open
}

// StartQuarantine has connections rest between requests for quarantinePeriod. It is called after a server has sent more
// than a response.
func (p *Pool) StartQuarantine() { p.quarantineUntil.Store(monotime.Now().Add(quarantinePeriod)) }

// Quarantine returns how long a connection has to be idle now before it is reused.
func (p *Pool) Quarantine() time.Duration {
	if monotime.Now() < p.quarantineUntil.Load() {
		return p.quarantine
	}
	return 0
}

// takeIdle removes the idle connection to a server that was used last of those through their quarantine, else the
// one that will be first; nil if there is none.
func (p *Pool) takeIdle(to Server) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	conns := p.closeExpired(p.idle[to], now, p.maxIdle)
	if len(conns) == 0 {
		p.setIdle(to, nil)
		return nil
	}
	quarantine := p.Quarantine()
	i := len(conns) - 1
	for i > 0 && now.Sub(conns[i].idleSince) < quarantine {
		i--
	}
	c := conns[i]
	p.setIdle(to, slices.Delete(conns, i, i+1))
	return c
}

// addIdle enters a connection among the idle ones, in the order of their last use.
func (p *Pool) addIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.Server]
	at, _ := slices.BinarySearchFunc(conns, c, func(a, b *Conn) int {
		return a.idleSince.Compare(b.idleSince)
	})
	p.idle[c.Server] = slices.Insert(conns, at, c)
}

// setIdle sets the idle connections to a server. The caller holds mu.
func (p *Pool) setIdle(to Server, conns []*Conn) {
	if len(conns) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = conns
	}
}

// reserveSlot counts a connection that is about to be dialed. At the limit it closes the one that has been idle
// longest, and returns false if none is idle.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxOpen {
		p.open++
		return true
	}
	var oldest *Conn
	for _, conns := range p.idle {
		if oldest == nil || conns[0].idleSince.Before(oldest.idleSince) {
			oldest = conns[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.Server, p.idle[oldest.Server][1:])
	oldest.Close()
	return true
}

func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// SetMaxOpen sets how many connections there may be from now on, and closes idle ones beyond that.
func (p *Pool) SetMaxOpen(maxOpen int) {
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

// MaxOpen returns how many connections there may be.
func (p *Pool) MaxOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxOpen
}

// TakeDials returns how many connections were dialed since it was last called.
func (p *Pool) TakeDials() int64 { return p.dials.Swap(0) }

// Size returns how many connections there are, and how many of them are idle.
func (p *Pool) Size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return p.open, idle
}

// close closes a connection that is not among the idle ones.
func (p *Pool) close(c *Conn) {
	c.Close()
	p.releaseSlot()
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(to Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		c.Close()
		p.onClose(ClosedUnlisted)
		p.open--
	}
	delete(p.idle, to)
}

// Run closes connections as they expire until ctx ends, and then all idle ones.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(max(p.maxIdle/sweepsPerMaxIdle, time.Millisecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			p.CloseAllIdle()
		case <-ticker.C:
			p.sweep(p.maxIdle)
		}
	}
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() { p.sweep(0) }

// sweep closes the connections that have been idle for at least so long.
func (p *Pool) sweep(maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for to, conns := range p.idle {
		p.setIdle(to, p.closeExpired(conns, now, maxIdle))
	}
}

// closeExpired closes those of a list that have been idle for at least so long, and returns the others. The caller
// holds mu.
func (p *Pool) closeExpired(conns []*Conn, now time.Time, maxIdle time.Duration) []*Conn {
	for len(conns) > 0 && now.Sub(conns[0].idleSince) >= maxIdle {
		conns[0].Close()
		p.onClose(ClosedIdle)
		p.open--
		conns = conns[1:]
	}
	return conns
}
