package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// LeaseFigures holds the measurements of a lease scenario.
type LeaseFigures struct {
	Faults         int `json:"schedules"`
	Grants         int `json:"grants"`
	AcceptedWrites int `json:"accepted_writes"`
	RejectedWrites int `json:"refused_writes"` // writes that the registry rejected because their fencing token was stale
	LeasesLost     int `json:"leases_lost"`    // holders that noticed the loss before a write was rejected
	// Takeover is the time in milliseconds, by fault kind, from the fault until the next holder is granted the lease. For
	// a killed leader it is the time until the next accepted write.
	Takeover map[string]Distribution `json:"takeover_ms"`
	// Points holds the takeover times in the order of the faults, for the plot.
	Points []TakeoverPoint `json:"points"`
}

// TakeoverPoint is the takeover time after one fault.
type TakeoverPoint struct {
	Kind string  `json:"kind"`
	Ms   float64 `json:"ms"` // -1: there was no takeover
}

const (
	// maxHandover bounds the 99th percentile of the times that a handover on SIGTERM takes.
	maxHandover = 100 * time.Millisecond
	// takeoverGrace is how long after a failed holder's TTL its successor may be granted the lease.
	takeoverGrace = time.Second
)

// checkLeases checks the candidates' logs against the injected faults: fencing tokens keep the writes in order, a
// successor takes over a failed holder's lease in time, and a holder hands it over within maxHandover on SIGTERM.
func checkLeases(events []LeaseEvent, faults []leaseFault, ttl time.Duration) ([]Check, LeaseFigures) {
	figures := LeaseFigures{Faults: len(faults), Takeover: map[string]Distribution{}}
	var accepted, grants []LeaseEvent
	for _, event := range events {
		switch event.Event {
		case leaseWriteAccepted:
			accepted = append(accepted, event)
		case leaseGranted:
			grants = append(grants, event)
		case leaseWriteRejected:
			figures.RejectedWrites++
		case leaseLost:
			figures.LeasesLost++
		}
	}
	figures.Grants = len(grants)
	figures.AcceptedWrites = len(accepted)
	slices.SortFunc(accepted, func(a, b LeaseEvent) int { return cmp.Compare(a.Revision, b.Revision) })
	slices.SortFunc(grants, func(a, b LeaseEvent) int { return cmp.Compare(a.At, b.At) })
	fencing := checkFencing(grants, accepted)
	takeovers := figures.checkTakeovers(faults, grants, accepted, ttl)
	return []Check{fencing, takeovers, figures.checkHandover()}, figures
}

// checkFencing checks that the tokens of accepted writes never decrease in the order of the registry's revisions, and
// that no token has two holders.
func checkFencing(grants, accepted []LeaseEvent) Check {
	check := Check{Name: "accepted duty writes: tokens never go down, one holder a token"}
	owners := map[uint64]string{}
	for i, event := range slices.Concat(grants, accepted) {
		if owner, ok := owners[event.Token]; ok && owner != event.Holder {
			check.addViolation(fmt.Sprintf("token %d held by %s and %s", event.Token, owner, event.Holder))
		}
		owners[event.Token] = event.Holder
		j := i - len(grants)
		if j <= 0 {
			continue
		}
		if before := accepted[j-1]; before.Token > event.Token {
			check.addViolation(fmt.Sprintf("revision %d: %s wrote with token %d after token %d at revision %d",
				event.Revision, event.Holder, event.Token, before.Token, before.Revision))
		}
	}
	return check.result()
}

// checkTakeovers checks that a takeover follows each fault within the TTL and takeoverGrace, and records how long the
// takeovers took.
func (figures *LeaseFigures) checkTakeovers(faults []leaseFault, grants, accepted []LeaseEvent,
	ttl time.Duration) Check {
	check := Check{Name: "a failed holder's duty is taken over within TTL + 1 s"}
	samples := map[string][]float64{}
	for _, fault := range faults {
		ms := takeover(fault, grants, accepted)
		figures.Points = append(figures.Points, TakeoverPoint{Kind: fault.Kind, Ms: ms})
		bound := ttl + takeoverGrace
		if fault.Kind == leaseFaultBoth {
			bound += ttl // the next leader grants the lease only after one more full TTL
		}
		if ms < 0 || time.Duration(ms*1e6) > bound {
			check.addViolation(fmt.Sprintf("%s of %s: takeover after %.0f ms (-1: none)", fault.Kind, fault.Target, ms))
		}
		if ms >= 0 {
			samples[fault.Kind] = append(samples[fault.Kind], ms)
		}
	}
	for kind, sample := range samples {
		figures.Takeover[kind] = newDistribution(sample)
	}
	return check.result()
}

// checkHandover checks how long the handovers on SIGTERM took.
func (figures *LeaseFigures) checkHandover() Check {
	check := Check{Name: fmt.Sprintf("SIGTERM hands the duty over within %s at p99", maxHandover)}
	handover, ok := figures.Takeover[leaseFaultTerminate]
	if ok && handover.P99 > float64(maxHandover.Milliseconds()) {
		check.addViolation(fmt.Sprintf("p99 of %d handovers: %.1f ms", handover.N, handover.P99))
	}
	return check.result()
}

// takeover returns how many milliseconds after a fault another holder was granted the lease or, for a killed leader, a
// write was accepted. It returns -1 if that did not happen.
func takeover(fault leaseFault, grants, accepted []LeaseEvent) float64 {
	first := int64(-1)
	if fault.Kind == leaseFaultLeader {
		for _, write := range accepted { // in the order of revisions, not of time
			if write.At > fault.At && (first < 0 || write.At < first) {
				first = write.At
			}
		}
	} else {
		i := slices.IndexFunc(grants, func(e LeaseEvent) bool { return e.At > fault.At && e.Holder != fault.Holder })
		if i >= 0 {
			first = grants[i].At
		}
	}
	if first < 0 {
		return -1
	}
	return float64(first-fault.At) / 1e6
}
