package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file takes requests from their arrival to their final answer: holding, placing, sending, outcomes.

// request is one client request that this node has taken.
type request struct {
	id                string
	class             *Class
	stats             *classStats
	tenant            int
	workHint          time.Duration
	arrived           time.Duration
	deadline          time.Duration
	attempts          []attempt
	pendingAttempts   int
	probeBoundSeconds float64 // that of a scout when it was sent; 0 for others
	incomplete        bool    // it is still coming in
	notReplayable     bool    // it can't be sent again
	finished          bool    // the final answer is out
	streamStarted     bool    // the answer has started: it belongs to the client
}

// attempt is one copy of a request at a server.
type attempt struct {
	endpoint          *endpointState
	sentAt            time.Duration
	queueAtSend       float64 // the entry when it was sent
	waitAtSendSeconds float64 // and the time that it took to clear, seconds
	pending           bool
	mayHaveRun        bool // it may have run, or may still run
	lost              bool // it must be lost: it counts no more as out
	incomplete        bool // its last byte has not gone: it does not count as out yet
}

func (b *Balancer) onRequestArrived(ev *RequestArrived) {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) || b.requests[ev.Request] != nil {
		return
	}
	r := &request{
		id: ev.Request, class: &b.cfg.Classes[ev.Class], stats: &b.classes[ev.Class], tenant: ev.Tenant,
		workHint: ev.ExpectedWork, arrived: b.now, deadline: b.now + ev.TimeLeft,
	}
	b.requests[r.id] = r
	if r.incomplete = ev.Incomplete; r.incomplete {
		r.deadline = math.MaxInt64
	} else {
		// Every request is answered by its deadline, whatever becomes of its attempts.
		b.setTimer(ev.TimeLeft, timer{deadlineOf: r})
	}
	b.sendHealthChecks()
	b.meanPriority = cmp.Or(b.meanPriority, b.priority(r))
	b.meanPriority += prioritySampleWeight * (b.priority(r) - b.meanPriority)
	if b.checksAwaited > 0 {
		b.awaitingChecks = append(b.awaitingChecks, r)
		b.setTimer(min(time.Duration(maxHoldFraction*float64(r.class.LatencyObjective)), ev.TimeLeft), timer{holdOf: r})
		return
	}
	b.place(r)
}

// release places what was held. Where a node sees little traffic its entries are older than a queue, and only
// the probes of the tick tell anything: then the request waits for them, which takes one round trip.
func (b *Balancer) placeAwaiting() {
	held := slices.DeleteFunc(b.awaitingChecks, func(r *request) bool { return r.finished })
	b.awaitingChecks, b.checksAwaited = nil, 0
	for _, r := range held {
		b.place(r)
	}
}

// place sends a request on its way, or answers it when nothing more can be done.
func (b *Balancer) place(r *request) {
	// Retries without a budget multiply the load just when the servers are full.
	again := len(r.attempts) > 0
	spent := r.notReplayable || b.now >= r.deadline || len(r.attempts) >= b.cfg.Limits.MaxAttempts ||
		again && b.retryBudget < 1
	var s *endpointState
	if !spent {
		s = b.selectEndpoint(r, b.maxWaitSeconds(r))
	}
	if s == nil && !spent && !again {
		if b.rejectedSinceProbe++; b.rejectedSinceProbe >= b.probeAdmissionInterval {
			b.rejectedSinceProbe -= b.probeAdmissionInterval
			r.probeBoundSeconds = b.maxWaitSeconds(r)
			s = b.selectEndpoint(r, math.Inf(1)) // refusing keeps a node from the answers that would correct it
		}
	}
	if s == nil {
		b.endRequest(r)
		return
	}
	if again {
		b.retryBudget--
	} else {
		b.forwarded++
		b.retryBudget = min(b.retryBudget+retryBudgetPerRequest, maxRetryBudget)
		if left := b.remainingQuota(r); left != nil {
			*left = max(*left-1, 0)
		}
	}
	b.forward(r, s)
}

