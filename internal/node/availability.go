package node

import (
	"time"

	"hitchvale/balance"
)

// availabilityChanged follows a change of what may be sent to.
func (l *eventLoop) availabilityChanged() {
	ready := false
	for _, b := range l.backendsByID {
		switch {
		case b.available():
			ready, b.unavailableSince = true, 0
			continue
		case b.unavailableSince == 0:
			b.unavailableSince = l.now()
		}
		l.upstream.pool.closeIdleTo(b.process)
	}
	l.ready.Store(ready && !l.awaitingFirstList)
	l.cancelUnsentAttempts()
	l.publishGauges(l.now())
}

// stopAwaitingList has the node serve on the list that it remembers: the agent has not answered.
func (l *eventLoop) stopAwaitingList() {
	if l.awaitingFirstList {
		l.log.Warn("no list from discovery yet: serving on the one remembered")
		l.awaitingFirstList = false
		l.availabilityChanged()
	}
}

// applyCordons takes in what is out by hand now, and what has been put back.
func (l *eventLoop) applyCordons(now cordons) {
	if now.Version <= l.cordons.Version {
		return // it came late
	}
	l.placeCordons(now)
	l.cordons = now
	for id, b := range l.backendsByID {
		l.applyCordon(b, now.Backends[id])
	}
	l.availabilityChanged()
}

// applyCordon tells the module what is so of one backend. What it knows already changes nothing.
func (l *eventLoop) applyCordon(b *backend, c cordon) {
	if c.Since == 0 || c.Out == b.cordoned && (c.Out || c.Back == b.uncordonedAt) {
		return
	}
	l.log.Info("maintenance", "backend", b.id, "out", c.Out)
	b.cordoned, b.uncordonedAt = c.Out, c.Back
	at := l.cordonTimes[b.id]
	l.handle(balance.CordonChanged{Endpoint: b.endpointID, Cordoned: true, At: at.since})
	if !c.Out {
		l.handle(balance.CordonChanged{Endpoint: b.endpointID, At: at.back})
	}
}

// publishGauges publishes, for the second address, what only the loop knows.
func (l *eventLoop) publishGauges(now time.Duration) {
	l.gaugesPublishedAt = now
	listed := int64(0)
	for _, b := range l.backendsByID {
		if b.phase != balance.Removed {
			listed++
		}
	}
	l.figures.members.Store(listed)
	l.figures.avoided.Store(int64(l.balancer.UnavailableEndpoints()))
}

// gaugeInterval is the least time between two looks at what the module avoids.
const gaugeInterval = 50 * time.Millisecond
