package balance

import "slices"

// This file decides what may be repeated, and what may be refused, without an effect happening twice.

// firstRun returns the first attempt that may have run, or nil.
func (r *request) firstPossibleRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// mayGo tells whether another attempt may go to s without an effect happening twice.
func (b *Balancer) repeatAllowed(r *request, s *endpointState) bool {
	first := r.firstPossibleRun()
	if first == nil || r.class.Repeatability == Idempotent {
		return true
	}
	if r.class.Repeatability == NonIdempotent || b.now >= first.sentAt+r.class.KeyWindow {
		return false
	}
	return r.class.KeyScope == KeyScopeAll ||
		r.class.KeyScope == KeyScopeZone && s.Zone == first.endpoint.Zone ||
		r.class.KeyScope == KeyScopeCell && s.Cell == first.endpoint.Cell
}

// mayRefuse tells whether it is harmless for the client to try again.
func (b *Balancer) rejectAllowed(r *request) bool {
	first := r.firstPossibleRun()
	return first == nil || r.class.Repeatability == Idempotent ||
		r.class.Repeatability == IdempotencyKey && r.class.KeyScope == KeyScopeAll && b.now < first.sentAt+r.class.KeyWindow
}
