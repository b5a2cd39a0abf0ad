package node

import (
	"time"

	"hitchvale/balance"
	"hitchvale/internal/monotime"
)

// This file carries out attempts and probes, and gives requests their final answers.

// startRequest takes in a request. One whose id is still in use is turned away: backends could not tell the two apart.
func (l *eventLoop) startRequest(r *request) {
	if l.requests[r.id] != nil {
		r.response <- finalResponse{kind: responseDuplicate}
		return
	}
	l.requests[r.id] = r
	l.statistics.arrived++
	open, budget := r.forwarded.upload != nil, max(time.Until(r.deadline), 0)
	if open {
		budget = r.forwarded.timeLeft
		r.forwarded.onWritten = func() time.Time {
			deadline := l.shutdown.bound(time.Now().Add(r.forwarded.timeLeft))
			l.post(requestWritten{request: r, deadline: deadline})
			return deadline
		}
	}
	l.handle(balance.RequestArrived{
		Request: r.id, Class: r.class, Tenant: r.tenant, RoutingKey: r.routingKey, HasRoutingKey: r.hasRoutingKey,
		TimeLeft: budget, ExpectedWork: r.expectedWork, ClientRetry: r.clientRetry, Incomplete: open,
	})
}

// disconnectClient takes in that a client has closed its connection before its answer.
func (l *eventLoop) disconnectClient(r *request) {
	select {
	case a := <-r.response: // nobody takes it
		if a.stream != nil {
			a.stream.end(false)
		}
	default:
	}
	if l.requests[r.id] != r || r.answered {
		return
	}
	r.answered, r.disconnectedAt = true, l.now()
	l.statistics.gone++
	l.handle(balance.ClientDisconnected{Request: r.id})
	l.cancelAttempts(r, balance.StatusCancelled)
}

func (l *eventLoop) startAttempt(a *balance.Action) {
	r, b := l.requests[a.Request], l.backendFor(a.Endpoint)
	if r == nil || b == nil {
		return
	}
	n := len(r.attempts)
	may := l.guard.maySend(r, b, l.now())
	l.statistics.sent++
	at := &attempt{backend: b, sentAt: l.now()}
	r.attempts = append(r.attempts, at)
	r.pending++
	if !may {
		l.finishAttempt(r, n, attemptResult{status: balance.StatusNotSent})
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
	at.call = l.upstream.start(b.process, &r.forwarded, begin, deadline, func(res attemptResult) {
		if !l.post(attemptFinished{request: r, attempt: n, result: res}) && res.stream != nil {
			res.stream.end(false)
		}
	})
}

// recordWritten takes in that the last byte of a streamed request has been written, and the deadline that follows from it.
func (l *eventLoop) recordWritten(r *request, deadline time.Time) {
	r.deadline = deadline
	if n := len(r.attempts) - 1; !r.answered && n >= 0 && !r.attempts[n].over {
		r.attempts[n].sentAt = l.now()
		l.handle(balance.RequestWritten{Request: r.id, Attempt: n, TimeLeft: max(time.Until(deadline), 0)})
	}
}

// finishAttempt tells the Balancer how an attempt ended, once. What comes after it was given up changes nothing.
func (l *eventLoop) finishAttempt(r *request, n int, res attemptResult) {
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
	l.guard.began(r, at, l.firstByteAt(at))
	r.pending--
	l.statistics.outcomes[res.status]++
	l.figures.attempts[res.status].Add(1)
	if res.status == balance.StatusSucceeded && !r.answered {
		r.answered = true
		l.statistics.answers[responseServed]++
		if l.onServed != nil {
			l.onServed(r, l.now()-at.sentAt)
		}
		if res.stream != nil && l.openStreams != nil {
			l.trackStream(at.backend.id, res.stream)
		}
		r.response <- finalResponse{kind: responseServed, body: res.body, contentType: res.contentType, stream: res.stream}
	}
	l.releaseRequest(r)
	l.handle(balance.AttemptEnded{
		Request: r.id, Attempt: n, Endpoint: at.backend.endpointID, Elapsed: l.now() - at.sentAt,
		Status: res.status, Final: r.answered, Load: res.load, NotReplayable: res.notReplayable,
	})
}

// firstByteAt is when the first byte of an attempt was about to go, on the loop's clock; 0: it never was.
func (l *eventLoop) firstByteAt(at *attempt) time.Duration {
	if at.call == nil {
		return 0
	}
	began := at.call.startedAt.Load()
	if began.IsZero() {
		return 0
	}
	return l.now() - time.Duration(monotime.Now()-began)
}

// trackStream counts an answer as open at its backend until all of it has been passed on.
func (l *eventLoop) trackStream(id string, s *stream) {
	l.openStreams[id]++
	end := s.end
	s.end = func(whole bool) {
		end(whole)
		l.post(responseStreamEnded{id})
	}
}

// cancelAttempt ends an attempt and its connection.
func (l *eventLoop) cancelAttempt(r *request, n int, st balance.Status) {
	at := r.attempts[n]
	if at.over {
		return
	}
	if at.call != nil {
		if at.call.cancelUnsent() {
			st = balance.StatusNotSent
		}
		at.call.cancel()
	}
	l.finishAttempt(r, n, attemptResult{status: st})
}

// respond gives a request its final answer. Nothing that was sent for it can be of use any more.
func (l *eventLoop) respond(r *request, a finalResponse) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	a.deadlineExceeded = !r.deadline.IsZero() && !time.Now().Before(r.deadline)
	l.statistics.answers[a.kind]++
	if a.deadlineExceeded {
		l.statistics.late++
	}
	l.unservedLog.Warn("request not served", "request", r.id, "class", r.class, "refused", a.kind == responseRejected, "late", a.deadlineExceeded,
		"attempts", len(r.attempts), "last", r.lastStatus(), "retry_in", a.retryAfter)
	r.response <- a
	st := balance.StatusCancelled
	if a.deadlineExceeded {
		st = balance.StatusTimedOut
	}
	l.cancelAttempts(r, st)
}

