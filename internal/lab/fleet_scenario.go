package lab

import (
	"strings"
	"time"

	"hitchvale/internal/tomlfile"
)

// FleetScenario describes a run of the fleet's shared view. The nodes of several sites report their load while the lab
// injects drawn faults. After each fault the lab waits until every node is fresh in every node's view again.
type FleetScenario struct {
	Interval Duration `toml:"interval"` // time between two load reports of a node
	Sites    int      `toml:"sites"`    // number of sites over which the nodes are spread
	// FaultCount is the number of faults, which are injected one after another. The kind of each is drawn from Kinds.
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

// check returns the first invalid value of the fleet scenario, as an error that names its key.
func (fleetScenario FleetScenario) check(scenario Scenario) error {
	switch {
	case scenario.Registries < 1:
		return tomlfile.KeyErrorf("registries", "%d is below the minimum of 1 replica that [fleet] needs",
			scenario.Registries)
	case fleetScenario.Interval.Duration < 50*time.Millisecond || fleetScenario.Interval.Duration > time.Minute:
		return tomlfile.KeyErrorf("fleet.interval", "%s is outside 50ms to 1m", fleetScenario.Interval)
	case fleetScenario.Sites < 1 || fleetScenario.Sites > 64:
		return tomlfile.KeyErrorf("fleet.sites", "%d is outside 1 to 64", fleetScenario.Sites)
	case fleetScenario.FaultCount < 0 || fleetScenario.FaultCount > 100000:
		return tomlfile.KeyErrorf("fleet.schedules", "%d is outside 0 to 100000", fleetScenario.FaultCount)
	case fleetScenario.FaultCount > 0 && len(fleetScenario.Kinds) == 0:
		return tomlfile.KeyErrorf("fleet.kinds", "no kind is named; allowed are %s", strings.Join(fleetFaultKinds, ", "))
	case len(scenario.Faults) > 0:
		return tomlfile.KeyErrorf("fault",
			"[[fault]] cannot be combined with [fleet], which draws its faults from fleet.kinds")
	}
	return checkKinds("fleet.kinds", fleetScenario.Kinds, fleetFaultKinds)
}
