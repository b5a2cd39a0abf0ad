package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// slowHeadFactor is how many times as long a client that has sent some of a request may take as one that has sent
// nothing, before it is evicted: a slow client is still one that wants a response.
const slowHeadFactor = 4

// evictionQuarters is the part of the connections, in quarters, above which slow clients are evicted: the last quarter
// is for those who ask while the evicted ones close.
const evictionQuarters = 3

// evictionThreshold returns above how many connections slow clients are evicted, for a limit of connections.
func evictionThreshold(limit int) int { return limit * evictionQuarters / 4 }

// connTracker follows the connections of clients, closes those that wait for their clients, and evicts slow clients
// when connections become many: else many idle ones would lock out the others. It is safe for concurrent use.
type connTracker struct {
	closeCounts *closeCounters
	onClose     func(*clientConn) // called for each connection that has ended, under mu

	mu           sync.Mutex
	evictAbove   int                    // number of connections
	idleSince    map[net.Conn]time.Time // all connections; zero while a connection is not idle
	awaitingHead map[net.Conn]bool      // connections whose first head is not complete
}

// newConnTracker returns a tracker for at most limit connections.
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
			t.evictSlowest()
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

// setLimit sets the limit of connections, above a part of which slow clients are evicted.
func (t *connTracker) setLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictAbove = evictionThreshold(limit)
}

// open returns the number of connections.
func (t *connTracker) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.idleSince)
}

// busy returns the number of connections on which a request is being served or has begun to come in.
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

// evictDownTo evicts slow clients until there are no more than limit connections, as far as it can.
func (t *connTracker) evictDownTo(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := len(t.idleSince); n > limit && t.evictSlowest(); n-- {
	}
}

// evictSlowest closes the connection whose client the node has waited for longest, even within a head. It reports
// whether there was one. The caller holds mu.
func (t *connTracker) evictSlowest() bool {
	for {
		slowest := t.slowest()
		if slowest == nil {
			return false
		}
		t.idleSince[slowest] = time.Time{}
		delete(t.awaitingHead, slowest)
		if closeIfWaiting(slowest, true) {
			t.closeCounts.add(closedEvicted)
			return true
		}
	}
}

// slowest returns the connection whose client the node has waited for longest, with the wait within a head divided by
// slowHeadFactor; nil if the node waits for none. The caller holds mu.
func (t *connTracker) slowest() net.Conn {
	var slowest net.Conn
	var longest time.Duration
	now := time.Now()
	consider := func(c net.Conn, wait time.Duration) {
		if slowest == nil || wait > longest {
			slowest = c
			longest = wait
		}
	}
	for c, since := range t.idleSince {
		if !since.IsZero() {
			consider(c, now.Sub(since))
		}
	}
	for c := range t.awaitingHead {
		limited, ok := c.(*limitedConn)
		if !ok {
			continue
		}
		at, sent := limited.client.lastActivity()
		wait := now.Sub(at)
		if sent {
			wait /= slowHeadFactor
		}
		consider(c, wait)
	}
	return slowest
}

// closeIdle closes connections that have been idle after a request for at least a time.
func (t *connTracker) closeIdle(least time.Duration, reason closeReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, since := range t.idleSince {
		if !since.IsZero() && time.Since(since) >= least && closeIfWaiting(c, false) {
			t.idleSince[c] = time.Time{}
			t.closeCounts.add(reason)
		}
	}
}

// closeWithoutRequest closes connections on which nothing of a request has come, also those that never had one.
func (t *connTracker) closeWithoutRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.idleSince {
		if closeIfWaiting(c, false) {
			t.closeCounts.add(closedShutdown)
		}
	}
}

// rejectIncomplete answers requests whose heads are incomplete, and ends the wait for incomplete bodies.
func (t *connTracker) rejectIncomplete() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.idleSince {
		limited, ok := c.(*limitedConn)
		if !ok {
			continue
		}
		if limited.client.rejectIncomplete() {
			t.closeCounts.add(closedIncomplete)
		}
		limited.client.interruptBody()
	}
}

// closeIfWaiting closes a connection on which the node waits for a request, if it still does: for nothing of one to
// have come, or with evenPartial also for the rest of a head. It reports whether it has.
func closeIfWaiting(c net.Conn, evenPartial bool) bool {
	limited, ok := c.(*limitedConn)
	if !ok || !limited.client.closeIfWaiting(evenPartial) {
		return false
	}
	limited.Close()
	return true
}
