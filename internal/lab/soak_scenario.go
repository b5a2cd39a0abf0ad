package lab

import "hitchvale/internal/tomlfile"

// SoakScenario plays several seeds with faults drawn from each, several of which overlap: terminations, reloads,
// restarts, drains, outages of discovery, broken links and, on traced nodes, failing system calls and a stepped wall
// clock.
type SoakScenario struct {
	Seeds         int      `toml:"seeds"` // played one after another, from the scenario's own on
	FirstFaultAt  Duration `toml:"quiet"` // from the start of the load
	GroupInterval Duration `toml:"every"` // from one group of faults to the next
	GroupSize     int      `toml:"bout"`  // faults in a group
	// TracedShare is the share of nodes whose system calls fail by a plan.
	TracedShare float64 `toml:"shimmed"`
	// Upgrades has nodes replaced by a second process among the faults, some again while the first is shutting down.
	Upgrades bool `toml:"upgrades"`
	// Deadlines are those of the clients, of which each seed takes one; none: the load's.
	Deadlines []Duration `toml:"deadlines"`
	// ClaimDeadline is the claim class's deadline in the settings of every third seed, whatever its clients wait; 0: the
	// clients'.
	ClaimDeadline Duration `toml:"long_class"`
	// IdleConnections is how many idle connections clients hold to each node in every fourth seed.
	IdleConnections int `toml:"crowd"`
}

// Every claimDeadlineSeeds-th seed has the settings' own claim deadline, and every idleConnectionSeeds-th idle
// connections.
const (
	claimDeadlineSeeds  = 3
	idleConnectionSeeds = 4
)

// forSeed returns the scenario as its present seed plays it.
func (scenario Scenario) forSeed() Scenario {
	if n := len(scenario.Soak.Deadlines); n > 0 {
		scenario.Load.Deadline = scenario.Soak.Deadlines[scenario.Seed%uint64(n)]
	}
	if scenario.Seed%claimDeadlineSeeds == 0 {
		scenario.claimDeadline = scenario.Soak.ClaimDeadline.Duration
	}
	if scenario.Seed%idleConnectionSeeds == 0 {
		scenario.idleConnections = scenario.Soak.IdleConnections
	}
	if scenario.Seed%2 == 1 {
		// Slow requests put off the end of a replaced process; odd seeds have it end at once.
		scenario.Load.SplitRequestShare = 0
		scenario.Load.StalledClients = false
	}
	scenario.Faults = drawSoak(scenario)
	return scenario
}

func (soak SoakScenario) check(scenario Scenario) error {
	switch {
	case scenario.Registries > 0 || scenario.Fleet != nil || scenario.Maintenance != nil || len(scenario.Faults) > 0:
		return tomlfile.KeyErrorf("soak",
			"a soak has the stand-in discovery and draws its faults: no registries, fleet, work or [[fault]]")
	case soak.Seeds < 1 || soak.Seeds > 100000:
		return tomlfile.KeyErrorf("soak.seeds", "%d is outside 1 to 100000", soak.Seeds)
	case soak.FirstFaultAt.Duration < minReloadAge:
		return tomlfile.KeyErrorf("soak.quiet", "%s is below %s, before which no node may reload its configuration",
			soak.FirstFaultAt, minReloadAge)
	case soak.GroupInterval.Duration < groupSpan:
		return tomlfile.KeyErrorf("soak.every", "%s is below %s", soak.GroupInterval, groupSpan)
	case soak.GroupSize < 1 || soak.GroupSize > 8:
		return tomlfile.KeyErrorf("soak.bout", "%d is outside 1 to 8", soak.GroupSize)
	case soak.TracedShare < 0 || soak.TracedShare > 1:
		return tomlfile.KeyErrorf("soak.shimmed", "%g is outside 0 to 1", soak.TracedShare)
	case soak.IdleConnections < 0 || soak.IdleConnections > 10000:
		return tomlfile.KeyErrorf("soak.crowd", "%d is outside 0 to 10000", soak.IdleConnections)
	}
	for _, deadline := range soak.Deadlines {
		if deadline.Duration < minClientDeadline {
			return tomlfile.KeyErrorf("soak.deadlines", "%s is below %s", deadline, minClientDeadline)
		}
	}
	return nil
}