func (l *eventLoop) cancelAttempts(r *request, st balance.Status) {
	for n := range r.attempts {
		l.cancelAttempt(r, n, st)
	}
	l.releaseRequest(r)
}

// releaseRequest drops a request from the table once it is answered and nothing is out for it.
func (l *eventLoop) releaseRequest(r *request) {
	if r.answered && r.pending == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
	}
}

func (l *eventLoop) startHealthCheck(number balance.EndpointID) {
	b := l.backendFor(number)
	if b == nil {
		return
	}
	sent := l.now()
	if !b.available() {
		l.finishHealthCheck(number, sent, attemptResult{status: balance.StatusNotSent})
		return
	}
	l.statistics.probes++
	l.upstream.checkHealth(b.process, func(res attemptResult) {
		l.post(healthCheckFinished{endpoint: number, sent: sent, result: res})
	})
}

// finishHealthCheck notifies the Balancer of the result of a health check.
func (l *eventLoop) finishHealthCheck(number balance.EndpointID, sent time.Duration, res attemptResult) {
	l.handle(balance.HealthChecked{
		Endpoint: number,
		Elapsed:  l.now() - sent,
		Status:   res.status,
		Load:     res.load,
	})
}

// cancelUnsentAttempts stops attempts that have not begun to write to a backend that takes nothing new. Left alone, one that
// hangs in a dial would go out when the grace is long over.
func (l *eventLoop) cancelUnsentAttempts() {
	type one struct {
		r *request
		n int
	}
	var out []one
	for _, r := range l.requests {
		for n, at := range r.attempts {
			if !at.over && !at.backend.available() && at.call != nil && at.call.cancelUnsent() {
				out = append(out, one{r, n})
			}
		}
	}
	for _, o := range out {
		o.r.attempts[o.n].call.cancel()
		l.finishAttempt(o.r, o.n, attemptResult{status: balance.StatusNotSent})
	}
}
