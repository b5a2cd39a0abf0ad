package balance

import "time"

// This file bounds the queue that a request may join and rejects requests beyond the bound. In a longer queue every
// request would be answered too late, and the queue would get shorter only by rejecting requests.

const (
	// initialQueueBudget is the budget at the start. A node that rejects early logs that answers are in time again when
	// its budget has grown to this value.
	initialQueueBudget = 0.3
	minQueueBudget     = 0.12
	maxQueueBudget     = 1.0
	// queueBudgetRatePerSecond is the fraction of the budget by which it may change in a second. It is a rate per
	// second and not per answer, because a node with few answers must notice overload in as many seconds as a busy
	// node.
	queueBudgetRatePerSecond = 2.0
	// maxQueueBudgetStep is the largest change by one answer, as a fraction of the budget.
	maxQueueBudgetStep = 0.1
	// answersPerLateAnswer is the number of answers in time that make up for one late answer.
	answersPerLateAnswer = 20
)

// queueBudget is the fraction of the latency slack that queues may take up. It falls when a queue makes an answer late
// and grows with answers in time. An overloaded endpoint can work so badly that even a queue within the bound never
// clears. Only late answers show this.
//
// Invariant: minQueueBudget <= fraction <= maxQueueBudget.
type queueBudget struct {
	fraction         float64
	answerGapSeconds float64 // mean time between answers
	lastAnswerAt     time.Duration
	rejectingEarly   bool // the node has logged that it rejects early
}

// adjust updates the budget by an answer. late is the time by which the answer missed its latency objective; it is
// negative if the answer was in time. queuedSeconds is the time that the endpoint needed for the queue that the request
// joined. A late answer lowers the budget only if that time explains all the lateness, because a heavy request is late
// in any queue.
func (q *queueBudget) adjust(now time.Duration, status Status, late time.Duration, queuedSeconds float64) {
	if q.lastAnswerAt > 0 { // the clock may start at any value, so the first answer has no gap
		q.answerGapSeconds += sampleWeight * ((now - q.lastAnswerAt).Seconds() - q.answerGapSeconds)
	}
	q.lastAnswerAt = now
	step := min(queueBudgetRatePerSecond*q.answerGapSeconds, maxQueueBudgetStep) * q.fraction
	switch {
	case status == StatusTimedOut || status == StatusSucceeded && late > 0 && late.Seconds() <= queuedSeconds:
		q.fraction -= step
	case status == StatusSucceeded && late <= 0:
		q.fraction += step / answersPerLateAnswer
	}
	q.fraction = min(max(q.fraction, minQueueBudget), maxQueueBudget)
}

// adjustQueueBudget updates the queue budget by an answer, and logs when the node begins to reject early and when it
// stops.
func (b *Balancer) adjustQueueBudget(status Status, late time.Duration, queuedSeconds float64) {
	q := &b.queueBudget
	q.adjust(b.now, status, late, queuedSeconds)
	switch {
	case !q.rejectingEarly && q.fraction == minQueueBudget:
		q.rejectingEarly = true
		b.log("answers are late: rejecting requests early")
	case q.rejectingEarly && q.fraction >= initialQueueBudget:
		q.rejectingEarly = false
		b.log("answers are in time again: early rejection ended")
	}
}

// mayAdjustQueueBudget reports whether the end of an attempt may adjust the queue budget. A timeout may not if the
// endpoint has shown no activity since the attempt was sent: that is a fault of the endpoint and not overload. The
// timeout of a lost attempt may not either, because no queue explains it.
func (b *Balancer) mayAdjustQueueBudget(a *attempt, ev *AttemptEnded) bool {
	return ev.Status != StatusTimedOut || a.endpoint.lastActivityAt > a.sentAt && !b.isLost(a, ev.Elapsed) && !a.lost
}

// slackSeconds is the longest wait that still lets an average request be answered within its latency objective.
func (b *Balancer) slackSeconds() float64 {
	return max(b.latency.meanObjectiveSeconds-b.latency.meanUnloadedSeconds(), 0)
}

// meanMaxWaitSeconds is the longest wait at which a request of average priority is forwarded: the queue budget times
// the slack, or times the unloaded latency if that is longer. If all endpoints are slow at the same time there is no
// slack. Shorter queues would then leave the endpoints idle, and no answer would come sooner.
func (b *Balancer) meanMaxWaitSeconds() float64 {
	return b.queueBudget.fraction * max(b.slackSeconds(), b.latency.meanUnloadedSeconds())
}

// maxWaitSeconds is the longest wait at which a request is forwarded, by its priority.
func (b *Balancer) maxWaitSeconds(r *request) float64 {
	factor := min(max(b.priorityFactor(r), 1/maxPriorityFactor), maxPriorityFactor)
	return b.meanMaxWaitSeconds() * factor
}
