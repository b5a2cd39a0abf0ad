package balance

import (
	"math"
	"time"
)

// request is one client request that this node has accepted. After its arrival it may wait for health checks. Then it
// is placed: forwarded, rejected or failed. After each failed attempt it is placed again. It is finished when it has
// its final answer, and it is forgotten when its last attempt has ended too.
//
// Invariants: pendingAttempts counts the pending attempts; Balancer.requests has each request that is not finished or
// has a pending attempt.
type request struct {
	id                string
	class             *Class
	stats             *classStats
	tenant            int
	workHint          time.Duration // expected work; 0: unknown
	arrived           time.Duration // for a streamed request: when its last byte was sent
	deadline          time.Duration
	attempts          []attempt
	pendingAttempts   int
	probeBoundSeconds float64 // of a probe admission: the bound on its wait; 0 for other requests
	streamed          bool    // it is forwarded while its body is being received
	incomplete        bool    // the last byte of its body has not reached this node's machine
	notReplayable     bool    // the received part of its body has been consumed
	finished          bool    // it has its final answer, or the client has disconnected
	streamStarted     bool    // the first part of the answer has reached the client
}

// attempt is one forwarding of a request to an endpoint.
type attempt struct {
	endpoint          *endpointState
	sentAt            time.Duration // for an incomplete request: when its last byte was sent
	queueAtSend       float64       // the endpoint's queue estimate at sentAt
	waitAtSendSeconds float64       // the time that the endpoint needs to clear that queue
	pending           bool
	mayHaveRun        bool // it may have run or may still run
	lost              bool // it counts as lost, and no longer as in flight
	incomplete        bool // its last byte has not been sent, so it does not count as in flight yet
}

func (r *request) lastAttempt() *attempt { return &r.attempts[len(r.attempts)-1] }

// pendingAttempt returns attempt n, or nil if the request has no attempt n or that attempt has ended.
func (r *request) pendingAttempt(n int) *attempt {
	if n < 0 || n >= len(r.attempts) || !r.attempts[n].pending {
		return nil
	}
	return &r.attempts[n]
}

func (b *Balancer) onRequestArrived(ev *RequestArrived) {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) || b.requests[ev.Request] != nil {
		return
	}
	r := &request{
		id:         ev.Request,
		class:      &b.cfg.Classes[ev.Class],
		stats:      &b.latency.classes[ev.Class],
		tenant:     ev.Tenant,
		workHint:   ev.ExpectedWork,
		arrived:    b.now,
		deadline:   b.now + ev.TimeLeft,
		streamed:   ev.Incomplete,
		incomplete: ev.Incomplete,
	}
	b.requests[r.id] = r
	if r.incomplete {
		r.deadline = math.MaxInt64
	} else {
		// Every request gets its final answer by its deadline, regardless of how its attempts end.
		b.setTimer(ev.TimeLeft, timer{kind: requestDeadline, request: r})
	}
	b.sendHealthChecks()
	b.updateMeanPriority(r)
	if !b.awaitChecks(r, ev.TimeLeft) {
		b.place(r)
	}
}

// place forwards a request, or gives its final answer if no attempt is possible.
func (b *Balancer) place(r *request) {
	e := b.nextEndpoint(r)
	if e == nil {
		b.endRequest(r)
		return
	}
	if len(r.attempts) > 0 {
		b.retryBudget.spend()
	} else {
		b.subset.forwarded++
		b.retryBudget.earn()
		b.spendQuota(r)
	}
	b.forward(r, e)
}

// nextEndpoint returns the endpoint for the next attempt of a request, or nil if no attempt is possible. If no endpoint
// can take the first attempt, the request may become a probe admission, which has no bound on its wait.
func (b *Balancer) nextEndpoint(r *request) *endpointState {
	if !b.attemptAllowed(r) {
		return nil
	}
	e := b.selectEndpoint(r, b.maxWaitSeconds(r))
	if e == nil && len(r.attempts) == 0 && b.probeAdmission.admit() {
		r.probeBoundSeconds = b.maxWaitSeconds(r)
		e = b.selectEndpoint(r, math.Inf(1))
	}
	return e
}

// forward sends the next attempt of a request to an endpoint.
func (b *Balancer) forward(r *request, e *endpointState) {
	queue := b.queueEstimate(e)
	r.attempts = append(r.attempts, attempt{
		endpoint:          e,
		sentAt:            b.now,
		queueAtSend:       queue,
		waitAtSendSeconds: queue * b.serviceSeconds(e),
		pending:           true,
		mayHaveRun:        true,
		incomplete:        r.streamed,
	})
	e.slowStartCreditSeconds -= b.workSeconds(r)
	r.pendingAttempts++
	b.emit(forward(r.id, e.ID, len(r.attempts)-1, b.startWithin(r)))
	if !r.streamed {
		b.countInFlight(r)
	}
}

