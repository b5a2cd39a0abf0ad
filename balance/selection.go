package balance

const (
	// crossZoneCostObjectives is the wait, in mean latency objectives, that costs as much as a request's full priority
	// weight.
	crossZoneCostObjectives = 1.5
	// maxIdleQueue is the largest queue estimate at which an endpoint counts as idle: it makes nobody wait, however
	// slow it has become.
	maxIdleQueue = 0.1
	// toleratedUnresponsiveMultiple: a silence costs what it lasts beyond this multiple of what the queue should take.
	toleratedUnresponsiveMultiple = 2
	// maxUsefulFailureRate is the failure rate from which a rejection does more good than an attempt: an endpoint that
	// serves about half of what it gets is better than a rejection.
	maxUsefulFailureRate = 0.6
)

// selectEndpoint returns the usable endpoint that costs a request least, or nil where none may get it: its wait is
// above the bound, it had the request before, it might run it twice, or it has no credit left in slow start. Ties are
// broken at random, all alike.
//
// The cost is that of costSeconds, with this node's attempts in flight counted once more: counted once, nothing keeps
// nodes from settling each on endpoints of its own.
func (b *Balancer) selectEndpoint(r *request, maxWaitSeconds float64) *endpointState {
	var best *endpointState
	least, ties := 0.0, 0
	for _, e := range b.usable {
		if b.isFull(r, e, maxWaitSeconds) || r.attempted(e) || !b.repeatAllowed(r, e) || !b.slowStartAdmits(r, e) {
			continue
		}
		cost := b.costSeconds(e) + e.inFlight*b.serviceSeconds(e) - b.slowStartSurchargeSeconds(e)
		switch {
		case best == nil || cost < least:
			best, least, ties = e, cost, 1
		case cost == least:
			ties++
			if b.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// isFull reports whether a request would wait too long at an endpoint: longer than the bound, or in slow start too long
// for its latency objective. An idle warm endpoint is never full.
func (b *Balancer) isFull(r *request, e *endpointState, maxWaitSeconds float64) bool {
	if b.slowStartFraction(e) < 1 {
		return b.slowStartLatencySeconds(r, e) > slowStartObjectiveFraction*r.class.LatencyObjective.Seconds()
	}
	return b.queueEstimate(e) > maxIdleQueue && b.expectedWaitSeconds(e) > maxWaitSeconds
}

// costSeconds is the time in which an endpoint would answer an average request, with what its failures, its silence
// and crossing zones cost.
func (b *Balancer) costSeconds(e *endpointState) float64 {
	queue := (b.queueEstimate(e) + 1) * b.serviceSeconds(e)
	silence := max(0, b.unresponsiveSeconds(e)-toleratedUnresponsiveMultiple*queue)
	return queue + b.failureCostSeconds(e) + silence + b.crossZoneCostSeconds(e)
}

// crossZoneCostSeconds is the time that crossing zones must save to be worth its price. The network time is in the
// latencies already.
func (b *Balancer) crossZoneCostSeconds(e *endpointState) float64 {
	if e.Zone == b.cfg.Zone {
		return 0
	}
	return b.cfg.Prices.CrossZone * crossZoneCostObjectives * b.latency.meanObjectiveSeconds
}

// expectedWaitSeconds is the time that an average request would lose at an endpoint, crossing zones aside. Failures
// lose no time: they send requests elsewhere while another endpoint can take them.
func (b *Balancer) expectedWaitSeconds(e *endpointState) float64 {
	wait := b.costSeconds(e) - b.crossZoneCostSeconds(e) - b.latency.meanUnloadedSeconds()
	if e.failureRate < maxUsefulFailureRate {
		wait -= b.failureCostSeconds(e)
	}
	return wait
}
