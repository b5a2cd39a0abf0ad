package balance

import "math"

const (
	// unacceptedDecay is the fraction of the unaccepted attempts that is removed from the count in each window. All
	// requests in a queue are replaced several times in a window. The failure rate decays more slowly and still shows
	// that the endpoint fails.
	unacceptedDecay = 0.6
	// abandonedDecay is the same fraction for abandoned attempts, whose work may still be in the queue.
	abandonedDecay = 0.4
)

// queueEstimate is the estimated number of requests at an endpoint: the load of other nodes, this node's attempts in
// flight, its unaccepted attempts, and its abandoned attempts, which may still be in the queue.
func (b *Balancer) queueEstimate(e *endpointState) float64 {
	return b.otherNodesLoad(e) + e.inFlight + e.unaccepted + e.abandoned
}

// otherNodesLoad is the estimated present load of other nodes on an endpoint. It moves from the reported load to the
// expected load at the pace at which the queue turns over. If nodes used an old report unchanged, all of them would
// send at the same time to the endpoint that was idle when the report was made. In a large fleet the smallest reported
// load is also the oldest.
func (b *Balancer) otherNodesLoad(e *endpointState) float64 {
	expected := b.expectedLoad(e)
	return expected + (e.reportedLoad-expected)*b.reportWeight(e, expected)
}

// expectedLoad is the load of other nodes on an endpoint without a fresh report: the mean of its zone plus the
// endpoint's load bias.
func (b *Balancer) expectedLoad(e *endpointState) float64 {
	return max(0, b.loads.zoneMean(e.Zone)+e.loadBias)
}

// reportWeight is the weight, from 0 to 1, that the last load report still has. It is squared because other nodes act
// on the same report.
func (b *Balancer) reportWeight(e *endpointState, expected float64) float64 {
	turnover := (expected + 1) * b.serviceSeconds(e)
	return math.Pow(turnover/(turnover+(b.now-e.reportedAt).Seconds()), 2)
}

// countInFlight counts the last attempt of a request as in flight and schedules its loss check. It is called when the
// last byte has been sent to the endpoint.
func (b *Balancer) countInFlight(r *request) {
	a := r.lastAttempt()
	if a.endpoint.inFlight == 0 {
		a.endpoint.lastActivityAt = b.now
	}
	a.endpoint.inFlight++
	b.scheduleLossCheck(r)
}

// countAbandonedOrUnaccepted counts an attempt that has ended, if its endpoint may still have it (abandoned) or has not
// accepted it (unaccepted). The count lasts until the next load report, or until it has decayed. Without it an endpoint
// that fails fast would look idle.
func (b *Balancer) countAbandonedOrUnaccepted(a *attempt, ev *AttemptEnded) {
	gaveUp := ev.Status == StatusTimedOut || ev.Status == StatusCancelled
	switch {
	case ev.Status == StatusSucceeded, ev.Status == StatusNotSent:
	case gaveUp && !a.lost && !b.isLost(a, ev.Elapsed):
		a.endpoint.abandoned++
	default:
		a.endpoint.unaccepted++
	}
}

// decayAbandonedAndUnaccepted is called once a window, because a load report may be late or never arrive.
func (e *endpointState) decayAbandonedAndUnaccepted() {
	e.unaccepted -= unacceptedDecay * e.unaccepted
	e.abandoned -= abandonedDecay * e.abandoned
}
