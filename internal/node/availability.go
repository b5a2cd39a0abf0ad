package node

import (
	"time"

	"hitchvale/balance"
)

// gaugeInterval is how often the event loop publishes the gauges, at most.
const gaugeInterval = 50 * time.Millisecond

// updateAvailability is called after a change of phases or cordons. It closes idle connections to unavailable backends,
// cancels the attempts to them that have not begun to write, and updates the readiness of the node.
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

// stopAwaitingFirstList makes the node ready on the cached list if discovery has not pushed a list in time.
func (l *eventLoop) stopAwaitingFirstList() {
	if !l.awaitingFirstList {
		return
	}
	l.log.Warn("no endpoint list from discovery yet, serving on the cached one")
	l.awaitingFirstList = false
	l.updateAvailability()
}

// applyCordons applies the record of cordons. It ignores a record that is no newer than the current record.
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

// applyCordon notifies the Balancer of a change of a backend's cordon. For an uncordoned backend, the Balancer is
// notified of both the cordon and the uncordon, because the record may have changed twice since it was last read.
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

// publishGauges publishes the numbers of listed and unavailable backends that the admin address reports.
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
