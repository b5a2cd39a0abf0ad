package balance

import (
	"slices"
	"time"
)

const (
	// retryBudgetPerRequest is what each request adds to the retry budget: one retry for ten requests.
	retryBudgetPerRequest = 0.1
	// maxRetryBudget is the largest number of retries that requests can save up.
	maxRetryBudget = 20.0
)

// retryBudget limits retries to a fraction of the requests. Without a limit, retries multiply the load exactly when the
// endpoints are full. Invariant: retries is at most maxRetryBudget, except for what a hand-over adds.
type retryBudget struct {
	retries float64 // number of retries that may be sent now
}

func (t *retryBudget) earn() { t.retries = min(t.retries+retryBudgetPerRequest, maxRetryBudget) }

func (t *retryBudget) allows() bool { return t.retries >= 1 }

func (t *retryBudget) spend() { t.retries-- }

// half is the part that a process hands over to its successor.
func (t *retryBudget) half() float64 { return t.retries / 2 }

// attemptAllowed reports whether another attempt of a request may be sent to any endpoint: its deadline has not passed,
// it can be replayed, it has attempts left, and a retry is within the budget.
func (b *Balancer) attemptAllowed(r *request) bool {
	if r.notReplayable || b.now >= r.deadline || len(r.attempts) >= b.cfg.Limits.MaxAttempts {
		return false
	}
	return len(r.attempts) == 0 || b.retryBudget.allows()
}

// firstPossibleRun returns the first attempt that may have run, or nil if no attempt may have run.
func (r *request) firstPossibleRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// attempted reports whether a request has already had an attempt at an endpoint. A retry goes to another endpoint.
func (r *request) attempted(e *endpointState) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// repeatAllowed reports whether another attempt may go to an endpoint without an effect happening twice: no attempt can
// have run yet, or the request is idempotent, or it has an idempotency key and the endpoint drops repeats of the first
// run.
func (b *Balancer) repeatAllowed(r *request, e *endpointState) bool {
	first := r.firstPossibleRun()
	if first == nil || r.class.Repeatability == Idempotent {
		return true
	}
	if r.class.Repeatability == NonIdempotent || b.now >= first.sentAt+r.class.KeyWindow {
		return false
	}
	return r.class.KeyScope == KeyScopeAll ||
		r.class.KeyScope == KeyScopeZone && e.Zone == first.endpoint.Zone ||
		r.class.KeyScope == KeyScopeCell && e.Cell == first.endpoint.Cell
}

// rejectAllowed reports whether a request may be rejected. A rejection promises the client that trying again is
// harmless.
func (b *Balancer) rejectAllowed(r *request) bool {
	first := r.firstPossibleRun()
	if first == nil || r.class.Repeatability == Idempotent {
		return true
	}
	return r.class.Repeatability == IdempotencyKey && r.class.KeyScope == KeyScopeAll &&
		b.now < first.sentAt+r.class.KeyWindow
}

// startWithin is the time within which the last attempt of a request has to start; 0 means any time. A retry with an
// idempotency key must run before the key expires, and its connection may take long to be established.
func (b *Balancer) startWithin(r *request) time.Duration {
	first := r.firstPossibleRun()
	if r.class.Repeatability != IdempotencyKey || first == &r.attempts[len(r.attempts)-1] {
		return 0
	}
	return first.sentAt + r.class.KeyWindow - b.now
}
