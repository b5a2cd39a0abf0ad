package lab

import (
	"slices"
	"strings"
	"time"

	"hitchvale/internal/tomlfile"
)

// LeaseScenario describes a run of candidates that compete for a lease. A candidate holds the lease whenever it can,
// and writes to the registry under its fencing token.
type LeaseScenario struct {
	Candidates int      `toml:"candidates"`
	TTL        Duration `toml:"ttl"`
	// WorkTime is the time between a candidate's check of the lease and its fenced write.
	WorkTime Duration `toml:"work"`
	// FaultCount is the number of faults, which are injected one after another. The kind of each is drawn from Kinds.
	FaultCount int      `toml:"schedules"`
	Kinds      []string `toml:"kinds"`
}

// The kinds of faults of a lease scenario.
const (
	leaseFaultKill      = "kill"   // the holder is killed
	leaseFaultTerminate = "term"   // the holder gets SIGTERM, on which it releases the lease
	leaseFaultPause     = "pause"  // the holder is paused for longer than the TTL
	leaseFaultPartition = "cut"    // the holder is cut off from all replicas
	leaseFaultLeader    = "leader" // the registry's leader is killed
	leaseFaultBoth      = "both"   // the holder is paused while the registry's leader is killed
)

var leaseFaultKinds = []string{leaseFaultKill, leaseFaultPause, leaseFaultPartition, leaseFaultTerminate,
	leaseFaultLeader, leaseFaultBoth}

// check returns the first invalid value of the lease scenario, as an error that names its key.
func (leaseScenario LeaseScenario) check(registries int) error {
	switch {
	case registries < 1:
		return tomlfile.KeyErrorf("registries", "%d is below the minimum of 1 replica that [duty] needs", registries)
	case leaseScenario.Candidates < 2 || leaseScenario.Candidates > 32:
		return tomlfile.KeyErrorf("duty.candidates", "%d is outside 2 to 32", leaseScenario.Candidates)
	case leaseScenario.TTL.Duration < 200*time.Millisecond:
		return tomlfile.KeyErrorf("duty.ttl", "%s is below the minimum of 200ms, which is two of the lab's election timeouts",
			leaseScenario.TTL)
	case leaseScenario.WorkTime.Duration < 0 || leaseScenario.WorkTime.Duration >= leaseScenario.TTL.Duration:
		return tomlfile.KeyErrorf("duty.work", "%s must be at least 0 and below duty.ttl (%s)", leaseScenario.WorkTime,
			leaseScenario.TTL)
	case leaseScenario.FaultCount < 1 || leaseScenario.FaultCount > 100000:
		return tomlfile.KeyErrorf("duty.schedules", "%d is outside 1 to 100000", leaseScenario.FaultCount)
	case len(leaseScenario.Kinds) == 0:
		return tomlfile.KeyErrorf("duty.kinds", "no kind is named; allowed are %s", strings.Join(leaseFaultKinds, ", "))
	}
	return checkKinds("duty.kinds", leaseScenario.Kinds, leaseFaultKinds)
}

// checkKinds returns an error that names the key if one of the kinds is not among the allowed kinds.
func checkKinds(key string, kinds, allowed []string) error {
	for _, kind := range kinds {
		if !slices.Contains(allowed, kind) {
			return tomlfile.KeyErrorf(key, "%q is not one of %s", kind, strings.Join(allowed, ", "))
		}
	}
	return nil
}
