package node

import (
	"context"
	"net"
	"time"
)

// This file ends connections of clients: to make room, at a hand-over, in a drain and at the end.

// held is how many connections of clients there are.
func (f *clientServer) openConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// giveWay ends the connection that has kept the node waiting longest. It tells whether there was one.
func (f *clientServer) evictSlowest() bool {
	for {
		oldest := f.slowestConn()
		if oldest == nil {
			return false
		}
		f.conns[oldest] = time.Time{}
		delete(f.awaitingHead, oldest)
		if closeIfWaiting(oldest, true) {
			f.closeCounts.add(closedEvicted)
			return true
		}
	}
}

// endBetween closes a connection that waits for its client, if it still does.
func closeIfWaiting(c net.Conn, evenPartial bool) bool {
	b, ok := c.(*limitedConn)
	if !ok || !b.client.closeIfWaiting(evenPartial) {
		return false
	}
	b.Close()
	return true
}

// allow sets how many connections there may be, of which those that are idle give way to new ones.
func (f *clientServer) setConnLimit(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictAbove = limit * 3 / 4
}

// shed ends connections that keep the node waiting until there are no more than so many, if it can.
func (f *clientServer) evictDownTo(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := len(f.conns); n > limit && f.evictSlowest(); n-- {
	}
}

// endIdle ends connections that have brought their requests and have been idle for so long.
func (f *clientServer) closeIdle(least time.Duration, reason closeReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, at := range f.conns {
		if !at.IsZero() && time.Since(at) >= least && closeIfWaiting(c, false) {
			f.conns[c] = time.Time{}
			f.closeCounts.add(reason)
		}
	}
}

// busy counts the connections on which a request is under way or has begun to come in.
func (f *clientServer) busyConns() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if b, ok := c.(*limitedConn); ok && b.client.busy() {
			n++
		}
	}
	return n
}

// endSilent ends connections on which nothing of a request has come.
func (f *clientServer) closeUnused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if closeIfWaiting(c, false) {
			f.closeCounts.add(closedShutdown)
		}
	}
}

// refuseUnfinished answers requests that have not come whole.
func (f *clientServer) rejectIncomplete() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		b, ok := c.(*limitedConn)
		if !ok {
			continue
		}
		if b.client.rejectIncomplete() {
			f.closeCounts.add(closedIncomplete)
		}
		b.client.interruptBody()
	}
}

// drain ends connections as they come to rest, until none is left. Those on which nothing has ever come are ended when nothing
// has happened for stillFor, or nothing more is taken; half a request is answered when the last answers are due. It
// returns early when ctx ends, or when there are only clients left that do not close.
func (f *clientServer) drain(ctx context.Context) {
	for still := time.Duration(0); f.openConns() > 0 && ctx.Err() == nil; still += lookEvery {
		f.closeIdle(0, closedDraining)
		if f.handedOver.Load() || f.busyConns() > 0 {
			still = 0 // where another process serves nobody new comes here, and who has connected may yet ask
		}
		if still >= stillFor || !f.shutdown.admits() {
			if f.closeUnused(); f.busyConns() == 0 {
				return
			}
		}
		if f.shutdown.answersDue() {
			f.rejectIncomplete()
		}
		if f.shutdown.expired() && f.inFlight.Load() == 0 {
			return
		}
		pause(ctx, lookEvery)
	}
}

// longestIdle returns the connection that has kept the node waiting longest, if any. One that has begun a request may
// take headPatience times as long: a slow client is still one that asks.
func (f *clientServer) slowestConn() net.Conn {
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
	for c := range f.awaitingHead {
		if b, ok := c.(*limitedConn); ok {
			at, begun := b.client.lastActivity()
			d := now.Sub(at)
			if begun {
				d /= slowHeadFactor
			}
			wait(c, d)
		}
	}
	return oldest
}

// isCrowded tells whether there are so many connections that answers should close theirs. Where unfinished heads give
// way too there is always room, and clients should keep the connections that they use.
func (f *clientServer) nearConnLimit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.streaming && len(f.conns) > f.evictAbove
}
