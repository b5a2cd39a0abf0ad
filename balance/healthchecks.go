package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHealthChecksPerTick is the largest number of health checks in a tick. Nodes that choose among a few random
	// endpoints don't all choose the same endpoint.
	maxHealthChecksPerTick = 3
	// healthCheckBudgetPerArrival is what the health checks of an arrival may cost, in the unit of Prices. If health
	// checks are expensive, only some arrivals send a health check.
	healthCheckBudgetPerArrival = 0.004
	// minHealthCheckPrice avoids a division by zero when health checks are free.
	minHealthCheckPrice = 1e-9
	// maxCheckWaitFraction is the fraction of its latency objective for which a request may wait for health checks.
	maxCheckWaitFraction = 0.05
	// maxRepeatChecks limits the repeated checks, which only serve to learn the interval between load reports.
	maxRepeatChecks = 16
)

// healthChecks counts the health checks of a node. Invariant: credit <= 2*maxHealthChecksPerTick, which limits a burst
// of checks.
type healthChecks struct {
	credit      float64       // number of checks that may be sent; see earn
	sent        float64       // number since the node's start, without repeated checks
	lastRoundAt time.Duration // the last tick with a round of checks
	awaited     int           // results that waiting requests wait for
	repeats     int           // number of repeated checks
}

// earn adds the credit of an arrival. A node that has not yet sent as many checks as it has endpoints knows nothing of
// their loads, so each arrival adds at least one check.
func (h *healthChecks) earn(price float64, endpoints int) {
	perArrival := min(maxHealthChecksPerTick, healthCheckBudgetPerArrival/max(price, minHealthCheckPrice))
	if h.sent < float64(endpoints) {
		perArrival = max(perArrival, 1)
	}
	h.credit = min(h.credit+perArrival, 2*maxHealthChecksPerTick)
}

// sendHealthChecks checks distinct endpoints, chosen at random, once in each tick with arrivals.
func (b *Balancer) sendHealthChecks() {
	h := &b.healthChecks
	h.earn(b.cfg.Prices.HealthCheck, len(b.usable))
	if !b.cfg.Limits.HealthChecks || h.lastRoundAt == b.now {
		return
	}
	h.lastRoundAt = b.now
	n := min(int(h.credit), maxHealthChecksPerTick, len(b.usable))
	h.credit -= float64(n)
	for _, i := range b.rng.Perm(len(b.usable))[:n] {
		h.sent++
		b.emit(checkHealth(b.usable[i].ID))
	}
	if n > 1 && b.reportInterval.seconds < b.latency.meanServiceSeconds {
		h.awaited += n
	}
}

// awaitChecks reports whether an arrival waits for the health checks of its tick, which takes one round trip. If a node
// has little traffic, its queue estimates are older than the present queues, and only these checks are fresh.
func (b *Balancer) awaitChecks(r *request, timeLeft time.Duration) bool {
	if b.healthChecks.awaited <= 0 {
		return false
	}
	b.awaitingChecks = append(b.awaitingChecks, r)
	longest := time.Duration(maxCheckWaitFraction * float64(r.class.LatencyObjective))
	b.setTimer(min(longest, timeLeft), timer{kind: healthCheckWait, request: r})
	return true
}

// stopAwaitingChecks places all waiting requests if a request still waits at the end of its longest wait. Results that
// are still missing are not awaited, because an endpoint that has not answered its check by then is not a good choice.
func (b *Balancer) stopAwaitingChecks(r *request) {
	if slices.Contains(b.awaitingChecks, r) {
		b.placeWaitingRequests()
	}
}

// placeWaitingRequests places the requests that wait for health checks.
func (b *Balancer) placeWaitingRequests() {
	waiting := slices.DeleteFunc(b.awaitingChecks, func(r *request) bool { return r.finished })
	b.awaitingChecks = nil
	b.healthChecks.awaited = 0
	for _, r := range waiting {
		b.place(r)
	}
}

// onHealthChecked handles the result of a health check. A successful check counts as activity of the endpoint: if a
// request is lost at an endpoint that has little else to answer, only health checks show that the endpoint still
// serves.
func (b *Balancer) onHealthChecked(ev *HealthChecked) {
	if e := b.endpoints[ev.Endpoint]; e != nil {
		b.handleLoadReport(e, ev.Load)
		if ev.Status == StatusSucceeded {
			e.lastActivityAt = b.now
		}
		b.repeatHealthCheck(e)
	}
	b.healthChecks.awaited--
	if b.healthChecks.awaited <= 0 {
		b.placeWaitingRequests()
	}
}

// repeatHealthCheck checks the same endpoint again soon. Checks that are seconds apart can't show how often an endpoint
// reports its load, and every report would be taken to be seconds old.
func (b *Balancer) repeatHealthCheck(e *endpointState) {
	if b.healthChecks.repeats < maxRepeatChecks && e.reportedQueue > 0 {
		b.healthChecks.repeats++
		gapSeconds := cmp.Or(b.reportInterval.seconds, 2*b.latency.meanServiceSeconds) / 2
		b.setTimer(time.Duration(gapSeconds*float64(time.Second)), timer{kind: repeatedHealthCheck, endpoint: e})
	}
}