// onRequestReceived handles that the last byte of an incomplete request has reached this node's machine, and starts
// its deadline. The deadline does not depend on the endpoint, which may take the body slowly or not at all.
func (b *Balancer) onRequestReceived(ev *RequestReceived) {
	r := b.requests[ev.Request]
	if r == nil || !r.incomplete {
		return
	}
	r.incomplete = false
	r.deadline = b.now + ev.TimeLeft
	b.setTimer(ev.TimeLeft, timer{kind: requestDeadline, request: r})
}

// onRequestWritten handles that the last byte of an incomplete request has been sent. An endpoint starts a request when
// it has received the last byte. Until then the request is not in the endpoint's queue, and neither the time that the
// client needs to send it nor the time in which the endpoint takes it says anything about that queue.
func (b *Balancer) onRequestWritten(ev *RequestWritten) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt != len(r.attempts)-1 {
		return
	}
	a := r.pendingAttempt(ev.Attempt)
	if a == nil || !a.incomplete {
		return
	}
	r.notReplayable = true
	r.arrived = b.now
	a.incomplete = false
	a.sentAt = b.now
	a.queueAtSend = b.queueEstimate(a.endpoint)
	a.waitAtSendSeconds = a.queueAtSend * b.serviceSeconds(a.endpoint)
	b.countInFlight(r)
}

func (b *Balancer) onStreamStarted(ev *StreamStarted) {
	if r := b.requests[ev.Request]; r != nil {
		r.streamStarted = true
	}
}

func (b *Balancer) onClientDisconnected(ev *ClientDisconnected) {
	if r := b.requests[ev.Request]; r != nil {
		b.finish(r)
	}
}

// onAttemptEnded handles the end of an attempt, and places its request again if the client still waits.
func (b *Balancer) onAttemptEnded(ev *AttemptEnded) {
	r := b.requests[ev.Request]
	if r == nil {
		return
	}
	a := r.pendingAttempt(ev.Attempt)
	if a == nil {
		return
	}
	a.pending = false
	a.mayHaveRun = !ev.Status.NeverRan()
	r.pendingAttempts--
	if !a.lost && !a.incomplete {
		a.endpoint.inFlight--
	}
	r.notReplayable = r.notReplayable || ev.NotReplayable
	b.learnFrom(r, a, ev)
	r.finished = r.finished || ev.Final
	switch {
	case r.finished:
		b.finish(r)
	case r.streamStarted: // the client has the stream, so no final answer is due
	case r.pendingAttempts == 0:
		b.place(r)
	}
}

// learnFrom updates the state of the attempt's endpoint and the node's estimates from the outcome of the attempt.
func (b *Balancer) learnFrom(r *request, a *attempt, ev *AttemptEnded) {
	e := a.endpoint
	b.countAbandonedOrUnaccepted(a, ev)
	if !a.incomplete && b.mayAdjustQueueBudget(a, ev) {
		b.adjustQueueBudget(ev.Status, b.now-r.arrived-r.class.LatencyObjective, a.waitAtSendSeconds)
	}
	b.recordProbeAdmission(r, ev)
	b.recordOutcome(e, ev.Status, a, ev.Elapsed)
	b.updateOutlier(e)
	b.handleLoadReport(e, ev.Load)
	if ev.Status == StatusSucceeded && !a.incomplete {
		r.stats.updateUnloadedLatency(a.queueAtSend, ev.Elapsed.Seconds(), r.workHint.Seconds())
		e.servedWorkSeconds += b.workSeconds(r)
		b.updateServiceTime(e, r, a, ev.Elapsed)
	}
}

// expire handles the deadline of a request. If the last byte of an attempt may not have been sent yet, the node ends
// the attempt first: only the status of the attempt tells whether the endpoint can have run the request.
func (b *Balancer) expire(r *request) {
	if r.finished || r.streamStarted {
		return
	}
	last := len(r.attempts) - 1
	if a := r.pendingAttempt(last); a != nil && a.incomplete {
		b.emit(cancelAttempt(r.id, last))
		return
	}
	b.endRequest(r)
}

// endRequest gives a request its final answer: a rejection if a retry by the client is safe, a failure otherwise.
func (b *Balancer) endRequest(r *request) {
	if r.finished {
		return
	}
	if b.rejectAllowed(r) {
		b.emit(reject(r.id, b.retryAfter()))
	} else {
		b.emit(fail(r.id))
	}
	b.finish(r)
}

// finish marks a request as finished, and forgets it if none of its attempts is pending.
func (b *Balancer) finish(r *request) {
	r.finished = true
	if r.pendingAttempts == 0 {
		delete(b.requests, r.id)
	}
}
