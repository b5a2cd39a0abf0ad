package balance

import (
	"math"
	"time"
)

// request is one client request that this node has taken. Its life: it arrives, may wait for health checks, is placed
// (forwarded, rejected or failed), and after each attempt that fails is placed again. It is finished with its final
// answer, and forgotten once its last attempt has ended too.
//
// Invariants: pendingAttempts counts the pending attempts; Balancer.requests has each request that is not finished or
// has a pending attempt.
type request struct {
	id                string
	class             *Class
	stats             *classStats
	tenant            int
	workHint          time.Duration // 0: none
	arrived           time.Duration
	deadline          time.Duration
	attempts          []attempt
	pendingAttempts   int
	probeBoundSeconds float64 // the bound on its wait when it was a probe admission; 0 for others
	incomplete        bool    // its body is still coming in
	notReplayable     bool    // what came of its body is used up
	finished          bool    // the final answer is out, or the client has disconnected
	streamStarted     bool    // the answer has begun to reach the client
}

// attempt is one forwarding of a request to an endpoint.
type attempt struct {
	endpoint          *endpointState
	sentAt            time.Duration // for an incomplete request: when its last byte had been sent
	queueAtSend       float64       // the endpoint's queue estimate then
	waitAtSendSeconds float64       // and the time that it took to clear
	pending           bool
	mayHaveRun        bool // it may have run, or may still run
	lost              bool // it must be lost, and does not count as in flight
	incomplete        bool // its last byte has not been sent, and it does not count as in flight yet
}

func (r *request) lastAttempt() *attempt { return &r.attempts[len(r.attempts)-1] }

// pendingAttempt returns attempt n, or nil where there is none or it has ended.
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
		incomplete: ev.Incomplete,
	}
	b.requests[r.id] = r
	if r.incomplete {
		r.deadline = math.MaxInt64
	} else {
		// Every request is answered by its deadline, whatever becomes of its attempts.
		b.setTimer(ev.TimeLeft, timer{kind: requestDeadline, request: r})
	}
	b.sendHealthChecks()
	b.updateMeanPriority(r)
	if !b.awaitChecks(r, ev.TimeLeft) {
		b.place(r)
	}
}

// place forwards a request, or gives its final answer where no attempt is possible.
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

// nextEndpoint returns the endpoint for the next attempt of a request, or nil. A first attempt that no endpoint is good
// enough for may be a probe admission, with no bound on its wait.
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
		incomplete:        r.incomplete,
	})
	e.slowStartCreditSeconds -= b.workSeconds(r)
	r.pendingAttempts++
	b.emit(forward(r.id, e.ID, len(r.attempts)-1, b.startWithin(r)))
	if !r.incomplete {
		b.countInFlight(r)
	}
}

// onRequestWritten starts the time of an incomplete request: its last byte has been sent. Endpoints start a request
// when its last byte has come. Before that it takes no place in the queue, and how long its client takes says nothing
// about the endpoint.
func (b *Balancer) onRequestWritten(ev *RequestWritten) {
	r := b.requests[ev.Request]
	if r == nil || !r.incomplete || ev.Attempt != len(r.attempts)-1 || r.pendingAttempt(ev.Attempt) == nil {
		return
	}
	r.incomplete = false
	r.notReplayable = true
	r.arrived = b.now
	r.deadline = b.now + ev.TimeLeft
	b.setTimer(ev.TimeLeft, timer{kind: requestDeadline, request: r})
	a := r.lastAttempt()
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

// onAttemptEnded handles the end of an attempt, and places its request again where the client still waits.
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
	case r.streamStarted: // the client has the stream, and nothing more is owed
	case r.pendingAttempts == 0:
		b.place(r)
	}
}

// learnFrom updates the state of the attempt's endpoint, and the estimates, by how the attempt ended.
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

// endRequest gives the final answer that the rules allow: a rejection where trying again is harmless, else a failure.
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

// finish marks a request as over, and forgets it once its last attempt has ended.
func (b *Balancer) finish(r *request) {
	r.finished = true
	if r.pendingAttempts == 0 {
		delete(b.requests, r.id)
	}
}
