package lab

import (
	"slices"
	"strings"
	"time"

	"hitchvale/internal/tomlfile"
)

// LeaseScenario is one of candidates for a lease: each holds it when it can, and writes under its fencing token.
type LeaseScenario struct {
	Candidates int      `toml:"candidates"`
	TTL        Duration `toml:"ttl"`
	// WorkTime is a candidate's time between its check of the lease and its fenced write.
	WorkTime Duration `toml:"work"`
	// FaultCount faults are played one after another, each of a kind drawn from Kinds.
	FaultCount int      `toml:"schedules"`
	Kinds      []string `toml:"kinds"`
}

// The kinds of faults of a lease scenario.
const (
	leaseFaultKill      = "kill"   // the holder is killed
	leaseFaultTerminate = "term"   // the holder gets SIGTERM and releases the lease
	leaseFaultPause     = "pause"  // the holder is paused for longer than the TTL
	leaseFaultPartition = "cut"    // the holder is cut off from all replicas
	leaseFaultLeader    = "leader" // the registry's leader is killed
	leaseFaultBoth      = "both"   // the holder is paused while the registry's leader is killed
)

var leaseFaultKinds = []string{leaseFaultKill, leaseFaultPause, leaseFaultPartition, leaseFaultTerminate,
	leaseFaultLeader, leaseFaultBoth}

func (leaseScenario LeaseScenario) check(registries int) error {
	switch {
	case registries < 1:
		return tomlfile.KeyErrorf("registries", "a duty needs at least 1 registry replica")
	case leaseScenario.Candidates < 2 || leaseScenario.Candidates > 32:
		return tomlfile.KeyErrorf("duty.candidates", "%d is outside 2 to 32", leaseScenario.Candidates)
	case leaseScenario.TTL.Duration < 200*time.Millisecond:
		return tomlfile.KeyErrorf("duty.ttl", "%s is shorter than two of the lab's election timeouts (200ms)",
			leaseScenario.TTL)
	case leaseScenario.WorkTime.Duration < 0 || leaseScenario.WorkTime.Duration >= leaseScenario.TTL.Duration:
		return tomlfile.KeyErrorf("duty.work", "%s is outside 0 to the TTL", leaseScenario.WorkTime)
	case leaseScenario.FaultCount < 1 || leaseScenario.FaultCount > 100000:
		return tomlfile.KeyErrorf("duty.schedules", "%d is outside 1 to 100000", leaseScenario.FaultCount)
	case len(leaseScenario.Kinds) == 0:
		return tomlfile.KeyErrorf("duty.kinds", "none named")
	}
	return checkKinds("duty.kinds", leaseScenario.Kinds, leaseFaultKinds)
}

// checkKinds returns an error that names a key of a scenario where one of its kinds is not among those allowed.
func checkKinds(key string, kinds, allowed []string) error {
	for _, kind := range kinds {
		if !slices.Contains(allowed, kind) {
			return tomlfile.KeyErrorf(key, "%q is not one of %s", kind, strings.Join(allowed, ", "))
		}
	}
	return nil
}
