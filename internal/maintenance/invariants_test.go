package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"hitchvale/internal/statemachine"
)

// nextState is the state that follows each state in a turn that completes.
var nextState = map[TurnState]TurnState{
	Waiting:   Granted,
	Granted:   Draining,
	Draining:  Quiet,
	Quiet:     Out,
	Out:       Returning,
	Returning: Done,
}

// playRandomCommands applies random commands, valid and invalid. It returns a description of the first violated
// invariant, or "" if there is none.
func playRandomCommands(t *testing.T, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 2))
	f := newPlanFixture(t)
	f.t = t
	read := map[string]Turn{} // the turns as a stale proposer last read them
	for range 120 {
		id := fmt.Sprint("s", rng.IntN(8))
		c := Command{Machine: id}
		switch rng.IntN(12) {
		case 0, 1:
			requestID := fmt.Sprint("q", rng.IntN(3))
			budget := DisruptionBudget{rng.IntN(4), rng.IntN(3), rng.IntN(3)}
			q := request(requestID, budget, nil, id, fmt.Sprint("s", rng.IntN(8)))
			if rng.IntN(2) == 0 {
				q.Request.CapacityFloor = map[string]float64{"a": float64(rng.IntN(4)), "b": float64(rng.IntN(4))}
			}
			c = q
		case 2:
			c.Op, c.Request.ID = "rota-withdraw", fmt.Sprint("q", rng.IntN(3))
		case 3, 4:
			f.epoch += uint64(rng.IntN(2))
			c = Command{Op: "rota-settle", View: ViewVersion{1, f.epoch}, Costs: map[string]float64{}}
			for i := range 8 {
				c.Costs[fmt.Sprint("s", i)] = rng.Float64()
			}
		case 5, 6:
			node := fmt.Sprint("n", rng.IntN(4))
			c.Op = "rota-confirm"
			c.Node = node
			c.Incarnation = f.sessions[node] - uint64(rng.IntN(2))*min(1, f.sessions[node])
			c.ListRevision = f.revision - int64(rng.IntN(3))
		case 7:
			c.Op = []statemachine.Operation{"rota-overdue", "rota-free"}[rng.IntN(2)]
		default:
			c.Op, c.Target = "rota-step", []TurnState{Waiting, Granted, Draining, Quiet, Out, Returning, Done}[rng.IntN(7)]
			if t := f.plan.Turns[id]; t != nil && rng.IntN(2) == 0 {
				c.Target = nextState[t.State]
			}
		}
		c.Revision = read[id].Revision
		if t := f.plan.Turns[id]; t != nil && rng.IntN(3) > 0 {
			c.Revision, read[id] = t.Revision, *t
		}
		switch rng.IntN(15) { // sometimes a machine or a session changes, too
		case 0:
			f.inventory.SetDraining(fmt.Sprint("s", rng.IntN(8)), rng.IntN(2) == 0, 0)
		case 1:
			node := fmt.Sprint("n", rng.IntN(4))
			if f.sessions[node] == 0 || rng.IntN(2) == 0 {
				f.sessions[node] += 1 + uint64(rng.IntN(2))
			} else {
				delete(f.sessions, node)
			}
		}
		if violation := f.applyAndCheck(c); violation != "" {
			return violation
		}
	}
	return f.checkSnapshot()
}

// applyAndCheck applies a command and checks its result against the invariants, which it computes independently of the
// plan. It returns a description of the first violation, or "" if there is none.
func (f *planFixture) applyAndCheck(c Command) string {
	before := map[string]Turn{}
	for id, t := range f.plan.Turns {
		before[id] = *t
	}
	was, ok := before[c.Machine]
	err := f.apply(c)
	if err != nil {
		return ""
	}
	now := f.plan.Turns[c.Machine]
	if c.Op == "rota-step" && ok && was.State != c.Target && was.Revision != c.Revision {
		return fmt.Sprintf("%s: a step from revision %d was accepted at revision %d", c.Machine, c.Revision, was.Revision)
	}
	if c.Op != "rota-step" || now == nil || was.State == now.State {
		return ""
	}
	switch now.State {
	case Granted:
		return f.checkLimits()
	case Quiet:
		for _, node := range f.sessions.LiveNodes() {
			if was.ConfirmedBy[node] != f.sessions[node] {
				return fmt.Sprintf("%s is quiet, and %s has not confirmed", c.Machine, node)
			}
		}
	}
	return ""
}

// checkLimits checks the budgets and floors that apply. It returns a description of a scope with more machines out than
// a budget allows, or of a site with less ready capacity than its floor, or "" if there is neither.
func (f *planFixture) checkLimits() string {
	count, ready := map[string]int{}, map[string]float64{}
	for _, m := range f.inventory.machines {
		t := f.plan.Turns[m.ID]
		if t != nil && t.State != Waiting {
			count["all"]++
			count["site "+m.Site]++
			count[fmt.Sprint("cell ", m.Site, m.Cell)]++
		} else if m.Ready {
			ready[m.Site] += m.Capacity
		}
	}
	for _, t := range f.plan.Turns {
		if t.State == Waiting {
			continue
		}
		for _, id := range t.Requests {
			q := f.plan.Requests[id]
			for scope, n := range count {
				limit := map[byte]int{'a': q.Budget.Total, 's': q.Budget.PerSite, 'c': q.Budget.PerCell}[scope[0]]
				if limit > 0 && n > limit {
					return fmt.Sprintf("%d machines are out in %q, and request %s allows %d", n, scope, id, limit)
				}
			}
			for site, floor := range q.CapacityFloor {
				if ready[site] < floor {
					return fmt.Sprintf("site %s has %g ready, and its floor in request %s is %g", site, ready[site], id, floor)
				}
			}
		}
	}
	return ""
}

// checkSnapshot checks that a snapshot restores the plan. It returns a description of the failure, or "" if there is
// none.
func (f *planFixture) checkSnapshot() string {
	text, err := f.plan.Encode()
	if err != nil {
		return err.Error()
	}
	restored := NewPlan(f.inventory, f.sessions)
	if err := restored.Decode(text, f.revision); err != nil {
		return err.Error()
	}
	if again, _ := json.Marshal(restored); !bytes.Equal(text, again) {
		return "the plan restored from a snapshot differs"
	}
	return ""
}

// Under random commands no grant exceeds a budget or breaks a floor, no machine becomes quiet before every live node
// has confirmed, and no step is accepted if its turn has changed since the proposer read it.
func TestInvariantsUnderRandomCommands(t *testing.T) {
	for seed := range uint64(10000) {
		if violation := playRandomCommands(t, seed); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// The random commands detect a plan that lacks the check of the budget, of the confirmations or of the revision.
func TestPlantedFaultsAreDetected(t *testing.T) {
	defer func() { plantedFault = "" }()
	for _, fault := range []string{"budget", "confirm", "cas"} {
		plantedFault = fault
		violation := ""
		for seed := range uint64(2000) {
			if violation = playRandomCommands(t, seed); violation != "" {
				break
			}
		}
		if violation == "" {
			t.Errorf("fault %q is not detected in 2,000 schedules", fault)
		}
	}
}
