package balance

import "math"

// This file decides on servers that have just started: what they can do, and what this node may send them.

// warmth returns the part of its capacity that a server surely has by now; never nothing, as work is divided by it.
func (b *Balancer) warmth(s *server) float64 {
	launched, rules := b.launched(s), &b.cfg.Rules
	age := b.now - launched
	if launched == 0 || age >= rules.SlowStartDuration {
		return 1
	}
	return max(rules.SlowStartFraction+(1-rules.SlowStartFraction)*max(0, age.Seconds())/rules.SlowStartDuration.Seconds(), 0.01)
}

// coldTime is how long a cold server would take for a request, behind what is known to be there. Of others
// that is what was told lately, and not the usual: what they send is bounded like this node's own.
func (b *Balancer) coldTime(r *request, s *server) float64 {
	queue := s.out + s.stuck + s.left + s.told*b.fresh(s, b.usual(s))
	return (b.work(r) + queue*b.warmPace(s)) / b.warmth(s)
}

// coldExtra is the part of a cold server's cost that it has for being cold. It does not count in the choice:
// what is granted is little, is answered in time, and the server would stay cold without.
func (b *Balancer) coldExtra(s *server) float64 {
	return (1 - b.warmth(s)) * (b.entry(s) + 1) * b.pace(s)
}

// grantCold guards against pushing over a server that has just started: for each window it grants this node's
// part of what warm servers do, or of one request at a time. In a large fleet that is less than one request,
// and one from each node would push the server over: then it is one by chance.
func (b *Balancer) grantCold(s *server) {
	if b.warmth(s) == 1 {
		return
	}
	if b.handed {
		s.credit = min(s.credit, 0)
		return
	}
	rules, unit := &b.cfg.Rules, max(b.meanBase(), 1e-6)
	rate := max(b.warmRate, 1/float64(b.cfg.Instances))
	units := coldMargin * rules.OverloadMultiple * b.warmth(s) * rate * rules.OverloadWindow.Seconds() / unit
	s.credit = min(s.credit, 0) + unit*math.Floor(units+b.rng.Float64())
}

// coldAllows tells whether a server is warm, or has grant left for most of the request: two heavy ones on the
// rests of two grants would be as much as two windows may hold.
func (b *Balancer) coldAllows(r *request, s *server) bool {
	return b.warmth(s) == 1 || s.credit > b.work(r)/2
}

// onHandoverChanged takes in that another process of this node takes new requests from now on, or no longer.
func (b *Balancer) onHandoverChanged(handedOver bool) {
	b.handed = handedOver
	b.splitGrants()
	if handedOver {
		b.retries /= 2 // the other half has gone with the HandoverState
	}
}

// onTookOver takes in that this process takes what came to another one of this node until now.
func (b *Balancer) onTookOver(state *HandoverState) {
	b.handed = false
	b.splitGrants()
	b.restore(state)
}

// splitGrants drops what is left of this process's grants to cold servers and begins a window. Two processes are one node
// to a cold server: the new one has what is left of the old one's grants, or where it is not told nothing while the
// window of the last one lasts, and the old one has nothing more.
func (b *Balancer) splitGrants() {
	b.rolledAt = b.now
	for _, s := range b.servers {
		s.credit = min(s.credit, 0)
	}
}
