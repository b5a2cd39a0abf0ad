package balance

const (
	// crossZoneCostObjectives is the time, in mean latency objectives, that costs as much as the full priority weight
	// of a request.
	crossZoneCostObjectives = 1.5
	// maxIdleQueue is the largest queue estimate at which an endpoint counts as idle. An idle endpoint makes no request
	// wait, even if it has become slow.
	maxIdleQueue = 0.1
	// toleratedUnresponsiveMultiple sets how long an endpoint may be unresponsive without a cost: this multiple of the
	// time that its queue should take.
	toleratedUnresponsiveMultiple = 2
	// maxUsefulFailureRate is the failure rate from which a rejection does more good than an attempt. An endpoint that
	// serves about half of its requests is still better than a rejection.
	maxUsefulFailureRate = 0.6
)

// selectEndpoint returns the usable endpoint with the lowest cost for a request, or nil if no endpoint may get it. An
// endpoint is excluded if it is full for the request, if it had the request before, if the request might run twice, or
// if it has too little slow start credit. Ties are broken at random, with equal probability.
//
// The cost is computed as in costSeconds, but without the slow start surcharge and with this node's attempts in flight
// counted a second time. If they were counted once, each node could keep sending to the same few endpoints.
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

// isFull reports whether a request would wait too long at an endpoint. At a warm endpoint the limit is maxWaitSeconds,
// and an idle warm endpoint is never full. In slow start the limit is a fraction of the request's latency objective.
func (b *Balancer) isFull(r *request, e *endpointState, maxWaitSeconds float64) bool {
	if b.slowStartFraction(e) < 1 {
		return b.slowStartLatencySeconds(r, e) > slowStartObjectiveFraction*r.class.LatencyObjective.Seconds()
	}
	return b.queueEstimate(e) > maxIdleQueue && b.expectedWaitSeconds(e) > maxWaitSeconds
}

// costSeconds is the time in which an endpoint would answer an average request, plus the costs of its failures, of
// being unresponsive and of crossing zones.
func (b *Balancer) costSeconds(e *endpointState) float64 {
	queue := (b.queueEstimate(e) + 1) * b.serviceSeconds(e)
	unresponsive := max(0, b.unresponsiveSeconds(e)-toleratedUnresponsiveMultiple*queue)
	return queue + b.failureCostSeconds(e) + unresponsive + b.crossZoneCostSeconds(e)
}

// crossZoneCostSeconds is the time that a request to another zone must save to be worth its price. The network time is
// left out, because the measured latencies contain it already.
func (b *Balancer) crossZoneCostSeconds(e *endpointState) float64 {
	if e.Zone == b.cfg.Zone {
		return 0
	}
	return b.cfg.Prices.CrossZone * crossZoneCostObjectives * b.latency.meanObjectiveSeconds
}

// expectedWaitSeconds is the time that an average request would lose at an endpoint, without the cost of crossing
// zones. Failures below maxUsefulFailureRate lose no time: they only send requests elsewhere while another endpoint can
// take them.
func (b *Balancer) expectedWaitSeconds(e *endpointState) float64 {
	wait := b.costSeconds(e) - b.crossZoneCostSeconds(e) - b.latency.meanUnloadedSeconds()
	if e.failureRate < maxUsefulFailureRate {
		wait -= b.failureCostSeconds(e)
	}
	return wait
}
