package balance

import "time"

// endpointState is what a node knows of one listed endpoint.
//
// Invariants: inFlight counts the attempts at the endpoint that are pending, whose last byte has been sent and that are
// not taken for lost; unaccepted and abandoned are never below zero; 0 <= failureRate <= 1.
type endpointState struct {
	Endpoint
	subsetRank uint64 // place in this node's own order of the endpoints

	// The load of other nodes, in requests.
	reportedLoad float64       // by the last load report
	reportedAt   time.Duration // when the endpoint had that load
	loadBias     float64       // how it usually differs from the mean of the zone

	// The last load report as it came, this node's own requests included.
	reportedQueue      float64
	reportedQueueSince time.Duration // when it was first seen

	// The load of this node, in requests.
	inFlight   float64
	unaccepted float64 // attempts since the last report that the endpoint did not accept
	abandoned  float64 // attempts given up since then whose work may still stand in the queue

	// Running means over the answers.
	meanLatencySeconds float64 // 0: no answer yet
	meanQueueAtArrival float64 // queue estimate that the answered requests met
	lastAnswerAt       time.Duration

	failureRate    float64
	outlier        bool          // traffic is withheld, as logged
	lastActivityAt time.Duration // its last sign of life, or the send since when something is in flight

	knownSince             time.Duration // when this node learned of its process
	slowStartCreditSeconds float64       // work that may be sent to it in this window of slow start
	servedWorkSeconds      float64       // work answered in this window
}

// resetProcess forgets what was known of the endpoint's old process. Its attempts in flight are lost with it, and their
// outcomes are still to come.
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

// inService reports whether an endpoint may get requests: it is listed as ready, and not cordoned.
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
