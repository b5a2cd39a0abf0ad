package balance

import "time"

// maxProbeAdmissionInterval is the number of rejected requests for each probe admission while rejections are right.
const maxProbeAdmissionInterval = 20.0

// probeAdmission forwards some of the requests that would be rejected. While a node rejects requests it gets no answers
// that would correct its estimates. After one load report or some answers from a full endpoint, a node with little
// traffic may consider all endpoints full for seconds.
//
// Invariant: 1 <= interval <= maxProbeAdmissionInterval.
type probeAdmission struct {
	rejected float64 // rejected requests since the last probe admission
	interval float64 // rejected requests for each probe admission
}

// admit counts a request that would be rejected, and reports whether to forward it as a probe admission.
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

// recordProbeAdmission updates the interval by how the first attempt of a probe admission ended. If the attempt waited
// less than the bound, rejecting was wrong. If it waited longer or failed, rejecting was right.
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

// waitedLessThanBound reports whether an attempt of a probe admission spent less time in a queue than the bound.
func (b *Balancer) waitedLessThanBound(elapsed time.Duration, r *request) bool {
	return elapsed.Seconds()-b.workSeconds(r) < r.probeBoundSeconds
}
