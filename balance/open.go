package balance

// This file follows requests that are sent on while they come in. A server starts one when its last byte has come:
// before that it takes no place in the queue there, and how long its client takes tells nothing of the server.

// begin counts the attempt sent last as out.
func (b *Balancer) begin(r *request) {
	a := &r.attempts[len(r.attempts)-1]
	if a.to.out == 0 {
		a.to.owesAt = b.now
	}
	a.to.out++
	b.watch(r)
}

// onRequestWritten takes in that the last byte of an open request has gone: its time begins.
func (b *Balancer) onRequestWritten(ev *RequestWritten) {
	r := b.requests[ev.Request]
	if r == nil || !r.open || ev.Attempt != len(r.attempts)-1 || !r.attempts[ev.Attempt].pending {
		return
	}
	r.open, r.spoilt = false, true
	r.arrived, r.deadline = b.now, b.now+ev.TimeLeft
	b.setTimer(ev.TimeLeft, timer{end: r})
	a := &r.attempts[ev.Attempt]
	a.open, a.at = false, b.now
	a.met = b.entry(a.to)
	a.wait = a.met * b.pace(a.to)
	b.begin(r)
}
