package node

import (
	"time"

	"hitchvale/balance"
	"hitchvale/internal/monotime"
)

// attempt is one attempt to get a response to a request from a backend. Its state is in call.lifecycle.
type attempt struct {
	call    upstreamCall
	backend *backend
	sentAt  time.Duration  // when the attempt started or its streamed request was fully written, on the loop's clock
	status  balance.Status // how the attempt ended; valid once ended returns true
}

// ended reports whether the result of the attempt has been recorded.
func (a *attempt) ended() bool { return a.call.lifecycle.current() == attemptEnded }

// startAttempt carries out the Balancer's decision to send a request to an endpoint. An attempt that the guard does not
// allow ends immediately with StatusNotSent.
func (l *eventLoop) startAttempt(action *balance.Action) {
	r := l.requests[action.Request]
	b := l.backendFor(action.Endpoint)
	if r == nil || b == nil {
		return
	}
	number := len(r.attempts)
	allowed := l.guard.maySend(r, b, l.now())
	l.statistics.attemptsStarted++
	a := &attempt{backend: b, sentAt: l.now()}
	r.attempts = append(r.attempts, a)
	if !allowed {
		l.finishAttempt(r, number, attemptResult{status: balance.StatusNotSent})
		return
	}
	l.recordBegun(r)
	if number > 0 {
		l.counters.retries.Add(1)
	}
	if action.StartWithin > 0 {
		a.call.startBy = time.Now().Add(action.StartWithin)
	}
	deadline := attemptDeadline(r.deadline, action.Timeout)
	l.upstream.start(&a.call, b.process, &r.forwarded, deadline, func(res attemptResult) {
		if !l.post(attemptFinished{request: r, attempt: number, result: res}) {
			res.discard()
		}
	})
}

// attemptDeadline returns the earlier of the request's deadline and the end of the attempt's own timeout. A timeout of
// 0 means no timeout. A zero deadline means that the request has no deadline yet, because the deadline of a streamed
// request is set when its last byte is written.
func attemptDeadline(deadline time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return deadline
	}
	limit := time.Now().Add(timeout)
	if deadline.IsZero() || limit.Before(deadline) {
		return limit
	}
	return deadline
}

// finishAttempt records the result of an attempt and notifies the Balancer. The first successful response to an open
// request becomes its final response. The result of an attempt that has already ended, for example by cancellation, is
// ignored.
func (l *eventLoop) finishAttempt(r *request, number int, res attemptResult) {
	a := r.attempts[number]
	deliver := !a.ended() && res.status == balance.StatusSucceeded && r.isOpen()
	if !deliver {
		res.discard()
	}
	if !a.call.lifecycle.apply(resultRecorded) {
		return
	}
	a.status = res.status
	l.guard.checkStart(r, a, l.firstByteAt(a))
	l.statistics.attempts[res.status]++
	l.counters.attempts[res.status].Add(1)
	if deliver {
		l.deliverResponse(r, a, res)
	}
	l.releaseRequest(r)
	l.handle(balance.AttemptEnded{
		Request:       r.id,
		Attempt:       number,
		Endpoint:      a.backend.endpointID,
		Elapsed:       l.now() - a.sentAt,
		Status:        res.status,
		Final:         !r.isOpen(),
		Load:          res.load,
		NotReplayable: res.notReplayable,
	})
}

// deliverResponse makes the response of a backend the final response to the request.
func (l *eventLoop) deliverResponse(r *request, a *attempt, res attemptResult) {
	r.apply(finalResponseGiven)
	l.statistics.responses[responseServed]++
	if l.onServed != nil {
		l.onServed(r, l.now()-a.sentAt)
	}
	if res.stream != nil && l.openResponseStreams != nil {
		l.trackStream(a.backend.id, res.stream)
	}
	r.response <- finalResponse{
		kind:        responseServed,
		body:        res.body,
		contentType: res.contentType,
		held:        res.held,
		stream:      res.stream,
	}
}

// firstByteAt returns when the first byte of an attempt was about to be written, on the loop's clock; 0 if no byte was
// about to be written.
func (l *eventLoop) firstByteAt(a *attempt) time.Duration {
	startedAt := a.call.startedAt.Load()
	if startedAt.IsZero() {
		return 0
	}
	return l.now() - time.Duration(monotime.Now()-startedAt)
}

// trackStream counts a streamed response as open at its backend until the stream is released.
func (l *eventLoop) trackStream(backendID string, s *responseStream) {
	l.openResponseStreams[backendID]++
	release := s.release
	s.release = func(complete bool) {
		release(complete)
		l.post(responseStreamEnded{backendID})
	}
}

// endAttempt carries out the Balancer's decision to end an attempt at the deadline of its request. The status says
// whether the backend can have run the request: not if the last byte had not been written.
func (l *eventLoop) endAttempt(r *request, number int) {
	a := r.attempts[number]
	status := balance.StatusTimedOut
	switch {
	case a.ended():
		return
	case a.call.cancelUnsent():
		status = balance.StatusNotSent
	case a.call.cancelUndelivered():
		status = balance.StatusNotDelivered
	}
	a.call.cancel()
	l.finishAttempt(r, number, attemptResult{status: status, notReplayable: r.forwarded.upload != nil})
}

// cancelAttempt ends an attempt and closes its connection. The attempt ends with the given status, or with
// StatusNotSent if none of its bytes had been written.
func (l *eventLoop) cancelAttempt(r *request, number int, status balance.Status) {
	a := r.attempts[number]
	if a.ended() {
		return
	}
	switch {
	case a.call.cancelUnsent():
		status = balance.StatusNotSent
	case r.forwarded.upload != nil:
		a.call.cancelUndelivered()
	}
	a.call.cancel()
	l.finishAttempt(r, number, attemptResult{status: status})
}

// cancelAttempts ends all attempts of a request that is over.
func (l *eventLoop) cancelAttempts(r *request, status balance.Status) {
	for number := range r.attempts {
		l.cancelAttempt(r, number, status)
	}
	l.releaseRequest(r)
}

// cancelUnsentAttempts ends the attempts to unavailable backends that have not begun to write. An attempt whose dial
// takes long could otherwise be written after the drain grace of the backend.
func (l *eventLoop) cancelUnsentAttempts() {
	type cancelled struct {
		request *request
		attempt int
	}
	var unsent []cancelled
	for _, r := range l.requests {
		for number, a := range r.attempts {
			if !a.backend.available() && a.call.cancelUnsent() {
				unsent = append(unsent, cancelled{r, number})
			}
		}
	}
	for _, c := range unsent {
		c.request.attempts[c.attempt].call.cancel()
		l.finishAttempt(c.request, c.attempt, attemptResult{status: balance.StatusNotSent})
	}
}
