package node

import (
	"time"

	"hitchvale/balance"
)

// gaugeInterval is the least time between two counts of the endpoints that the Balancer avoids.
const gaugeInterval = 50 * time.Millisecond

// updateAvailability follows a change of phases or cordons: connections to backends that are unavailable are closed,
// attempts that wait for one are cancelled, and the node's readiness is set anew.
func (l *eventLoop) updateAvailability() {
	ready := false
	for _, b := range l.backendsByID {
		if b.available() {
			ready = true
			b.unavailableSince = 0
			continue
		}
		if b.unavailableSince == 0 {
			b.unavailableSince = l.now()
		}
		l.upstream.pool.CloseIdle(b.process)
	}
	l.ready.Store(ready && !l.awaitingFirstList)
	l.cancelUnsentAttempts()
	l.publishGauges(l.now())
}

// stopAwaitingFirstList has the node serve on the cached list, where discovery has pushed none in time.
func (l *eventLoop) stopAwaitingFirstList() {
	if !l.awaitingFirstList {
		return
	}
	l.log.Warn("no endpoint list from discovery yet, serving on the cached one")
	l.awaitingFirstList = false
	l.updateAvailability()
}

// applyCordons takes in the record of cordons. One that is no newer than the last changes nothing.
func (l *eventLoop) applyCordons(record cordonRecord) {
	if record.Version <= l.cordons.Version {
		return
	}
	l.updateCordonTimes(record)
	l.cordons = record
	for id, b := range l.backendsByID {
		l.applyCordon(b, record.Backends[id])
	}
	l.updateAvailability()
}

// applyCordon notifies the Balancer of a backend's cordon. One that is put back was out before, so the Balancer is
// notified of both: the record may have changed twice since it was last read.
func (l *eventLoop) applyCordon(b *backend, c cordon) {
	neverCordoned := c.CordonedAt == 0
	unchanged := c.Cordoned == b.cordoned && (c.Cordoned || c.UncordonedAt == b.uncordonedAt)
	if neverCordoned || unchanged {
		return
	}
	l.log.Info("cordon changed", "backend", b.id, "cordoned", c.Cordoned)
	b.cordoned = c.Cordoned
	b.uncordonedAt = c.UncordonedAt
	at := l.cordonTimes[b.id]
	l.handle(balance.CordonChanged{Endpoint: b.endpointID, Cordoned: true, At: at.cordonedAt})
	if !c.Cordoned {
		l.handle(balance.CordonChanged{Endpoint: b.endpointID, At: at.uncordonedAt})
	}
}

// publishGauges publishes the counts of backends that the second address shows.
func (l *eventLoop) publishGauges(now time.Duration) {
	l.gaugesPublishedAt = now
	listed := int64(0)
	for _, b := range l.backendsByID {
		if b.phase != balance.Removed {
			listed++
		}
	}
	l.counters.listedEndpoints.Store(listed)
	l.counters.unavailableEndpoints.Store(int64(l.balancer.UnavailableEndpoints()))
}
