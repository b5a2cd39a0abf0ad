package balance

import (
	"cmp"
	"time"
)

// This file sends probes and takes in the load reports that servers give.

// probe asks distinct servers, drawn at random, once in a tick with arrivals.
func (b *Balancer) sendHealthChecks() {
	due := min(maxHealthChecksPerTick, healthCheckSpend/max(b.cfg.Prices.HealthCheck, 1e-9))
	if b.healthChecksSent < float64(len(b.usable)) {
		due = max(due, 1) // a node that has just started knows nothing
	}
	b.checkCredit = min(b.checkCredit+due, 2*maxHealthChecksPerTick)
	if !b.cfg.Limits.HealthChecks || b.checkedAt == b.now {
		return
	}
	b.checkedAt = b.now
	d := min(int(b.checkCredit), maxHealthChecksPerTick, len(b.usable))
	b.checkCredit -= float64(d)
	for _, i := range b.rng.Perm(len(b.usable))[:d] {
		b.healthChecksSent++
		b.emit(Action{Kind: HealthCheck, Endpoint: b.usable[i].ID})
	}
	if d > 1 && b.reportInterval < b.meanServiceSeconds {
		b.checksAwaited += d
	}
}

// report overwrites an entry with what the server says it holds. A report is old: it tells of this
// node's own part too, so that part is taken off and what is out now stays counted.
func (b *Balancer) handleLoadReport(s *endpointState, l Load) {
	queue := l.Active
	switch {
	case l.Has&(HasActive|HasWaiting) == 0:
		return
	case l.Has&HasActive == 0:
		queue = l.Waiting
	}
	s.unaccepted, s.abandoned = 0, 0
	age, first := (b.now - s.reportedQueueSince).Seconds(), s.reportedQueueSince == 0
	switch {
	case first:
	case queue != s.reportedQueue && (b.reportInterval == 0 || age < 2*b.reportInterval):
		b.reportInterval = cmp.Or(b.reportInterval, age)
		b.reportInterval += shorterIntervalWeight * (age - b.reportInterval)
	case age < b.reportInterval:
		return // the same report again; past its time an equal one is news: an idle server says 0 for ever
	case queue > 0 && age < 2*b.reportInterval:
		b.reportInterval += longerIntervalWeight * (age - b.reportInterval)
	}
	s.reportedQueue, s.reportedQueueSince = queue, b.now
	b.recordLoad(s, max(0, queue-s.inFlight), b.reportInterval)
}

// tell takes in what other nodes had at a server some seconds ago.
func (b *Balancer) recordLoad(s *endpointState, others, ago float64) {
	at := b.now - time.Duration(ago*float64(time.Second))
	s.loadBias += min(loadBiasMaxWeight, max(0, at-s.reportedAt).Seconds()/loadBiasSeconds) * (others - b.zoneMeanLoad(s) - s.loadBias)
	s.reportedLoad, s.reportedAt = others, at
	b.fleetLoad.add(b.now, others)
	zone := b.zoneLoads[s.Zone]
	zone.add(b.now, others)
	b.zoneLoads[s.Zone] = zone
}
