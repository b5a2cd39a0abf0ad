package node

import (
	"time"

	"hitchvale/balance"
	"hitchvale/internal/monotime"
)

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

func (l *eventLoop) cancelAttempts(r *request, st balance.Status) {
	for n := range r.attempts {
		l.cancelAttempt(r, n, st)
	}
	l.releaseRequest(r)
}

// attempt is one copy of a request on its way to a backend.
type attempt struct {
	call    *upstreamCall
	backend *backend
	sentAt  time.Duration
	over    bool // its outcome has been told
	// status is how it ended, where it is over.
	status balance.Status
}
