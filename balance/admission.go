package balance

import "time"

// This file bounds the queue that a request may join. Beyond the bound it is rejected: longer queues serve no one in
// time and clear only by rejecting.

const (
	// initialQueueBudget is also the budget from which a node logs that answers come in time again.
	initialQueueBudget = 0.3
	minQueueBudget     = 0.12
	maxQueueBudget     = 1.0
	// queueBudgetRatePerSecond is how fast the budget follows the answers: a node with few answers a second must
	// notice overload in as many seconds as a busy one.
	queueBudgetRatePerSecond = 2.0
	// maxQueueBudgetStep is the largest change by one answer, as a fraction of the budget.
	maxQueueBudgetStep = 0.1
	// answersPerLateOne is the number of answers among which one late answer leaves the budget as it is.
	answersPerLateOne = 20
)

// queueBudget is the fraction of the latency slack that queues may take up. It falls with answers that a queue made
// late and grows with those in time: overloaded endpoints can work so badly that a bearable queue never clears, and
// only lateness shows it.
//
// Invariant: minQueueBudget <= fraction <= maxQueueBudget.
type queueBudget struct {
	fraction         float64
	answerGapSeconds float64 // mean time between answers
	lastAnswerAt     time.Duration
	exhausted        bool // as logged
}

// adjust follows an answer. late is the time beyond its latency objective, queuedSeconds the time that its queue
// accounts for: a heavy request is late in any queue, and only what the queue made late counts.
func (q *queueBudget) adjust(now time.Duration, status Status, late time.Duration, queuedSeconds float64) {
	if q.lastAnswerAt > 0 { // the clock may start anywhere: there is no gap before the first answer
		q.answerGapSeconds += sampleWeight * ((now - q.lastAnswerAt).Seconds() - q.answerGapSeconds)
	}
	q.lastAnswerAt = now
	step := min(queueBudgetRatePerSecond*q.answerGapSeconds, maxQueueBudgetStep) * q.fraction
	switch {
	case status == StatusTimedOut || status == StatusSucceeded && late > 0 && late.Seconds() <= queuedSeconds:
		q.fraction -= step
	case status == StatusSucceeded && late <= 0:
		q.fraction += step / answersPerLateOne
	}
	q.fraction = min(max(q.fraction, minQueueBudget), maxQueueBudget)
}

// adjustQueueBudget follows an answer, and logs when the node begins to reject early and when it ends.
func (b *Balancer) adjustQueueBudget(status Status, late time.Duration, queuedSeconds float64) {
	q := &b.queueBudget
	q.adjust(b.now, status, late, queuedSeconds)
	switch {
	case !q.exhausted && q.fraction == minQueueBudget:
		q.exhausted = true
		b.log("answers come late: rejecting early")
	case q.exhausted && q.fraction >= initialQueueBudget:
		q.exhausted = false
		b.log("answers in time again")
	}
}

// showsQueueing reports whether the end of an attempt may adjust the queue budget. A time-out at an endpoint that
// gave no sign of life in the meantime is that endpoint's fault and not overload, and so is one that no queue explains.
func (b *Balancer) showsQueueing(a *attempt, ev *AttemptEnded) bool {
	return ev.Status != StatusTimedOut || a.endpoint.lastActivityAt > a.sentAt && !b.isLost(a, ev.Elapsed) && !a.lost
}

// slackSeconds is the longest wait that still lets an average request be answered within its latency objective.
func (b *Balancer) slackSeconds() float64 {
	return max(b.latency.meanObjectiveSeconds-b.latency.meanUnloadedSeconds(), 0)
}

// meanMaxWaitSeconds is the longest wait at which a request of average priority is forwarded: the queue budget of the
// slack, or of the unloaded latency where that is more. With all endpoints slow at once there is no slack, and
// shorter queues would leave them idle and make no answer come sooner.
func (b *Balancer) meanMaxWaitSeconds() float64 {
	return b.queueBudget.fraction * max(b.slackSeconds(), b.latency.meanUnloadedSeconds())
}

// maxWaitSeconds is the longest wait at which a request is forwarded, by its priority.
func (b *Balancer) maxWaitSeconds(r *request) float64 {
	factor := min(max(b.priorityFactor(r), 1/maxPriorityFactor), maxPriorityFactor)
	return b.meanMaxWaitSeconds() * factor
}
