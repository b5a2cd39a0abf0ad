package balance

import "math"

const (
	// unacceptedDecay is the fraction of the unaccepted attempts that is forgotten in each window. A queue turns over
	// several times in a window; the failure rate, which fades more slowly, goes on telling that the endpoint fails.
	unacceptedDecay = 0.6
	// abandonedDecay is that fraction for abandoned attempts, whose work may still stand in the queue.
	abandonedDecay = 0.4
)

// queueEstimate is the number of requests at an endpoint: other nodes' load, this node's attempts in flight, those
// that were not accepted, and those that were abandoned and may still stand there.
func (b *Balancer) queueEstimate(e *endpointState) float64 {
	return b.otherNodesLoad(e) + e.inFlight + e.unaccepted + e.abandoned
}

// otherNodesLoad is the load of other nodes by now: what was reported fades into what is expected, as a queue turns
// over. Taken literally, an old report makes all nodes rush at once to the endpoint that was idle then, and in a large
// fleet the smallest reported load is the oldest one.
func (b *Balancer) otherNodesLoad(e *endpointState) float64 {
	expected := b.expectedLoad(e)
	return expected + (e.reportedLoad-expected)*b.reportWeight(e, expected)
}

// expectedLoad is the load of other nodes on an endpoint when no report is fresh: the mean of its zone, with its bias.
func (b *Balancer) expectedLoad(e *endpointState) float64 {
	return max(0, b.loads.zoneMean(e.Zone)+e.loadBias)
}

// reportWeight is the fraction of the last report that still holds; squared, as other nodes act on the same report.
func (b *Balancer) reportWeight(e *endpointState, expected float64) float64 {
	turnover := (expected + 1) * b.serviceSeconds(e)
	return math.Pow(turnover/(turnover+(b.now-e.reportedAt).Seconds()), 2)
}

// countInFlight counts the last attempt of a request as in flight: its last byte has been sent to the endpoint.
func (b *Balancer) countInFlight(r *request) {
	a := r.lastAttempt()
	if a.endpoint.inFlight == 0 {
		a.endpoint.lastActivityAt = b.now
	}
	a.endpoint.inFlight++
	b.scheduleLossCheck(r)
}

// keepQueuePlace counts an attempt that has ended where its endpoint may still have it, or has not accepted it, until
// a report comes or the count fades: else an endpoint that fails fast would look idle.
func (b *Balancer) keepQueuePlace(a *attempt, ev *AttemptEnded) {
	gaveUp := ev.Status == StatusTimedOut || ev.Status == StatusCancelled
	switch {
	case ev.Status == StatusSucceeded, ev.Status == StatusNotSent:
	case gaveUp && !a.lost && !b.isLost(a, ev.Elapsed):
		a.endpoint.abandoned++
	default:
		a.endpoint.unaccepted++
	}
}

// fadeQueuePlaces is due once a window: a report may be long in coming, or never come.
func (e *endpointState) fadeQueuePlaces() {
	e.unaccepted -= unacceptedDecay * e.unaccepted
	e.abandoned -= abandonedDecay * e.abandoned
}
