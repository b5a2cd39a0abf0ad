package node

import (
	"time"

	"hitchvale/balance"
)

// request is a client's request: what came in, and, for the loop alone, where it stands.
type request struct {
	id            string
	class         int
	tenant        int
	routingKey    uint64
	hasRoutingKey bool
	expectedWork  time.Duration
	clientRetry   bool
	deadline      time.Time
	forwarded     forwardedRequest
	bodyBytes     int64              // of the budget of bodies, by its own
	response      chan finalResponse // takes the one final answer

	attempts       []*attempt
	pending        int
	answered       bool
	disconnectedAt time.Duration // when its client was heard to have gone; 0: it has not
}

// lastStatus names how the last attempt ended; "" where there was none, or it is still out.
func (r *request) lastStatus() string {
	if n := len(r.attempts); n > 0 && r.attempts[n-1].over {
		return statusNames[r.attempts[n-1].status]
	}
	return ""
}

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

// recordWritten takes in that the last byte of a streamed request has been written, and the deadline that follows from it.
func (l *eventLoop) recordWritten(r *request, deadline time.Time) {
	r.deadline = deadline
	if n := len(r.attempts) - 1; !r.answered && n >= 0 && !r.attempts[n].over {
		r.attempts[n].sentAt = l.now()
		l.handle(balance.RequestWritten{Request: r.id, Attempt: n, TimeLeft: max(time.Until(deadline), 0)})
	}
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

// releaseRequest drops a request from the table once it is answered and nothing is out for it.
func (l *eventLoop) releaseRequest(r *request) {
	if r.answered && r.pending == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
	}
}
