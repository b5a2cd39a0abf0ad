package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// slowHeadFactor is the factor by which the node waits longer for a client that has sent a part of a head than for a
// client that has sent nothing, before it evicts the client. Although such a client is slow, it wants a response.
const slowHeadFactor = 4

// evictionQuarters is the share of the connection limit, in quarters, above which slow clients are evicted. The last
// quarter is for clients that connect while evicted connections are still being closed.
const evictionQuarters = 3

// evictionThreshold returns the number of connections above which slow clients are evicted.
func evictionThreshold(limit int) int { return limit * evictionQuarters / 4 }

// connTracker tracks the connections of clients. It closes connections on which the node waits for its client, and
// evicts slow clients when there are many connections, so that idle connections do not lock out other clients. It is
// safe for concurrent use.
type connTracker struct {
	closeCounts *closeCounters
	onClose     func(*clientConn) // called under mu for each connection that has been closed

	mu           sync.Mutex
	noneToEvict  time.Time              // when no client could be evicted last
	evictAbove   int                    // the number of connections above which slow clients are evicted
	idleSince    map[net.Conn]time.Time // every open connection; the zero time unless the connection is idle
	awaitingHead map[net.Conn]bool      // the connections whose first head is not complete
}

// newConnTracker returns a tracker for at most limit connections. onClose must not call the tracker.
func newConnTracker(limit int, closeCounts *closeCounters, onClose func(*clientConn)) *connTracker {
	return &connTracker{
		closeCounts:  closeCounts,
		onClose:      onClose,
		evictAbove:   evictionThreshold(limit),
		idleSince:    map[net.Conn]time.Time{},
		awaitingHead: map[net.Conn]bool{},
	}
}

// track is the ConnState hook of the HTTP server.
func (t *connTracker) track(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limited, ok := c.(*limitedConn)
	delete(t.awaitingHead, c)
	switch state {
	case http.StateNew:
		t.idleSince[c] = time.Time{}
		t.awaitingHead[c] = true
		if len(t.idleSince) > t.evictAbove {
			t.evictForNew()
		}
	case http.StateActive:
		t.idleSince[c] = time.Time{}
	case http.StateIdle:
		t.idleSince[c] = time.Now()
		if ok {
			limited.client.markIdle()
		}
	case http.StateClosed, http.StateHijacked:
		delete(t.idleSince, c)
		if ok {
			t.onClose(limited.client)
		}
	}
}

// setLimit sets the limit of connections, from which the eviction threshold follows.
func (t *connTracker) setLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictAbove = evictionThreshold(limit)
}

// open returns the number of open connections.
func (t *connTracker) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.idleSince)
}

// busy returns the number of connections on which a request is being received or served.
func (t *connTracker) busy() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.idleSince {
		if limited, ok := c.(*limitedConn); ok && limited.client.busy() {
			n++
		}
	}
	return n
}

// aboveThreshold reports whether a new connection would evict a slow client.
func (t *connTracker) aboveThreshold() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.idleSince) > t.evictAbove
}

// evictDownTo evicts slow clients until at most limit connections are open, or no further client can be evicted.
func (t *connTracker) evictDownTo(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := len(t.idleSince); n > limit && t.evictSlowest(); n-- {
	}
}

const (
	// maxEvictionTries bounds how many connections are tried for an eviction.
	maxEvictionTries = 3
	// evictionPause is how long no client is evicted for a new connection after none could be: each search goes through
	// all connections.
	evictionPause = 20 * time.Millisecond
)

// evictForNew evicts a client because of a new connection. The caller holds mu.
func (t *connTracker) evictForNew() {
	if now := time.Now(); now.Sub(t.noneToEvict) >= evictionPause && !t.evictSlowest() {
		t.noneToEvict = now
	}
}

const (
	// fullCheckInterval is how often the node evicts clients while it has as many connections as it may have. It accepts
	// no connection then, so that no new connection makes it evict one.
	fullCheckInterval = 50 * time.Millisecond
	// fullSixteenths is the share of the limit, in sixteenths, to which the number of connections is reduced then.
	fullSixteenths = 15
)

