package balance

import "time"

// maxProbeAdmissionInterval is the number of rejected requests for one probe admission while rejecting is right.
const maxProbeAdmissionInterval = 20.0

// probeAdmission forwards some of the requests that would be rejected: rejecting keeps a node from the answers that
// would correct its estimates. A node that sees little may take all endpoints for full for seconds, by one report or
// some answers from an endpoint that is.
//
// Invariant: 1 <= interval <= maxProbeAdmissionInterval.
type probeAdmission struct {
	rejected float64 // requests since the last probe admission
	interval float64 // rejected requests for one probe admission
}

// admit counts a request that would be rejected, and tells whether it is forwarded all the same.
func (p *probeAdmission) admit() bool {
	p.rejected++
	if p.rejected < p.interval {
		return false
	}
	p.rejected -= p.interval
	return true
}

func (p *probeAdmission) rejectionWasWrong() { p.interval = max(p.interval/2, 1) }

func (p *probeAdmission) rejectionWasRight() {
	p.interval = min(p.interval*2, maxProbeAdmissionInterval)
}

// recordProbeAdmission learns from how the first attempt of a probe admission ended. One that waited less than the
// bound shows that rejecting was wrong; one that waited longer or failed shows that it was right.
func (b *Balancer) recordProbeAdmission(r *request, ev *AttemptEnded) {
	switch {
	case r.probeBoundSeconds == 0 || // no probe admission
		ev.Attempt > 0 || ev.Status == StatusCancelled:
	case ev.Status == StatusSucceeded && b.waitedLessThanBound(ev.Elapsed, r):
		b.probeAdmission.rejectionWasWrong()
	default:
		b.probeAdmission.rejectionWasRight()
	}
}

// waitedLessThanBound reports whether an attempt of a probe admission spent less time in a queue than its bound.
func (b *Balancer) waitedLessThanBound(elapsed time.Duration, r *request) bool {
	return elapsed.Seconds()-b.workSeconds(r) < r.probeBoundSeconds
}
