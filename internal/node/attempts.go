package node

import (
	"time"

	"hitchvale/balance"
	"hitchvale/internal/monotime"
)

// This file carries out attempts and probes, and gives requests their final answers.

// arrive takes in a request. One whose id is still in use is turned away: backends could not tell the two apart.
func (l *loop) arrive(r *request) {
	if l.requests[r.id] != nil {
		r.reply <- answer{kind: doubled}
		return
	}
	l.requests[r.id] = r
	l.counts.arrived++
	open, budget := r.message.open != nil, max(time.Until(r.deadline), 0)
	if open {
		budget = r.message.left
		r.message.written = func() time.Time {
			deadline := l.shutdown.bound(time.Now().Add(r.message.left))
			l.post(requestWritten{request: r, deadline: deadline})
			return deadline
		}
	}
	l.handle(balance.RequestArrived{
		Request: r.id, Class: r.class, Tenant: r.tenant, RoutingKey: r.key, HasRoutingKey: r.hasKey,
		TimeLeft: budget, ExpectedWork: r.hint, ClientRetry: r.repeat, Incomplete: open,
	})
}

// gone takes in that a client has closed its connection before its answer.
func (l *loop) gone(r *request) {
	select {
	case a := <-r.reply: // nobody takes it
		if a.stream != nil {
			a.stream.end(false)
		}
	default:
	}
	if l.requests[r.id] != r || r.answered {
		return
	}
	r.answered, r.goneAt = true, l.now()
	l.counts.gone++
	l.handle(balance.ClientDisconnected{Request: r.id})
	l.endAttempts(r, balance.StatusCancelled)
}

func (l *loop) send(a *balance.Action) {
	r, b := l.requests[a.Request], l.backend(a.Endpoint)
	if r == nil || b == nil {
		return
	}
	n := len(r.attempts)
	may := l.guard.maySend(r, b, l.now())
	l.counts.sent++
	at := &attempt{to: b, sent: l.now()}
	r.attempts = append(r.attempts, at)
	r.pending++
	if !may {
		l.outcome(r, n, result{status: balance.StatusNotSent})
		return
	}
	deadline := r.deadline
	if a.Timeout > 0 {
		if limit := time.Now().Add(a.Timeout); deadline.IsZero() || limit.Before(deadline) {
			deadline = limit
		}
	}
	var begin time.Time
	if a.StartWithin > 0 {
		begin = time.Now().Add(a.StartWithin)
	}
	if n > 0 {
		l.figures.retries.Add(1)
	}
	at.call = l.back.attempt(b.to, &r.message, begin, deadline, func(res result) {
		if !l.post(attemptFinished{request: r, attempt: n, result: res}) && res.stream != nil {
			res.stream.end(false)
		}
	})
}

// sentWhole takes in that the last byte of a streamed request has been written, and the deadline that follows from it.
func (l *loop) sentWhole(r *request, deadline time.Time) {
	r.deadline = deadline
	if n := len(r.attempts) - 1; !r.answered && n >= 0 && !r.attempts[n].over {
		r.attempts[n].sent = l.now()
		l.handle(balance.RequestWritten{Request: r.id, Attempt: n, TimeLeft: max(time.Until(deadline), 0)})
	}
}

// outcome tells the Balancer how an attempt ended, once. What comes after it was given up changes nothing.
func (l *loop) outcome(r *request, n int, res result) {
	at := r.attempts[n]
	if at.over || res.stream != nil && r.answered {
		if res.stream != nil {
			res.stream.end(false)
		}
		if at.over {
			return
		}
	}
	at.over, at.status = true, res.status
	l.guard.began(r, at, l.beganAt(at))
	r.pending--
	l.counts.outcomes[res.status]++
	l.figures.attempts[res.status].Add(1)
	if res.status == balance.StatusSucceeded && !r.answered {
		r.answered = true
		l.counts.answers[served]++
		if l.worked != nil {
			l.worked(r, l.now()-at.sent)
		}
		if res.stream != nil && l.streams != nil {
			l.follow(at.to.id, res.stream)
		}
		r.reply <- answer{kind: served, body: res.body, contentType: res.contentType, stream: res.stream}
	}
	l.forget(r)
	l.handle(balance.AttemptEnded{
		Request: r.id, Attempt: n, Endpoint: at.to.number, Elapsed: l.now() - at.sent,
		Status: res.status, Final: r.answered, Load: res.load, NotReplayable: res.spoilt,
	})
}

