// Package connpool keeps connections to servers for reuse. Each connection carries one request at a time. The package
// decides which connections are reused or closed and limits their number. It is independent of the protocol that the
// connections carry.
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
	// defaultConnectTimeout and defaultIdleTimeout replace durations of 0 in Config.
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 5 * time.Second
	// maxIdlePercent is how long a connection may be idle in the pool, in percent of the servers' idle timeout. A
	// server closes an idle connection at that timeout at the latest. If a request is sent while the server closes
	// the connection, the pool's user can't tell whether the request has run.
	maxIdlePercent = 70
	// sweepsPerMaxIdle is how many times the pool closes expired connections within the maximum idle time.
	sweepsPerMaxIdle = 8
	// QuarantineTime is how long a connection stays unused between two requests during a quarantine period. Without
	// the pause, a surplus response that arrives late would be read as the response to the next request. The pause
	// is at most a tenth of the idle timeout.
	QuarantineTime = 6 * time.Millisecond
	// quarantinePeriod is how long connections are quarantined between requests after a server has sent bytes beyond
	// its response. At other times they are not quarantined, because the pause adds latency.
	quarantinePeriod = 2 * time.Minute
)

// ErrExhausted is returned by Acquire if the connection limit is reached and no connection is idle.
var ErrExhausted = errors.New("the pool's connection limit is reached and no connection is idle")

// CloseReason is the reason why the pool closed a connection.
type CloseReason uint8

const (
	// ClosedIdle means that the connection was idle for too long.
	ClosedIdle CloseReason = iota
	// ClosedStale means that an idle connection had been closed by its server or had unread bytes.
	ClosedStale
	// ClosedUnlisted means that the server takes no new requests.
	ClosedUnlisted
	// ClosedNotReusable means that the connection was discarded after a request.
	ClosedNotReusable
)

// Config configures a Pool. Durations of 0 are replaced by defaults.
type Config struct {
	MaxOpen        int           // limit of connections, idle or in use
	ConnectTimeout time.Duration // of a dial
	IdleTimeout    time.Duration // after which servers close idle connections
	Quarantine     time.Duration // pause of a connection between two requests during a quarantine period
	// Inspect reports whether an idle connection is open and whether it has unread bytes. It must not read from the
	// connection. It is required.
	Inspect func(net.Conn) (open, unread bool)
	// OnClose is called for each connection that the pool closes, except those closed to keep the connection limit. It
	// may be nil. It may be called with the pool locked, so it must not call the pool.
	OnClose func(CloseReason)
}

