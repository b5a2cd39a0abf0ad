package lab

import (
	"time"

	"hitchvale/internal/tomlfile"
)

// FleetScenario is one of the fleet's shared view: the nodes report load at an Interval, over Sites, while faults are
// drawn. After each the lab waits until every node is fresh in every node's view again.
type FleetScenario struct {
	Interval Duration `toml:"interval"`
	Sites    int      `toml:"sites"`
	// FaultCount faults are played one after another, each of a kind drawn from Kinds.
	FaultCount int      `toml:"schedules"`
	Kinds      []string `toml:"kinds"`
}

// The kinds of faults of a fleet scenario.
const (
	fleetFaultKill      = "kill"   // a node is killed and started again
	fleetFaultPause     = "pause"  // a node is paused
	fleetFaultPartition = "cut"    // a node is cut off from all replicas
	fleetFaultLeader    = "leader" // the registry's leader is killed
	fleetFaultSplit     = "split"  // the registry's leader is cut off from the other replicas
	fleetFaultBoth      = "both"   // a node is paused while the registry's leader is killed
)

var fleetFaultKinds = []string{fleetFaultKill, fleetFaultPause, fleetFaultPartition, fleetFaultLeader, fleetFaultSplit,
	fleetFaultBoth}

func (fleetScenario FleetScenario) check(scenario Scenario) error {
	switch {
	case scenario.Registries < 1:
		return tomlfile.KeyErrorf("registries", "a fleet needs at least 1 registry replica")
	case fleetScenario.Interval.Duration < 50*time.Millisecond || fleetScenario.Interval.Duration > time.Minute:
		return tomlfile.KeyErrorf("fleet.interval", "%s is outside 50ms to 1m", fleetScenario.Interval)
	case fleetScenario.Sites < 1 || fleetScenario.Sites > 64:
		return tomlfile.KeyErrorf("fleet.sites", "%d is outside 1 to 64", fleetScenario.Sites)
	case fleetScenario.FaultCount < 0 || fleetScenario.FaultCount > 100000:
		return tomlfile.KeyErrorf("fleet.schedules", "%d is outside 0 to 100000", fleetScenario.FaultCount)
	case fleetScenario.FaultCount > 0 && len(fleetScenario.Kinds) == 0:
		return tomlfile.KeyErrorf("fleet.kinds", "none named")
	case len(scenario.Faults) > 0:
		return tomlfile.KeyErrorf("fault", "a fleet's faults are drawn: name their kinds in fleet.kinds")
	}
	return checkKinds("fleet.kinds", fleetScenario.Kinds, fleetFaultKinds)
}
