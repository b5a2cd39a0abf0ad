package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHealthChecksPerTick is the most health checks in a tick: nodes that choose among a few random endpoints don't
	// all choose the same one.
	maxHealthChecksPerTick = 3
	// healthCheckSpend is what the health checks of an arrival may cost, in the unit of Prices: with dear ones only some
	// arrivals check.
	healthCheckSpend = 0.004
	// minHealthCheckPrice avoids a division by zero where health checks are free.
	minHealthCheckPrice = 1e-9
	// maxCheckWaitFraction is the fraction of its latency objective for which a request may wait for health checks.
	maxCheckWaitFraction = 0.05
	// maxRepeatChecks bounds the checks that only learn the interval between load reports.
	maxRepeatChecks = 16
)

// healthChecks counts the health checks of a node. Invariant: credit <= 2*maxHealthChecksPerTick, so that few are saved
// up for a burst.
type healthChecks struct {
	credit      float64       // checks that arrivals have paid for
	sent        float64       // since the node's start, repeated checks aside
	lastRoundAt time.Duration // the last tick that sent some
	awaited     int           // results that waiting requests wait for
	repeats     int           // endpoints checked twice in a row
}

// earn adds what an arrival pays for. A node that has not yet checked as many times as it has endpoints checks at each
// arrival: it knows nothing.
func (h *healthChecks) earn(price float64, endpoints int) {
	perArrival := min(maxHealthChecksPerTick, healthCheckSpend/max(price, minHealthCheckPrice))
	if h.sent < float64(endpoints) {
		perArrival = max(perArrival, 1)
	}
	h.credit = min(h.credit+perArrival, 2*maxHealthChecksPerTick)
}

// sendHealthChecks checks distinct endpoints, drawn at random, once in a tick with arrivals.
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

// awaitChecks reports whether an arrival waits for the health checks of its tick, which takes one round trip. Where a
// node sees little traffic its queue estimates are older than a queue, and only these checks are fresh.
func (b *Balancer) awaitChecks(r *request, timeLeft time.Duration) bool {
	if b.healthChecks.awaited <= 0 {
		return false
	}
	b.awaitingChecks = append(b.awaitingChecks, r)
	longest := time.Duration(maxCheckWaitFraction * float64(r.class.LatencyObjective))
	b.setTimer(min(longest, timeLeft), timer{kind: healthCheckWait, request: r})
	return true
}

// stopAwaitingChecks places what waits with a request that has waited for long enough: a check without a result by now
// would show nothing good.
func (b *Balancer) stopAwaitingChecks(r *request) {
	if slices.Contains(b.awaitingChecks, r) {
		b.placeAwaiting()
	}
}

// placeAwaiting places the requests that wait for health checks.
func (b *Balancer) placeAwaiting() {
	waiting := slices.DeleteFunc(b.awaitingChecks, func(r *request) bool { return r.finished })
	b.awaitingChecks = nil
	b.healthChecks.awaited = 0
	for _, r := range waiting {
		b.place(r)
	}
}

// onHealthChecked handles the result of a health check. A success is a sign of life: where one request is lost at an
// endpoint that has little else to answer, only health checks show that it goes on serving.
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
		b.placeAwaiting()
	}
}

// repeatHealthCheck checks the same endpoint again soon: checks that are seconds apart can't show how often an endpoint
// reports, and every report would pass for seconds old.
func (b *Balancer) repeatHealthCheck(e *endpointState) {
	if b.healthChecks.repeats < maxRepeatChecks && e.reportedQueue > 0 {
		b.healthChecks.repeats++
		gapSeconds := cmp.Or(b.reportInterval.seconds, 2*b.latency.meanServiceSeconds) / 2
		b.setTimer(time.Duration(gapSeconds*float64(time.Second)), timer{kind: repeatedHealthCheck, endpoint: e})
	}
}
