package lab

import (
	"time"

	"hitchvale/internal/tomlfile"
)

// MaintenanceScenario is a fleet's scenario in which an operator requests maintenance of all backends, at most Budget
// of them out at once. It stops and starts each quiet one and has it listed again. Meanwhile faults are drawn from
// Kinds, one every FaultInterval.
type MaintenanceScenario struct {
	Budget        int      `toml:"budget"`
	Kinds         []string `toml:"kinds"`
	FaultInterval Duration `toml:"every"`
}

// The kinds of faults of a maintenance scenario.
const (
	maintenanceFaultPause  = "pause"  // a node is paused
	maintenanceFaultKill   = "kill"   // a node is killed and started again
	maintenanceFaultLeader = "leader" // the registry's leader is killed
	maintenanceFaultOutage = "outage" // all replicas are killed and started again later
)

var maintenanceFaultKinds = []string{maintenanceFaultPause, maintenanceFaultKill, maintenanceFaultLeader,
	maintenanceFaultOutage}

func (maintenanceScenario MaintenanceScenario) check(scenario Scenario) error {
	switch {
	case scenario.Fleet == nil:
		return tomlfile.KeyErrorf("work", "machines are taken out by a [fleet]")
	case maintenanceScenario.Budget < 1 || maintenanceScenario.Budget >= scenario.Backends:
		return tomlfile.KeyErrorf("work.budget", "%d is outside 1 to one below the backends", maintenanceScenario.Budget)
	case len(maintenanceScenario.Kinds) > 0 && maintenanceScenario.FaultInterval.Duration < 100*time.Millisecond:
		return tomlfile.KeyErrorf("work.every", "%s is below 100ms", maintenanceScenario.FaultInterval)
	}
	return checkKinds("work.kinds", maintenanceScenario.Kinds, maintenanceFaultKinds)
}