// Pool holds the idle connections to servers, and counts all connections.
//
// An idle connection is reused if it has been idle for less than the maximum idle time, its quarantine has ended, it is
// still open and it has no unread bytes. Of several such connections, the most recently used one is reused. Other idle
// connections are closed, and CloseIdle closes all idle connections to a server. The pool has at most MaxOpen
// connections, idle or in use. When SetMaxOpen lowers the limit, connections in use may exceed it until they end. At
// the limit, the connection that has been idle longest is closed for a new connection. All methods may be called from
// any goroutine.
type Pool struct {
	// DialContext opens a connection. It may be replaced only while no connection is being dialed.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	maxIdle    time.Duration
	quarantine time.Duration
	inspect    func(net.Conn) (open, unread bool)
	onClose    func(CloseReason)

	dials           atomic.Int64 // since the last TakeDials
	quarantineUntil monotime.Atomic

	mu      sync.Mutex
	maxOpen int
	open    int                // connections, idle or in use, and dials in progress
	idle    map[Server][]*Conn // in the order of idleSince; no slice is empty
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
	// Timeout bounds a dial to a machine that does not answer. TCP keep-alive is off, because its probes would detect a
	// dead machine too late.
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

// Acquire returns an idle connection to a server, or dials a new connection. The caller must call Release or Discard
// with the connection. The error is ErrExhausted, the error of the context or an error of dialing.
func (p *Pool) Acquire(ctx context.Context, server Server) (*Conn, error) {
	for {
		c := p.takeIdle(server)
		if c == nil {
			return p.dial(ctx, server)
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

// dial opens a new connection to a server if the connection limit allows it.
func (p *Pool) dial(ctx context.Context, server Server) (*Conn, error) {
	if !p.reserveSlot() {
		return nil, ErrExhausted
	}
	p.dials.Add(1)
	conn, err := p.DialContext(ctx, "tcp", server.Addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return newConn(conn, server), nil
}

// Release returns a connection to the pool for reuse. Its last response must have been read completely.
func (p *Pool) Release(c *Conn) {
	c.idleSince = time.Now()
	p.addIdle(c)
}

// Discard closes an acquired connection that can't carry another request.
func (p *Pool) Discard(c *Conn) {
	p.onClose(ClosedNotReusable)
	p.close(c)
}

// waitQuarantine waits until the quarantine of an idle connection has ended. If ctx ends first, it returns the error of
// ctx.
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

// isReusable reports whether an idle connection is open and has no unread bytes. If it has unread bytes, isReusable
// starts a quarantine period.
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

// StartQuarantine starts a quarantine period, or restarts the present one. It must be called after a server has sent
// bytes beyond its response.
func (p *Pool) StartQuarantine() { p.quarantineUntil.Store(monotime.Now().Add(quarantinePeriod)) }

// Quarantine returns how long a connection must currently be idle before it is reused. It is 0 outside of quarantine
// periods.
func (p *Pool) Quarantine() time.Duration {
	if monotime.Now() < p.quarantineUntil.Load() {
		return p.quarantine
	}
	return 0
}

// takeIdle closes the expired connections to a server, and removes and returns one of the other idle connections. It
// chooses the most recently used connection whose quarantine has ended. If there is none, it chooses the connection
// whose quarantine ends first. It returns nil if no connection is idle.
func (p *Pool) takeIdle(server Server) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	conns := p.closeExpired(p.idle[server], now, p.maxIdle)
	if len(conns) == 0 {
		p.setIdle(server, nil)
		return nil
	}
	quarantine := p.Quarantine()
	i := len(conns) - 1
	for i > 0 && now.Sub(conns[i].idleSince) < quarantine {
		i--
	}
	c := conns[i]
	p.setIdle(server, slices.Delete(conns, i, i+1))
	return c
}

// addIdle inserts a connection into the idle connections to its server, which are in the order of their last use.
func (p *Pool) addIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.Server]
	index, _ := slices.BinarySearchFunc(conns, c, func(a, b *Conn) int {
		return a.idleSince.Compare(b.idleSince)
	})
	p.idle[c.Server] = slices.Insert(conns, index, c)
}

// setIdle replaces the idle connections to a server. The caller holds mu.
func (p *Pool) setIdle(server Server, conns []*Conn) {
	if len(conns) == 0 {
		delete(p.idle, server)
	} else {
		p.idle[server] = conns
	}
}

// reserveSlot counts a connection that is about to be dialed. At the limit it closes the connection that has been idle
// longest and reuses its slot. It returns false if the limit is reached and no connection is idle.
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

// releaseSlot counts the end of a connection, or of a dial that failed.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// SetMaxOpen sets the connection limit. It closes idle connections beyond the limit.
func (p *Pool) SetMaxOpen(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
	for server, conns := range p.idle {
		for len(conns) > 0 && p.open > p.maxOpen {
			conns[0].Close()
			conns = conns[1:]
			p.open--
		}
		p.setIdle(server, conns)
	}
}

// MaxOpen returns the connection limit.
func (p *Pool) MaxOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxOpen
}

// TakeDials returns the number of dials since the last TakeDials, and resets the count.
func (p *Pool) TakeDials() int64 { return p.dials.Swap(0) }

// Size returns the number of connections, including dials in progress, and the number of idle connections among them.
func (p *Pool) Size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return p.open, idle
}

// close closes a connection that is not in p.idle.
func (p *Pool) close(c *Conn) {
	c.Close()
	p.releaseSlot()
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(server Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[server] {
		c.Close()
		p.onClose(ClosedUnlisted)
		p.open--
	}
	delete(p.idle, server)
}

// Run closes connections as they expire. When ctx ends it closes all idle connections and returns.
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

// sweep closes the connections that have been idle for at least maxIdle.
func (p *Pool) sweep(maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for server, conns := range p.idle {
		p.setIdle(server, p.closeExpired(conns, now, maxIdle))
	}
}

// closeExpired closes the connections of conns that have been idle for at least maxIdle, and returns the others. The
// caller holds mu.
func (p *Pool) closeExpired(conns []*Conn, now time.Time, maxIdle time.Duration) []*Conn {
	for len(conns) > 0 && now.Sub(conns[0].idleSince) >= maxIdle {
		conns[0].Close()
		p.onClose(ClosedIdle)
		p.open--
		conns = conns[1:]
	}
	return conns
}
