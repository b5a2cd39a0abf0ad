package node

import (
	"context"
	"net"
	"time"
)

// This file ends connections of clients: to make room, at a hand-over, in a drain and at the end.

// held is how many connections of clients there are.
func (f *front) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// giveWay ends the connection that has kept the node waiting longest. It tells whether there was one.
func (f *front) giveWay() bool {
	for {
		oldest := f.longestIdle()
		if oldest == nil {
			return false
		}
		f.conns[oldest] = time.Time{}
		delete(f.heads, oldest)
		if endBetween(oldest, true) {
			f.closes.add(closedForRoom)
			return true
		}
	}
}

// endBetween closes a connection that waits for its client, if it still does.
func endBetween(c net.Conn, evenBegun bool) bool {
	b, ok := c.(*boundedConn)
	if !ok || !b.framed.endBetween(evenBegun) {
		return false
	}
	b.Close()
	return true
}

// allow sets how many connections there may be, of which those that are idle give way to new ones.
func (f *front) allow(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crowded = most * 3 / 4
}

// shed ends connections that keep the node waiting until there are no more than so many, if it can.
func (f *front) shed(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := len(f.conns); n > most && f.giveWay(); n-- {
	}
}

// endIdle ends connections that have brought their requests and have been idle for so long.
func (f *front) endIdle(least time.Duration, reason closeReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, at := range f.conns {
		if !at.IsZero() && time.Since(at) >= least && endBetween(c, false) {
			f.conns[c] = time.Time{}
			f.closes.add(reason)
		}
	}
}

// busy counts the connections on which a request is under way or has begun to come in.
func (f *front) busy() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if b, ok := c.(*boundedConn); ok && b.framed.busy() {
			n++
		}
	}
	return n
}

// endSilent ends connections on which nothing of a request has come.
func (f *front) endSilent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if endBetween(c, false) {
			f.closes.add(closedAtEnd)
		}
	}
}

// refuseUnfinished answers requests that have not come whole.
func (f *front) refuseUnfinished() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		b, ok := c.(*boundedConn)
		if !ok {
			continue
		}
		if b.framed.refuseBegun() {
			f.closes.add(closedUnfinished)
		}
		b.framed.cutBody()
	}
}

// drain ends connections as they come to rest, until none is left. Those on which nothing has ever come are ended when nothing
// has happened for stillFor, or nothing more is taken; half a request is answered when the last answers are due. It
// returns early when ctx ends, or when there are only clients left that do not close.
func (f *front) drain(ctx context.Context) {
	for still := time.Duration(0); f.held() > 0 && ctx.Err() == nil; still += shutdownPollInterval {
		f.endIdle(0, closedInDrain)
		if f.handed.Load() || f.busy() > 0 {
			still = 0 // where another process serves nobody new comes here, and who has connected may yet ask
		}
		if still >= drainIdleTime || !f.shutdown.takes() {
			if f.endSilent(); f.busy() == 0 {
				return
			}
		}
		if f.shutdown.due() {
			f.refuseUnfinished()
		}
		if f.shutdown.over() && f.inFlight.Load() == 0 {
			return
		}
		pause(ctx, shutdownPollInterval)
	}
}

// longestIdle returns the connection that has kept the node waiting longest, if any. One that has begun a request may
// take headPatience times as long: a slow client is still one that asks.
func (f *front) longestIdle() net.Conn {
	var oldest net.Conn
	var longest time.Duration
	now := time.Now()
	wait := func(c net.Conn, d time.Duration) {
		if oldest == nil || d > longest {
			oldest, longest = c, d
		}
	}
	for c, at := range f.conns {
		if !at.IsZero() {
			wait(c, now.Sub(at))
		}
	}
	for c := range f.heads {
		if b, ok := c.(*boundedConn); ok {
			at, begun := b.framed.heard()
			d := now.Sub(at)
			if begun {
				d /= headPatience
			}
			wait(c, d)
		}
	}
	return oldest
}

// isCrowded tells whether there are so many connections that answers should close theirs. Where unfinished heads give
// way too there is always room, and clients should keep the connections that they use.
func (f *front) isCrowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.large && len(f.conns) > f.crowded
}
