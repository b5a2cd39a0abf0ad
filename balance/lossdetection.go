package balance

import "time"

// lossMultiple: an attempt that has had this multiple of its queue and the work is lost.
const lossMultiple = 3

// lossSeconds is the time beyond which an attempt is lost, if its endpoint gave a sign of life meanwhile.
func (b *Balancer) lossSeconds(a *attempt) float64 {
	return lossMultiple * (a.waitAtSendSeconds + b.latency.meanUnloadedSeconds())
}

// isLost reports whether an attempt without an answer must have been lost, at an endpoint that answered others.
func (b *Balancer) isLost(a *attempt, elapsed time.Duration) bool {
	return a.endpoint.lastActivityAt > a.sentAt && elapsed.Seconds() > b.lossSeconds(a)
}

// scheduleLossCheck has the last attempt of a request checked when it should have been answered long ago, unless that
// is past its deadline.
func (b *Balancer) scheduleLossCheck(r *request) {
	delay := time.Duration(b.lossSeconds(r.lastAttempt())*float64(time.Second)) + b.cfg.Tick
	if b.now+delay < r.deadline {
		b.setTimer(delay, timer{kind: lossCheck, request: r, attempt: len(r.attempts) - 1})
	}
}

// checkLoss counts a lost attempt as a failure, and no more as in flight: counted until its deadline, a few of them
// would make an idle endpoint look full.
func (b *Balancer) checkLoss(a *attempt) {
	if a.pending && !a.lost && b.isLost(a, b.now-a.sentAt) {
		a.lost = true
		a.endpoint.inFlight--
		a.endpoint.countFailure()
	}
}
