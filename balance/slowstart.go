package balance

import "math"

// An endpoint that has just started has a fraction of its capacity, and more than OverloadMultiple times that for an
// OverloadWindow brings it down. This file bounds what all nodes together send to it: in each window a node grants it
//
//	slowStartMargin * OverloadMultiple * slow start fraction * warm throughput of this node * OverloadWindow
//
// seconds of work. In one window the nodes' warm throughputs add up to what one warm endpoint can do at most, whatever
// part of the traffic each node has. Each node counts at least 1/Instances, one second a second over all nodes, and a
// peak that fades by warmThroughputDecay a window, so the sum may exceed what the endpoint did in the last window:
// slowStartMargin has to cover both. A grant is a number of requests of the mean unloaded latency, rounded up or
// down at random. A start, like the end of a cordon, grants once at once, and the next window's end grants again.

const (
	// slowStartMargin is the fraction of the site's overload bound that is granted: the rest is for uneven work.
	slowStartMargin = 0.3
	// slowStartObjectiveFraction is the fraction of the latency objective within which an endpoint in slow start
	// must be able to answer what is sent to it.
	slowStartObjectiveFraction = 0.5
	// warmThroughputDecay is the factor by which an old peak of the warm throughput fades, a window.
	warmThroughputDecay = 0.9
	// minSlowStartFraction: work is divided by the fraction.
	minSlowStartFraction = 0.01
	// minCreditUnitSeconds: credit is counted in requests of the mean unloaded latency.
	minCreditUnitSeconds = 1e-6
)

// slowStart is what a node may send to an endpoint in slow start.
type slowStart struct {
	// warmThroughput is the work, in seconds a second, that one warm endpoint does for this node, the highest of the
	// last windows, faded.
	warmThroughput float64
	// handedOver is set while another process of this node takes new requests: this one gets no credit.
	handedOver bool
}

// endWindow learns from the mean work that warm endpoints did in a window, in seconds a second.
func (s *slowStart) endWindow(throughput mean) {
	if throughput.count > 0 {
		s.warmThroughput = max(s.warmThroughput*warmThroughputDecay, throughput.value())
	}
}

// slowStartFraction is the fraction of its capacity that an endpoint surely has by now: 1 once it is warm, and never 0.
func (b *Balancer) slowStartFraction(e *endpointState) float64 {
	started, rules := b.effectiveStartTime(e), &b.cfg.Rules
	age := b.now - started
	if started == 0 || age >= rules.SlowStartDuration {
		return 1
	}
	progress := max(0, age.Seconds()) / rules.SlowStartDuration.Seconds()
	return max(rules.SlowStartFraction+(1-rules.SlowStartFraction)*progress, minSlowStartFraction)
}

func (b *Balancer) isWarm(e *endpointState) bool { return b.slowStartFraction(e) == 1 }

// slowStartLatencySeconds is how long an endpoint in slow start would take for a request, behind what is known to be
// there. Of other nodes' load that is the fresh part of the last report, and not the expected load: what other nodes
// send is bounded as this node's own is.
func (b *Balancer) slowStartLatencySeconds(r *request, e *endpointState) float64 {
	reported := e.reportedLoad * b.reportWeight(e, b.expectedLoad(e))
	queue := e.inFlight + e.unaccepted + e.abandoned + reported
	return (b.workSeconds(r) + queue*b.warmServiceSeconds(e)) / b.slowStartFraction(e)
}

// slowStartSurchargeSeconds is the part of an endpoint's cost that it has for slow start. Selection takes it off: what
// is granted is little and is answered in time, and without it the endpoint would get no work at all.
func (b *Balancer) slowStartSurchargeSeconds(e *endpointState) float64 {
	return (1 - b.slowStartFraction(e)) * (b.queueEstimate(e) + 1) * b.serviceSeconds(e)
}

// grantSlowStartCredit sets the work that an endpoint in slow start may get in the window that begins: this node's
// part of what a warm endpoint does, or of one request at a time. In a large fleet that is less than one request, and
// one from each node would bring the endpoint down: then it is one by chance.
func (b *Balancer) grantSlowStartCredit(e *endpointState) {
	if b.isWarm(e) {
		return
	}
	if b.slowStart.handedOver {
		e.dropSlowStartCredit()
		return
	}
	rules := &b.cfg.Rules
	unit := max(b.latency.meanUnloadedSeconds(), minCreditUnitSeconds)
	throughput := max(b.slowStart.warmThroughput, 1/float64(b.cfg.Instances))
	units := slowStartMargin * rules.OverloadMultiple * b.slowStartFraction(e) * throughput *
		rules.OverloadWindow.Seconds() / unit
	e.dropSlowStartCredit()
	e.slowStartCreditSeconds += unit * math.Floor(units+b.rng.Float64())
}

// dropSlowStartCredit takes back the credit that was not used; what was overdrawn stays owed.
func (e *endpointState) dropSlowStartCredit() {
	e.slowStartCreditSeconds = min(e.slowStartCreditSeconds, 0)
}

// slowStartAdmits reports whether an endpoint is warm, or has credit for most of the request: two heavy requests on
// what remains of two windows' credits would be as much as two windows may get.
func (b *Balancer) slowStartAdmits(r *request, e *endpointState) bool {
	return b.isWarm(e) || e.slowStartCreditSeconds > b.workSeconds(r)/2
}
