package balance

import "math"

// This file decides on servers that have just started: what they can do, and what this node may send them.

// warmth returns the part of its capacity that a server surely has by now; never nothing, as work is divided by it.
func (b *Balancer) slowStartFraction(s *endpointState) float64 {
	launched, rules := b.startedAt(s), &b.cfg.Rules
	age := b.now - launched
	if launched == 0 || age >= rules.SlowStartDuration {
		return 1
	}
	return max(rules.SlowStartFraction+(1-rules.SlowStartFraction)*max(0, age.Seconds())/rules.SlowStartDuration.Seconds(), 0.01)
}

// coldTime is how long a cold server would take for a request, behind what is known to be there. Of others
// that is what was told lately, and not the usual: what they send is bounded like this node's own.
func (b *Balancer) slowStartLatencySeconds(r *request, s *endpointState) float64 {
	queue := s.inFlight + s.unaccepted + s.abandoned + s.reportedLoad*b.reportWeight(s, b.expectedLoad(s))
	return (b.workSeconds(r) + queue*b.warmServiceSeconds(s)) / b.slowStartFraction(s)
}

// coldExtra is the part of a cold server's cost that it has for being cold. It does not count in the choice:
// what is granted is little, is answered in time, and the server would stay cold without.
func (b *Balancer) slowStartSurchargeSeconds(s *endpointState) float64 {
	return (1 - b.slowStartFraction(s)) * (b.queueEstimate(s) + 1) * b.serviceSeconds(s)
}

// grantCold guards against pushing over a server that has just started: for each window it grants this node's
// part of what warm servers do, or of one request at a time. In a large fleet that is less than one request,
// and one from each node would push the server over: then it is one by chance.
func (b *Balancer) grantSlowStartCredit(s *endpointState) {
	if b.slowStartFraction(s) == 1 {
		return
	}
	if b.handedOver {
		s.slowStartCreditSeconds = min(s.slowStartCreditSeconds, 0)
		return
	}
	rules, unit := &b.cfg.Rules, max(b.meanUnloadedSeconds(), 1e-6)
	rate := max(b.warmThroughput, 1/float64(b.cfg.Instances))
	units := slowStartMargin * rules.OverloadMultiple * b.slowStartFraction(s) * rate * rules.OverloadWindow.Seconds() / unit
	s.slowStartCreditSeconds = min(s.slowStartCreditSeconds, 0) + unit*math.Floor(units+b.rng.Float64())
}

// coldAllows tells whether a server is warm, or has grant left for most of the request: two heavy ones on the
// rests of two grants would be as much as two windows may hold.
func (b *Balancer) slowStartAdmits(r *request, s *endpointState) bool {
	return b.slowStartFraction(s) == 1 || s.slowStartCreditSeconds > b.workSeconds(r)/2
}

// onHandoverChanged takes in that another process of this node takes new requests from now on, or no longer.
func (b *Balancer) onHandoverChanged(handedOver bool) {
	b.handedOver = handedOver
	b.dropSlowStartCredits()
	if handedOver {
		b.retryBudget /= 2 // the other half has gone with the HandoverState
	}
}

// onTookOver takes in that this process takes what came to another one of this node until now.
func (b *Balancer) onTookOver(state *HandoverState) {
	b.handedOver = false
	b.dropSlowStartCredits()
	b.restore(state)
}

// splitGrants drops what is left of this process's grants to cold servers and begins a window. Two processes are one node
// to a cold server: the new one has what is left of the old one's grants, or where it is not told nothing while the
// window of the last one lasts, and the old one has nothing more.
func (b *Balancer) dropSlowStartCredits() {
	b.windowStart = b.now
	for _, s := range b.endpoints {
		s.slowStartCreditSeconds = min(s.slowStartCreditSeconds, 0)
	}
}
