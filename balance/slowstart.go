package balance

import "math"

// An endpoint that has just started has only a fraction of its capacity. A load of more than OverloadMultiple times
// that fraction for an OverloadWindow makes it fail. This file bounds the work that all nodes together send to it: in
// each window a node grants it
//
//	slowStartMargin * OverloadMultiple * slow start fraction * warm throughput of this node * OverloadWindow
//
// seconds of work. In one window the nodes' warm throughputs add up to at most what one warm endpoint can do, whatever
// part of the traffic each node has. The sum may exceed what the endpoint did in the last window, for two reasons: each
// node counts at least 1/Instances, which is one second of work per second over all nodes, and each node counts a
// recent peak that decays by warmThroughputDecay a window. slowStartMargin has to cover both.
//
// A grant is a number of requests of the mean unloaded latency, rounded up or down at random. An endpoint gets a grant
// immediately when it starts or is uncordoned, and the next one at the end of the window.

const (
	// slowStartMargin is the fraction of the site's overload limit that is granted. The rest is a reserve for uneven
	// work.
	slowStartMargin = 0.3
	// slowStartObjectiveFraction bounds what an endpoint in slow start may get: the endpoint must be able to answer a
	// request within this fraction of the request's latency objective.
	slowStartObjectiveFraction = 0.5
	// warmThroughputDecay is the factor by which an old peak of the warm throughput falls in each window.
	warmThroughputDecay = 0.9
	// minSlowStartFraction is the least slow start fraction. Work is divided by the fraction.
	minSlowStartFraction = 0.01
	// minCreditUnitSeconds is the least unit of credit. The unit is the mean unloaded latency, and the work to grant is
	// divided by the unit.
	minCreditUnitSeconds = 1e-6
)

// slowStart is what a node needs to know to grant credit to endpoints in slow start.
type slowStart struct {
	// warmThroughput is the work that one warm endpoint does for this node, in seconds of work per second. It is the
	// highest value of the last windows, after decay.
	warmThroughput float64
	// handedOver is set while another process of this node takes new requests. This process then grants no credit.
	handedOver bool
}

// endWindow updates the warm throughput by the mean work that warm endpoints did in a window, in seconds of work per
// second.
func (s *slowStart) endWindow(throughput mean) {
	if throughput.count > 0 {
		s.warmThroughput = max(s.warmThroughput*warmThroughputDecay, throughput.value())
	}
}

// slowStartFraction is the fraction of its capacity that an endpoint has at least by now. It is 1 once the endpoint is
// warm, and never 0.
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

// slowStartLatencySeconds is the time in which an endpoint in slow start would answer a request, behind the requests
// that are known to be there. Of other nodes' load it counts only the fresh part of the last report and not the
// expected load, because what other nodes send is bounded in the same way.
func (b *Balancer) slowStartLatencySeconds(r *request, e *endpointState) float64 {
	reported := e.reportedLoad * b.reportWeight(e, b.expectedLoad(e))
	queue := e.inFlight + e.unaccepted + e.abandoned + reported
	return (b.workSeconds(r) + queue*b.warmServiceSeconds(e)) / b.slowStartFraction(e)
}

// slowStartSurchargeSeconds is the part of an endpoint's cost that is due to slow start. Selection subtracts it: the
// work that is granted is little and is answered in time, and with the surcharge the endpoint would get no work at all.
func (b *Balancer) slowStartSurchargeSeconds(e *endpointState) float64 {
	return (1 - b.slowStartFraction(e)) * (b.queueEstimate(e) + 1) * b.serviceSeconds(e)
}

// grantSlowStartCredit sets the work that this node may send to an endpoint in slow start in the window that begins.
// The work is proportional to the work that a warm endpoint does for this node, or to 1/Instances if that is more. In a
// large fleet the grant is less than one request, and one request from each node would make the endpoint fail. The
// number of requests is therefore rounded up or down at random.
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

// dropSlowStartCredit discards the credit that was not used. Negative credit stays, so it reduces the next grant.
func (e *endpointState) dropSlowStartCredit() {
	e.slowStartCreditSeconds = min(e.slowStartCreditSeconds, 0)
}

// slowStartAdmits reports whether an endpoint is warm, or has credit for more than half of a request's work. Otherwise
// two heavy requests on the remaining credit of two windows would be as much work as two windows may get.
func (b *Balancer) slowStartAdmits(r *request, e *endpointState) bool {
	return b.isWarm(e) || e.slowStartCreditSeconds > b.workSeconds(r)/2
}