// relieve evicts clients while the listener has as many connections as it may have, until ctx ends.
func (t *connTracker) relieve(ctx context.Context, listener *limitListener) {
	ticker := time.NewTicker(fullCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if limit, full := listener.full(); full {
			t.evictDownTo(limit * fullSixteenths / 16)
		}
	}
}

// evictSlowest closes the connection for whose client the node has waited longest, even if the client has sent a part
// of a head. A connection whose bytes the node itself has not read yet is not closed. It reports whether it closed a
// connection. The caller holds mu.
func (t *connTracker) evictSlowest() bool {
	var busy []net.Conn
	for len(busy) < maxEvictionTries {
		slowest := t.slowest(busy)
		if slowest == nil {
			return t.evictStalledReader()
		}
		if closeIfWaiting(slowest, true) {
			t.idleSince[slowest] = time.Time{}
			delete(t.awaitingHead, slowest)
			t.closeCounts.add(closedEvicted)
			return true
		}
		busy = append(busy, slowest)
	}
	return false
}

// evictStalledReader ends the response of a client that accepts nothing of it, and reports whether there was one. The
// caller holds mu.
func (t *connTracker) evictStalledReader() bool {
	for c := range t.idleSince {
		if limited, ok := c.(*limitedConn); ok && limited.client.abortStalledWrite() {
			t.closeCounts.add(closedEvicted)
			return true
		}
	}
	return false
}

// slowest returns the connection for whose client the node has waited longest, except those in busy; nil if the node
// waits for no other client, or for none longer than minIdleBeforeClose. The caller holds mu.
func (t *connTracker) slowest(busy []net.Conn) net.Conn {
	var slowest net.Conn
	var longest time.Duration
	now := time.Now()
	for c, idleSince := range t.idleSince {
		if idleSince.IsZero() && !t.awaitingHead[c] || slices.Contains(busy, c) {
			continue
		}
		limited, ok := c.(*limitedConn)
		if !ok {
			continue
		}
		wait := clientWait(limited.client, idleSince, now)
		if wait >= minIdleBeforeClose && (slowest == nil || wait > longest) {
			slowest = c
			longest = wait
		}
	}
	return slowest
}

// clientWait returns how long the node has waited for a client: since its last bytes, or, if it has sent none of its
// next request, since idleSince (zero: it has sent no request yet). For a client that has sent a part of a head, the
// wait is divided by slowHeadFactor.
func clientWait(c *clientConn, idleSince, now time.Time) time.Duration {
	lastActivity, sent := c.lastActivity()
	switch {
	case !idleSince.IsZero() && !lastActivity.After(idleSince):
		return now.Sub(idleSince)
	case sent:
		return now.Sub(lastActivity) / slowHeadFactor
	}
	return now.Sub(lastActivity)
}

// closeIdle closes the connections that have been idle since a response for at least minIdle.
func (t *connTracker) closeIdle(minIdle time.Duration, reason closeReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, since := range t.idleSince {
		if !since.IsZero() && time.Since(since) >= minIdle && closeIfWaiting(c, false) {
			t.idleSince[c] = time.Time{}
			t.closeCounts.add(reason)
		}
	}
}

// closeWithoutRequest closes the connections on which no byte of a request has arrived since the last response. This
// includes connections that never had a request.
func (t *connTracker) closeWithoutRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.idleSince {
		if closeIfWaiting(c, false) {
			t.closeCounts.add(closedShutdown)
		}
	}
}

// rejectIncomplete rejects the requests whose heads are incomplete, and interrupts the reading of incomplete bodies.
func (t *connTracker) rejectIncomplete() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.idleSince {
		limited, ok := c.(*limitedConn)
		if !ok {
			continue
		}
		limited.client.rejectIncomplete()
		limited.client.interruptBody()
	}
}

// closeIfWaiting closes a connection if the node still waits for a request on it and no byte of the request has been
// received. With includePartial, it also closes a connection with an incomplete head. It reports whether it closed
// the connection.
func closeIfWaiting(c net.Conn, includePartial bool) bool {
	limited, ok := c.(*limitedConn)
	if !ok || !limited.client.closeIfWaiting(includePartial) {
		return false
	}
	limited.Close()
	return true
}
