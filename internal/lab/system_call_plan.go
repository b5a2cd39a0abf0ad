package lab

import (
	"math/rand/v2"
	"time"

	"hitchvale/internal/sysfault"
)

// systemCallStream plus a node's number is the random stream of the node's plan. It keeps the plan's draws independent
// of other draws from the same seed.
const systemCallStream = 0x5419

// isTraced reports whether a node runs under a tracer that makes its system calls fail by a drawn plan.
func (scenario Scenario) isTraced(node int) bool {
	return scenario.Soak != nil && float64(node) < scenario.Soak.TracedShare*float64(scenario.Nodes)
}

// systemCallPlan returns the plan by which a node's system calls fail, or nil if the node runs without a tracer.
func (scenario Scenario) systemCallPlan(node int) sysfault.Plan {
	switch {
	case scenario.isTraced(node):
		return drawSystemCallPlan(scenario, node)
	case scenario.emptyPlan:
		return sysfault.Plan{}
	}
	return nil
}

// drawSystemCallPlan draws the plan of faults in a traced node's system calls.
func drawSystemCallPlan(scenario Scenario, node int) sysfault.Plan {
	rng := rand.New(rand.NewPCG(scenario.Seed, systemCallStream+uint64(node)))
	span := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Float64()*float64(to-from))
	}
	kinds := []sysfault.Kind{sysfault.Accept, sysfault.Accept, sysfault.Connect, sysfault.Interrupt,
		sysfault.ShortTransfer, sysfault.BrokenConnection, sysfault.Open, sysfault.Clock, sysfault.Clock}
	steps := []time.Duration{-time.Hour, time.Hour, -5 * time.Second, 5 * time.Second}
	var plan sysfault.Plan
	for range 2 + rng.IntN(4) {
		fault := sysfault.Fault{Kind: kinds[rng.IntN(len(kinds))]}
		fault.From = span(scenario.Soak.FirstFaultAt.Duration, scenario.Duration.Duration)
		if fault.Kind == sysfault.Clock {
			fault.Step = steps[rng.IntN(len(steps))]
		} else {
			fault.For = span(100*time.Millisecond, 2*time.Second)
			fault.Share = 0.05 + 0.45*rng.Float64()
		}
		plan = append(plan, fault)
	}
	return plan
}
