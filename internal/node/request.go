package node

import (
	"time"

	"hitchvale/balance"
)

// request is a client's request. The client side fills in what the client sent; the fields from attempts on belong to
// the event loop.
type request struct {
	id            string
	class         int    // by its number in the settings
	tenant        int    // likewise
	routingKey    uint64 // where hasRoutingKey
	hasRoutingKey bool
	expectedWork  time.Duration
	clientRetry   bool      // the client has sent it before
	deadline      time.Time // zero while the body of a streamed request is still coming in
	forwarded     forwardedRequest
	bodyBytes     int64              // what its body takes of the memory for bodies
	response      chan finalResponse // buffered; receives the one final response

	state          requestState
	attempts       []*attempt
	disconnectedAt time.Duration // when the client's close was noticed, on the loop's clock; 0: never
}

// isOpen says whether the request still waits for its final response.
func (r *request) isOpen() bool { return r.state == requestOpen }

// apply makes the transition of an event, and returns false if there is none from the current state.
func (r *request) apply(event requestEvent) bool {
	state, ok := r.state.next(event)
	r.state = state
	return ok
}

// inFlight says whether an attempt of the request has not ended.
func (r *request) inFlight() bool {
	for _, a := range r.attempts {
		if !a.ended() {
			return true
		}
	}
	return false
}

// lastStatus names how the last attempt ended; "" where there was none, or it is in flight.
func (r *request) lastStatus() string {
	if n := len(r.attempts); n > 0 && r.attempts[n-1].ended() {
		return statusNames[r.attempts[n-1].status]
	}
	return ""
}

// startRequest gives a request to the Balancer. One whose id is in use already is rejected: a backend could not tell
// the two apart.
func (l *eventLoop) startRequest(r *request) {
	if l.requests[r.id] != nil {
		r.response <- finalResponse{kind: responseDuplicate}
		return
	}
	l.requests[r.id] = r
	l.statistics.arrived++
	streamed := r.forwarded.upload != nil
	timeLeft := max(time.Until(r.deadline), 0)
	if streamed {
		timeLeft = r.forwarded.timeLeft
		r.forwarded.onWritten = func() time.Time {
			deadline := l.shutdown.capDeadline(time.Now().Add(r.forwarded.timeLeft))
			l.post(requestWritten{request: r, deadline: deadline})
			return deadline
		}
	}
	l.handle(balance.RequestArrived{
		Request:       r.id,
		Class:         r.class,
		Tenant:        r.tenant,
		RoutingKey:    r.routingKey,
		HasRoutingKey: r.hasRoutingKey,
		TimeLeft:      timeLeft,
		ExpectedWork:  r.expectedWork,
		ClientRetry:   r.clientRetry,
		Incomplete:    streamed,
	})
}

// recordWritten takes in that the last byte of a streamed request has been written, and the deadline that follows
// from it.
func (l *eventLoop) recordWritten(r *request, deadline time.Time) {
	r.deadline = deadline
	last := len(r.attempts) - 1
	if !r.isOpen() || last < 0 || r.attempts[last].ended() {
		return
	}
	r.attempts[last].sentAt = l.now()
	l.handle(balance.RequestWritten{
		Request:  r.id,
		Attempt:  last,
		TimeLeft: max(time.Until(deadline), 0),
	})
}

// disconnectClient ends a request whose client has closed its connection, and cancels its attempts.
func (l *eventLoop) disconnectClient(r *request) {
	select {
	case unread := <-r.response:
		if unread.stream != nil {
			unread.stream.release(false)
		}
	default:
	}
	if l.requests[r.id] != r || !r.apply(clientLeft) {
		return
	}
	r.disconnectedAt = l.now()
	l.statistics.disconnected++
	l.handle(balance.ClientDisconnected{Request: r.id})
	l.cancelAttempts(r, balance.StatusCancelled)
}

// respond gives an open request a final response that does not come from a backend, and cancels its attempts.
func (l *eventLoop) respond(r *request, response finalResponse) {
	if r == nil || !r.apply(finalResponseGiven) {
		return
	}
	response.deadlineExceeded = !r.deadline.IsZero() && !time.Now().Before(r.deadline)
	l.statistics.responses[response.kind]++
	if response.deadlineExceeded {
		l.statistics.deadlineExceeded++
	}
	l.unservedRequestLog.Warn("request not served", "request", r.id, "class", r.class,
		"rejected", response.kind == responseRejected, "deadline_exceeded", response.deadlineExceeded,
		"attempts", len(r.attempts), "last_status", r.lastStatus(), "retry_after", response.retryAfter)
	r.response <- response
	status := balance.StatusCancelled
	if response.deadlineExceeded {
		status = balance.StatusTimedOut
	}
	l.cancelAttempts(r, status)
}

// releaseRequest removes a request from the table once it is over and none of its attempts is in flight.
func (l *eventLoop) releaseRequest(r *request) {
	if !r.inFlight() && r.apply(noneInFlight) {
		delete(l.requests, r.id)
	}
}
