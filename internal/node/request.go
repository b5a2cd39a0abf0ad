package node

import (
	"time"

	"hitchvale/balance"
)

// request is a client's request. The client side sets the fields up to response. The fields from state on belong to the
// event loop.
type request struct {
	id            string
	class         int    // index of the class in the settings
	tenant        int    // index of the tenant in the settings
	routingKey    uint64 // valid if hasRoutingKey is set
	hasRoutingKey bool
	expectedWork  time.Duration
	clientRetry   bool      // the client has sent the request before
	startedAt     time.Time // when the first byte of the request arrived
	deadline      time.Time // zero until the last byte of a streamed request has reached this machine
	forwarded     forwardedRequest
	bodyBytes     int64              // how much of the memory for bodies the body occupies
	response      chan finalResponse // buffered; the event loop sends the one final response on it

	state          requestState
	attempts       []*attempt
	disconnectedAt time.Duration // when the client's disconnect was noticed, on the loop's clock; 0: not disconnected
}

// isOpen reports whether the request still waits for its final response.
func (r *request) isOpen() bool { return r.state == requestOpen }

// apply makes the state transition for an event. It returns false if the current state has no transition for the event.
func (r *request) apply(event requestEvent) bool {
	state, ok := r.state.next(event)
	r.state = state
	return ok
}

// inFlight reports whether any attempt of the request has not ended.
func (r *request) inFlight() bool {
	for _, a := range r.attempts {
		if !a.ended() {
			return true
		}
	}
	return false
}

// lastStatus returns the name of the status of the last attempt; "" if there was no attempt or the last is in flight.
func (r *request) lastStatus() string {
	if n := len(r.attempts); n > 0 && r.attempts[n-1].ended() {
		return statusNames[r.attempts[n-1].status]
	}
	return ""
}

// startRequest passes a request to the Balancer. A request whose id is already in the table is rejected, because a
// backend could not tell the two requests apart. So is a request that may have run before and must not run twice.
func (l *eventLoop) startRequest(r *request) {
	if l.requests[r.id] != nil || l.hasBegunBefore(r) {
		l.counters.repeated.Add(1)
		l.repeatedRequestLog.Warn("request not run again, another one with its id is in progress or may have run",
			"request", r.id, "class", r.class, "in_progress", l.requests[r.id] != nil)
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
			l.post(requestWritten{request: r})
			return r.forwarded.upload.arrival.deadline()
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

// recordReceived records that the last byte of a streamed request has reached this machine, and the deadline that
// starts with this byte.
func (l *eventLoop) recordReceived(r *request, deadline time.Time) {
	if l.requests[r.id] != r || !r.isOpen() {
		return
	}
	r.deadline = deadline
	l.handle(balance.RequestReceived{Request: r.id, TimeLeft: max(time.Until(deadline), 0)})
}

// recordWritten records that the last byte of a streamed request has been written to its backend.
func (l *eventLoop) recordWritten(r *request) {
	last := len(r.attempts) - 1
	if !r.isOpen() || last < 0 || r.attempts[last].ended() {
		return
	}
	r.attempts[last].sentAt = l.now()
	l.handle(balance.RequestWritten{Request: r.id, Attempt: last})
}

// disconnectClient ends a request whose client has closed the connection, and cancels the attempts of the request.
func (l *eventLoop) disconnectClient(r *request) {
	select {
	case unread := <-r.response:
		unread.discard()
	default:
	}
	if l.requests[r.id] != r || !r.apply(clientClosed) {
		return
	}
	r.disconnectedAt = l.now()
	l.statistics.disconnected++
	l.handle(balance.ClientDisconnected{Request: r.id})
	l.cancelAttempts(r, balance.StatusCancelled)
}

// respond gives an open request a final response that does not come from a backend, and cancels the attempts of the
// request.
func (l *eventLoop) respond(r *request, response finalResponse) {
	if r == nil || !r.apply(finalResponseGiven) {
		return
	}
	response.deadlineExceeded = !r.deadline.IsZero() && !time.Now().Before(r.deadline)
	l.statistics.responses[response.kind]++
	if response.deadlineExceeded {
		l.statistics.deadlineExceeded++
	}
	l.unservedRequestLog.Warn("request not served, sending an error response", "request", r.id, "class", r.class,
		"rejected", response.kind == responseRejected, "deadline_exceeded", response.deadlineExceeded,
		"attempts", len(r.attempts), "last_status", r.lastStatus(), "retry_after", response.retryAfter)
	r.response <- response
	status := balance.StatusCancelled
	if response.deadlineExceeded {
		status = balance.StatusTimedOut
	}
	l.cancelAttempts(r, status)
}

// releaseRequest removes a request from the table if the request is over and none of its attempts is in flight.
func (l *eventLoop) releaseRequest(r *request) {
	if !r.inFlight() && r.apply(noAttemptInFlight) {
		delete(l.requests, r.id)
		l.forgetIfNeverRan(r)
	}
}