// beganAt is when the first byte of an attempt was about to go, on the loop's clock; 0: it never was.
func (l *loop) beganAt(at *attempt) time.Duration {
	if at.call == nil {
		return 0
	}
	began := at.call.began.Load()
	if began.IsZero() {
		return 0
	}
	return l.now() - time.Duration(monotime.Now()-began)
}

// follow counts an answer as open at its backend until all of it has been passed on.
func (l *loop) follow(id string, s *stream) {
	l.streams[id]++
	end := s.end
	s.end = func(whole bool) {
		end(whole)
		l.post(responseStreamEnded{id})
	}
}

// giveUp ends an attempt and its connection.
func (l *loop) giveUp(r *request, n int, st balance.Status) {
	at := r.attempts[n]
	if at.over {
		return
	}
	if at.call != nil {
		if at.call.bar() {
			st = balance.StatusNotSent
		}
		at.call.cancel()
	}
	l.outcome(r, n, result{status: st})
}

// finish gives a request its final answer. Nothing that was sent for it can be of use any more.
func (l *loop) finish(r *request, a answer) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	a.late = !r.deadline.IsZero() && !time.Now().Before(r.deadline)
	l.counts.answers[a.kind]++
	if a.late {
		l.counts.late++
	}
	l.unserved.Warn("request not served", "request", r.id, "class", r.class, "refused", a.kind == refused, "late", a.late,
		"attempts", len(r.attempts), "last", r.lastStatus(), "retry_in", a.retryIn)
	r.reply <- a
	st := balance.StatusCancelled
	if a.late {
		st = balance.StatusTimedOut
	}
	l.endAttempts(r, st)
}

func (l *loop) endAttempts(r *request, st balance.Status) {
	for n := range r.attempts {
		l.giveUp(r, n, st)
	}
	l.forget(r)
}

// forget drops a request from the table once it is answered and nothing is out for it.
func (l *loop) forget(r *request) {
	if r.answered && r.pending == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
	}
}

func (l *loop) probe(number balance.EndpointID) {
	b := l.backend(number)
	if b == nil {
		return
	}
	sent := l.now()
	if !b.takes() {
		l.probed(number, sent, result{status: balance.StatusNotSent})
		return
	}
	l.counts.probes++
	l.back.probe(b.to, func(res result) {
		l.post(healthCheckFinished{endpoint: number, sent: sent, result: res})
	})
}

// probed notifies the Balancer of the result of a health check.
func (l *loop) probed(number balance.EndpointID, sent time.Duration, res result) {
	l.handle(balance.HealthChecked{
		Endpoint: number,
		Elapsed:  l.now() - sent,
		Status:   res.status,
		Load:     res.load,
	})
}

// unsend stops attempts that have not begun to write to a backend that takes nothing new. Left alone, one that
// hangs in a dial would go out when the grace is long over.
func (l *loop) unsend() {
	type one struct {
		r *request
		n int
	}
	var out []one
	for _, r := range l.requests {
		for n, at := range r.attempts {
			if !at.over && !at.to.takes() && at.call != nil && at.call.bar() {
				out = append(out, one{r, n})
			}
		}
	}
	for _, o := range out {
		o.r.attempts[o.n].call.cancel()
		l.outcome(o.r, o.n, result{status: balance.StatusNotSent})
	}
}
