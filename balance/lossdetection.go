package balance

import "time"

// lossMultiple sets when an unanswered attempt counts as lost: after this multiple of the expected time for its queue
// and its work.
const lossMultiple = 3

// lossSeconds is the time after which an unanswered attempt counts as lost, if its endpoint has shown activity in the
// meantime.
func (b *Balancer) lossSeconds(a *attempt) float64 {
	return lossMultiple * (a.waitAtSendSeconds + b.latency.meanUnloadedSeconds())
}

// isLost reports whether an unanswered attempt must have been lost, at an endpoint that has shown activity since the
// attempt was sent.
func (b *Balancer) isLost(a *attempt, elapsed time.Duration) bool {
	return a.endpoint.lastActivityAt > a.sentAt && elapsed.Seconds() > b.lossSeconds(a)
}

// scheduleLossCheck sets a timer for checkLoss on the last attempt of a request. It sets none if the request's deadline
// comes before the timer.
func (b *Balancer) scheduleLossCheck(r *request) {
	delay := time.Duration(b.lossSeconds(r.lastAttempt())*float64(time.Second)) + b.cfg.Tick
	if b.now+delay < r.deadline {
		b.setTimer(delay, timer{kind: lossCheck, request: r, attempt: len(r.attempts) - 1})
	}
}

// checkLoss counts a lost attempt as a failure, and no longer as in flight. If lost attempts stayed in flight until
// their deadline, a few of them would make an idle endpoint look full.
func (b *Balancer) checkLoss(a *attempt) {
	if a.pending && !a.lost && b.isLost(a, b.now-a.sentAt) {
		a.lost = true
		a.endpoint.inFlight--
		a.endpoint.countFailure()
	}
}
