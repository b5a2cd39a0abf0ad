package balance

import (
	"fmt"
	"time"
)

// This file tells what a server's signs say of it: its answers, its failures and its silence.

// silence is how long a server has owed this node an answer without any sign. One that hangs keeps a bearable
// queue while it takes everything sent to it.
func (b *Balancer) silenceSeconds(s *endpointState) float64 {
	if s.inFlight == 0 {
		return 0
	}
	return (b.now - s.silentSince).Seconds()
}

// lostQueues times what its queue should take, and the work, is so long for a request that it must be lost.
const lossMultiple = 3

// lost tells whether an attempt that ran out of time must have been lost, at a server that answered others.
func (b *Balancer) isLost(a *attempt, spent time.Duration) bool {
	return a.endpoint.silentSince > a.sentAt && spent.Seconds() > b.lossSeconds(a)
}

// lostAfter is the time, in seconds, beyond which a server's signs tell that it has lost an attempt.
func (b *Balancer) lossSeconds(a *attempt) float64 {
	return lossMultiple * (a.waitAtSendSeconds + b.meanUnloadedSeconds())
}

// watch looks after the attempt sent last, when it should have been answered long ago.
func (b *Balancer) scheduleLossCheck(r *request) {
	n := len(r.attempts) - 1
	after := time.Duration(b.lossSeconds(&r.attempts[n])*float64(time.Second)) + b.cfg.Tick
	if b.now+after < r.deadline {
		b.setTimer(after, timer{lossCheckOf: r, attempt: n})
	}
}

// look takes an attempt that must be lost off the entry of its server: it holds no place in the queue there, and
// counted on until its deadline, a few of them would make an idle server look full.
func (b *Balancer) checkLoss(a *attempt) {
	if a.pending && !a.lost && b.isLost(a, b.now-a.sentAt) {
		a.lost = true
		a.endpoint.inFlight--
		a.endpoint.failureRate += failureWeight * (1 - a.endpoint.failureRate)
	}
}

// failsMost is the rate of failures from which a refusal does more good than another try.
const maxUsefulFailureRate = 0.6

// failing is the time that a server's failures are worth, beyond those that all servers have.
func (b *Balancer) failureCostSeconds(s *endpointState) float64 {
	return max(0, s.failureRate-b.meanFailureRate) * failureCostObjectives * b.meanObjectiveSeconds
}

// probed takes in how a probe ended. An answer is a sign of life: where one request is lost at a server that
// has little else to answer, only probes tell that it goes on serving.
func (b *Balancer) recordHealthCheck(s *endpointState, st Status) {
	if st == StatusSucceeded {
		s.silentSince = b.now
	}
}

// judge keeps a server's rate of failures, by this node's own attempts: one that fails fast looks
// idle to any probe. Cancelled and unsent attempts say nothing.
func (b *Balancer) recordOutcome(s *endpointState, st Status, a *attempt, spent time.Duration) {
	switch st {
	case StatusSucceeded, StatusRejected:
		s.failureRate -= failureWeight * s.failureRate
		s.silentSince = b.now
	case StatusTimedOut:
		switch {
		case a.lost: // that has been told
		case s.inFlight == 0 && s.silentSince <= a.sentAt:
			s.failureRate = 1 // nothing came back at all
		case b.isLost(a, spent):
			// A try that ran out of time says little while others are answered, unless it had far more time
			// than its queue accounts for: then it was lost, and the next may be.
			s.failureRate += failureWeight * (1 - s.failureRate)
		}
	case StatusApplicationError, StatusConnectionLost, StatusConnectFailed:
		s.silentSince = b.now
		s.failureRate += failureWeight * (1 - s.failureRate)
	}
}

// scouted takes in what a scout met. A node that sees little may think all servers full for seconds, by a report or
// some answers from one that is; a scout that waited less than the bound shows it, one that waited longer or came to
// nothing shows that refusing is right.
func (b *Balancer) recordProbeAdmission(r *request, ev *AttemptEnded) {
	switch {
	case r.probeBoundSeconds == 0 || ev.Attempt > 0 || ev.Status == StatusCancelled:
	case ev.Status == StatusSucceeded && ev.Elapsed.Seconds()-b.workSeconds(r) < r.probeBoundSeconds:
		b.probeAdmissionInterval = max(b.probeAdmissionInterval/2, 1)
	default:
		b.probeAdmissionInterval = min(b.probeAdmissionInterval*2, maxProbeAdmissionInterval)
	}
}

// compare sets a server's rate of failures beside that of all, and logs when traffic is withheld.
func (b *Balancer) updateOutlier(s *endpointState) {
	// What all servers have in common makes none of them an outlier, and is no reason to refuse.
	b.meanFailureRate += failureWeight * (s.failureRate - b.meanFailureRate) / float64(len(b.usable)+1)
	name := fmt.Sprintf("backend %d ", s.ID)
	b.logTransition(&s.outlier, s.failureRate > outlierFailureRate, s.failureRate < recoveredFailureRate,
		name+"fails: traffic withheld", name+"answers again")
}

// Stats is what a node may log of its Balancer.
type Stats struct {
	UsableEndpoints int     // servers that may be sent to
	QueueBudget     float64 // part of the slack that queues may take up
	UnloadedLatency float64 // mean time of an answer without a queue, seconds
	ShortestWait    float64 // the shortest wait at a server, seconds; 0 without one
}

// Stats returns the present figures.
func (b *Balancer) Stats() Stats {
	st := Stats{UsableEndpoints: len(b.usable), QueueBudget: b.queueBudget, UnloadedLatency: b.meanUnloadedSeconds()}
	for i, s := range b.usable {
		if w := b.expectedWaitSeconds(s); i == 0 || w < st.ShortestWait {
			st.ShortestWait = w
		}
	}
	return st
}

// EndpointLoads tells of the servers that this node keeps to, by id.
func (b *Balancer) EndpointLoads() (out []EndpointLoad) {
	for _, s := range b.usable {
		out = append(out, EndpointLoad{s.ID, b.queueEstimate(s), s.inFlight, s.failureRate})
	}
	return out
}
