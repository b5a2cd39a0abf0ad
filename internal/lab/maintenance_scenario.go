package lab

import (
	"time"

	"hitchvale/internal/tomlfile"
)

// MaintenanceScenario describes a run in which an operator requests maintenance of all backends. The operator stops
// each quiet backend, starts it again and registers it again. In the meantime the lab injects drawn faults.
type MaintenanceScenario struct {
	Budget        int      `toml:"budget"` // the most backends that may be out at the same time
	Kinds         []string `toml:"kinds"`  // kinds of faults to draw from; empty: no faults
	FaultInterval Duration `toml:"every"`  // time from the end of one fault to the start of the next
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

// check returns the first invalid value of the maintenance scenario, as an error that names its key.
func (maintenanceScenario MaintenanceScenario) check(scenario Scenario) error {
	switch {
	case scenario.Fleet == nil:
		return tomlfile.KeyErrorf("work", "[work] needs a [fleet], whose nodes arrange the maintenance turns")
	case maintenanceScenario.Budget < 1 || maintenanceScenario.Budget >= scenario.Backends:
		return tomlfile.KeyErrorf("work.budget", "%d must be at least 1 and below the number of backends (%d)",
			maintenanceScenario.Budget, scenario.Backends)
	case len(maintenanceScenario.Kinds) > 0 && maintenanceScenario.FaultInterval.Duration < 100*time.Millisecond:
		return tomlfile.KeyErrorf("work.every", "%s is below the minimum of 100ms", maintenanceScenario.FaultInterval)
	}
	return checkKinds("work.kinds", maintenanceScenario.Kinds, maintenanceFaultKinds)
}
