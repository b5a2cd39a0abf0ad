package balance

import "time"

// endpointState is what a node knows of one listed endpoint.
//
// Invariants: inFlight counts the pending attempts at the endpoint whose last byte has been sent and that are not
// counted as lost; unaccepted and abandoned are never below zero; 0 <= failureRate <= 1.
type endpointState struct {
	Endpoint
	subsetRank uint64 // position in this node's own order of the endpoints; see subsetRank

	// The load of other nodes, in requests.
	reportedLoad float64       // according to the last load report
	reportedAt   time.Duration // when the endpoint had that load
	loadBias     float64       // the usual difference between the endpoint's load and the mean of its zone

	// The last load report as received. It includes this node's own requests.
	reportedQueue      float64
	reportedQueueSince time.Duration // when this value was first reported

	// The load of this node, in requests.
	inFlight   float64
	unaccepted float64 // attempts that the endpoint did not accept since the last report
	abandoned  float64 // attempts given up since the last report whose work may still be in the queue

	// Running means over the endpoint's answers.
	meanLatencySeconds float64 // 0: no answer yet
	meanQueueAtArrival float64 // queue estimate when the answered requests were sent
	lastAnswerAt       time.Duration

	failureRate    float64
	outlier        bool          // marked as an outlier; each change is logged
	lastActivityAt time.Duration // last activity (see recordOutcome, onHealthChecked) or send when nothing was in flight

	knownSince             time.Duration // when this node learned of the endpoint's current process
	slowStartCreditSeconds float64       // work that may still be sent in this window of slow start
	servedWorkSeconds      float64       // work that the endpoint answered in this window
}

// resetProcess discards what was known of the endpoint's old process. The attempts in flight are lost with that
// process, but inFlight still counts them because their outcomes are still to come.
func (e *endpointState) resetProcess(now time.Duration) {
	e.loadBias = 0
	e.reportedLoad = 0
	e.unaccepted = 0
	e.abandoned = 0
	e.slowStartCreditSeconds = 0
	e.servedWorkSeconds = 0
	e.knownSince = now
	e.meanLatencySeconds = 0
	e.failureRate = 0
	e.outlier = false
	e.lastActivityAt = now
}

// inService reports whether an endpoint is listed as ready and is not cordoned, so that it may get requests.
func (b *Balancer) inService(e *endpointState) bool {
	return e.Phase == Ready && !b.cordons[e.ID].active
}

// effectiveStartTime returns when an endpoint's process started; 0 means long ago. An endpoint that was uncordoned has
// been restarted while it was cordoned, even if no list shows the restart yet.
func (b *Balancer) effectiveStartTime(e *endpointState) time.Duration {
	if c := b.cordons[e.ID]; c.uncordonedAt > 0 && e.StartedAt < c.cordonedAt {
		return c.uncordonedAt
	}
	return e.StartedAt
}