// pick returns the server of the smallest entry that may get the request, ties broken at random, or nil.
func (b *Balancer) selectEndpoint(r *request, bound float64) *endpointState {
	var best *endpointState
	least, ties := 0.0, 0
	for _, s := range b.usable {
		// An idle server makes nobody wait, however slow it has become.
		full := b.queueEstimate(s) > idleQueueEstimate && b.expectedWaitSeconds(s) > bound
		if b.slowStartFraction(s) < 1 {
			full = b.slowStartLatencySeconds(r, s) > slowStartObjectiveFraction*r.class.LatencyObjective.Seconds()
		}
		if full || r.attempted(s) || !b.repeatAllowed(r, s) || !b.slowStartAdmits(r, s) {
			continue
		}
		// Own attempts count twice: counted once, nothing keeps nodes from servers of their own.
		entry := b.costSeconds(s) + s.inFlight*b.serviceSeconds(s) - b.slowStartSurchargeSeconds(s)
		if best == nil || entry < least {
			best, least, ties = s, entry, 1
		} else if entry == least {
			if ties++; b.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (r *request) attempted(s *endpointState) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == s })
}

func (b *Balancer) forward(r *request, s *endpointState) {
	met := b.queueEstimate(s)
	r.attempts = append(r.attempts, attempt{
		endpoint: s, sentAt: b.now, queueAtSend: met, waitAtSendSeconds: met * b.serviceSeconds(s), pending: true, mayHaveRun: true})
	s.slowStartCreditSeconds -= b.workSeconds(r)
	r.pendingAttempts++
	n := len(r.attempts) - 1
	act := Action{Kind: Forward, Request: r.id, Endpoint: s.ID, Attempt: n}
	if first := r.firstPossibleRun(); r.class.Repeatability == IdempotencyKey && first != &r.attempts[n] {
		act.StartWithin = first.sentAt + r.class.KeyWindow - b.now // a connection may take long to come up
	}
	b.emit(act)
	if r.attempts[n].incomplete = r.incomplete; !r.incomplete {
		b.countInFlight(r)
	}
}

func (b *Balancer) onAttemptEnded(ev *AttemptEnded) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].pending {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.pending, a.mayHaveRun = false, !ev.Status.NeverRan()
	r.pendingAttempts--
	if !a.lost && !a.incomplete {
		a.endpoint.inFlight--
	}
	r.notReplayable = r.notReplayable || ev.NotReplayable
	b.keepQueuePlace(a, ev)
	// A time-out at a server that gave no sign in the meantime tells of that server, not of crowding, and so
	// does one that no queue accounts for.
	if !a.incomplete && (ev.Status != StatusTimedOut || a.endpoint.silentSince > a.sentAt && !b.isLost(a, ev.Elapsed) && !a.lost) {
		b.adjustQueueBudget(ev.Status, b.now-r.arrived-r.class.LatencyObjective, a.waitAtSendSeconds)
	}
	b.recordProbeAdmission(r, ev)
	b.recordOutcome(a.endpoint, ev.Status, a, ev.Elapsed)
	b.updateOutlier(a.endpoint)
	b.handleLoadReport(a.endpoint, ev.Load)
	if ev.Status == StatusSucceeded && !a.incomplete {
		b.learnUnloadedLatency(r, a, ev.Elapsed.Seconds())
		a.endpoint.servedWorkSeconds += b.workSeconds(r)
		b.learnServiceTime(a.endpoint, r, a, ev.Elapsed)
	}
	r.finished = r.finished || ev.Final
	switch {
	case r.finished:
		b.forget(r)
	case r.streamStarted: // the client has the stream; nothing more is owed
	case r.pendingAttempts == 0:
		b.place(r)
	}
}

// leavePlace keeps the increment of an attempt that has ended where its server may still have it, or has not accepted it, until a
// report or until that fades.
func (b *Balancer) keepQueuePlace(a *attempt, ev *AttemptEnded) {
	gaveUp := ev.Status == StatusTimedOut || ev.Status == StatusCancelled
	switch {
	case ev.Status == StatusSucceeded, ev.Status == StatusNotSent:
	case gaveUp && !a.lost && !b.isLost(a, ev.Elapsed):
		a.endpoint.abandoned++ // its work may still stand in the queue there
	default:
		a.endpoint.unaccepted++ // not accepted, or lost: else a server that fails fast looks idle
	}
}

// answer gives the final answer that the rules allow: a refusal where trying again is harmless.
func (b *Balancer) endRequest(r *request) {
	if r.finished {
		return
	}
	kind := Fail
	if b.rejectAllowed(r) {
		kind = Reject
	}
	b.emit(Action{Kind: kind, Request: r.id, RetryAfter: b.retryAfter()})
	b.forget(r)
}

// end marks a request as over and forgets it once its last attempt is back.
func (b *Balancer) forget(r *request) {
	r.finished = true
	if r.pendingAttempts == 0 {
		delete(b.requests, r.id)
	}
}
