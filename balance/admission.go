package balance

import (
	"time"
)

// This file decides how long a queue a request may join, and when to refuse instead.

// slack is the longest wait that still lets an average request be answered within its aim. Longer queues
// serve no one in time and clear only by refusing: overload jams without this.
func (b *Balancer) slackSeconds() float64 {
	return max(b.meanObjectiveSeconds-b.meanUnloadedSeconds(), 0)
}

// bound is the longest wait at which a request is still sent: a part of the slack, or of the time without a
// queue where that is more, since with all servers slow at once there is no slack, and shorter queues would
// leave them idle and make no answer come sooner.
func (b *Balancer) maxWaitSeconds(r *request) float64 {
	lean := min(max(b.priorityFactor(r), 1/maxPriorityFactor), maxPriorityFactor)
	return b.queueBudget * max(b.slackSeconds(), b.meanUnloadedSeconds()) * lean
}

// lean is how the bound for a request compares with that of others: what is worth more for its work waits
// longer, so that it is served where not all can be.
// Traffic beyond its tenant's share is the first to be refused, as it earns little. Only what was sent
// counts: what was refused comes back, often several times.
func (b *Balancer) priorityFactor(r *request) float64 {
	lean := 1.0
	if b.meanPriority > 0 {
		lean = b.priority(r) / b.meanPriority
		if left := b.remainingQuota(r); left != nil && *left < 1 {
			lean *= b.cfg.OverQuotaValue
		}
	}
	return lean
}

// value is what a request is worth for each unit of work, which is that of a mean class.
func (b *Balancer) priority(r *request) float64 {
	if b.cfg.PriorityPerWork || b.workSeconds(r) == 0 {
		return r.class.PriorityWeight
	}
	return r.class.PriorityWeight * b.meanUnloadedSeconds() / b.workSeconds(r)
}

// pressure moves the bound on the wait. Crowded servers can work so badly that a bearable queue never clears,
// and only lateness shows it. Only what the queue made late counts: a heavy request is late in any queue.
func (b *Balancer) adjustQueueBudget(st Status, late time.Duration, queued float64) {
	if b.lastOutcomeAt > 0 { // a clock that starts anywhere tells nothing of the first gap
		b.answerGapSeconds += sampleWeight * ((b.now - b.lastOutcomeAt).Seconds() - b.answerGapSeconds)
	}
	b.lastOutcomeAt = b.now
	step := min(queueBudgetRatePerSecond*b.answerGapSeconds, maxQueueBudgetStep) * b.queueBudget
	switch {
	case st == StatusTimedOut || st == StatusSucceeded && late > 0 && late.Seconds() <= queued:
		b.queueBudget -= step
	case st == StatusSucceeded && late <= 0:
		b.queueBudget += step / answersPerLateOne
	}
	b.queueBudget = min(max(b.queueBudget, minQueueBudget), maxQueueBudget)
	b.logTransition(&b.overloaded, b.queueBudget == minQueueBudget, b.queueBudget >= initialQueueBudget,
		"answers come late: refusing early", "answers in time again")
}
