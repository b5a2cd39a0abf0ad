package lab

import "hitchvale/internal/tomlfile"

// SoakScenario runs several seeds, each with overlapping faults drawn from the seed: terminations, reloads, restarts,
// drains, outages of discovery, broken links and, on traced nodes, failing system calls and a stepped wall clock.
type SoakScenario struct {
	Seeds         int      `toml:"seeds"` // number of consecutive seeds; the first is the scenario's seed
	FirstFaultAt  Duration `toml:"quiet"` // from the start of the load
	GroupInterval Duration `toml:"every"` // from one group of faults to the next
	GroupSize     int      `toml:"bout"`  // faults in a group
	// TracedShare is the share of nodes, 0 to 1, that are traced. Some of a traced node's system calls fail by a plan.
	TracedShare float64 `toml:"shimmed"`
	// Upgrades adds faults that replace a node's process by a second one. Some of them replace the second process while
	// the first one is still shutting down.
	Upgrades bool `toml:"upgrades"`
	// Deadlines are client deadlines, of which each seed uses one. If there are none, each seed uses the load's deadline.
	Deadlines []Duration `toml:"deadlines"`
	// ClaimDeadline is the deadline of the claim class in the nodes' settings, in every third seed. It does not depend on
	// the clients' deadline; 0 means the clients' deadline.
	ClaimDeadline Duration `toml:"long_class"`
	// IdleConnections is the number of idle connections that clients hold to each node in every fourth seed.
	IdleConnections int `toml:"crowd"`
}

const (
	// claimDeadlineSeeds is the interval, in seeds, between two seeds that use ClaimDeadline.
	claimDeadlineSeeds = 3
	// idleConnectionSeeds is the interval, in seeds, between two seeds with idle connections.
	idleConnectionSeeds = 4
)

// forSeed returns the scenario with the deadlines, connections and faults of its current seed.
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
		// Slow requests delay the end of a replaced process. Odd seeds have none, so that the process ends immediately.
		scenario.Load.SplitRequestShare = 0
		scenario.Load.SlowBodyShare = 0
		scenario.Load.LongBodyShare = 0
		scenario.Backend.StopReadingShare = 0
		scenario.Load.StalledClients = false
	}
	scenario.Faults = drawSoak(scenario)
	return scenario
}

// check returns the first invalid value of the soak, as an error that names its key.
func (soak SoakScenario) check(scenario Scenario) error {
	switch {
	case scenario.Registries > 0 || scenario.Fleet != nil || scenario.Maintenance != nil || len(scenario.Faults) > 0:
		return tomlfile.KeyErrorf("soak", "a soak uses the stand-in discovery and draws its faults: "+
			"it cannot be combined with registries, [fleet], [work] or [[fault]]")
	case soak.Seeds < 1 || soak.Seeds > 100000:
		return tomlfile.KeyErrorf("soak.seeds", "%d is outside 1 to 100000", soak.Seeds)
	case soak.FirstFaultAt.Duration < minReloadAge:
		return tomlfile.KeyErrorf("soak.quiet", "%s is below the minimum of %s: no node may reload its configuration earlier",
			soak.FirstFaultAt, minReloadAge)
	case soak.GroupInterval.Duration < groupSpan:
		return tomlfile.KeyErrorf("soak.every", "%s is below the minimum of %s, within which the faults of a group begin",
			soak.GroupInterval, groupSpan)
	case soak.GroupSize < 1 || soak.GroupSize > 8:
		return tomlfile.KeyErrorf("soak.bout", "%d is outside 1 to 8", soak.GroupSize)
	case soak.TracedShare < 0 || soak.TracedShare > 1:
		return tomlfile.KeyErrorf("soak.shimmed", "%g is outside 0 to 1", soak.TracedShare)
	case soak.IdleConnections < 0 || soak.IdleConnections > 10000:
		return tomlfile.KeyErrorf("soak.crowd", "%d is outside 0 to 10000", soak.IdleConnections)
	}
	for _, deadline := range soak.Deadlines {
		if deadline.Duration < minClientDeadline {
			return tomlfile.KeyErrorf("soak.deadlines", "%s is below the minimum of %s", deadline, minClientDeadline)
		}
	}
	return nil
}
