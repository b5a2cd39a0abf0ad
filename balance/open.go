package balance

// This file follows requests that are sent on while they come in. A server starts one when its last byte has come:
// before that it takes no place in the queue there, and how long its client takes tells nothing of the server.

// begin counts the attempt sent last as out.
func (b *Balancer) countInFlight(r *request) {
	a := &r.attempts[len(r.attempts)-1]
	if a.endpoint.inFlight == 0 {
		a.endpoint.silentSince = b.now
	}
	a.endpoint.inFlight++
	b.scheduleLossCheck(r)
}

// onRequestWritten takes in that the last byte of an open request has gone: its time begins.
func (b *Balancer) onRequestWritten(ev *RequestWritten) {
	r := b.requests[ev.Request]
	if r == nil || !r.incomplete || ev.Attempt != len(r.attempts)-1 || !r.attempts[ev.Attempt].pending {
		return
	}
	r.incomplete, r.notReplayable = false, true
	r.arrived, r.deadline = b.now, b.now+ev.TimeLeft
	b.setTimer(ev.TimeLeft, timer{deadlineOf: r})
	a := &r.attempts[ev.Attempt]
	a.incomplete, a.sentAt = false, b.now
	a.queueAtSend = b.queueEstimate(a.endpoint)
	a.waitAtSendSeconds = a.queueAtSend * b.serviceSeconds(a.endpoint)
	b.countInFlight(r)
}
