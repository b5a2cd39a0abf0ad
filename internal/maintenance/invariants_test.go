package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"hitchvale/internal/statemachine"
)

// nextState is the order of a turn that completes.
var nextState = map[TurnState]TurnState{
	Waiting:   Granted,
	Granted:   Draining,
	Draining:  Quiet,
	Quiet:     Out,
	Out:       Returning,
	Returning: Done,
}

// playRandomCommands applies random commands, valid and invalid, and returns the first violated invariant.
func playRandomCommands(t *testing.T, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 2))
	f := newPlanFixture(t)
	f.t = t
	read := map[string]Turn{} // turns as stale proposers read them
	for range 120 {
		id := fmt.Sprint("s", rng.IntN(8))
		c := Command{Machine: id}
		switch rng.IntN(12) {
		case 0, 1:
			name := fmt.Sprint("q", rng.IntN(3))
			budget := DisruptionBudget{rng.IntN(4), rng.IntN(3), rng.IntN(3)}
			q := request(name, budget, nil, id, fmt.Sprint("s", rng.IntN(8)))
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
			n := fmt.Sprint("n", rng.IntN(4))
			c.Op = "rota-confirm"
			c.Node = n
			c.Incarnation = f.sessions[n] - uint64(rng.IntN(2))*min(1, f.sessions[n])
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
		switch rng.IntN(15) { // the world moves too
		case 0:
			f.inventory.SetDraining(fmt.Sprint("s", rng.IntN(8)), rng.IntN(2) == 0, 0)
		case 1:
			n := fmt.Sprint("n", rng.IntN(4))
			if f.sessions[n] == 0 || rng.IntN(2) == 0 {
				f.sessions[n] += 1 + uint64(rng.IntN(2))
			} else {
				delete(f.sessions, n)
			}
		}
		if bad := f.applyAndCheck(c); bad != "" {
			return bad
		}
	}
	return f.checkSnapshot()
}

// applyAndCheck applies a command and compares its result to the rules, computed independently.
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
		return fmt.Sprintf("a step of %s from revision %d, which stood at %d, was taken", c.Machine, c.Revision, was.Revision)
	}
	if c.Op != "rota-step" || now == nil || was.State == now.State {
		return ""
	}
	switch now.State {
	case Granted:
		return f.checkLimits()
	case Quiet:
		for _, n := range f.sessions.LiveNodes() {
			if was.ConfirmedBy[n] != f.sessions[n] {
				return fmt.Sprintf("%s is quiet, and %s has not confirmed", c.Machine, n)
			}
		}
	}
	return ""
}

// checkLimits names a scope with more machines out than a binding budget, or a site under a binding floor.
func (f *planFixture) checkLimits() string {
	count, ready := map[string]int{}, map[string]float64{}
	for _, u := range f.inventory.machines {
		t := f.plan.Turns[u.ID]
		if t != nil && t.State != Waiting {
			count["all"]++
			count["site "+u.Site]++
			count[fmt.Sprint("cell ", u.Site, u.Cell)]++
		} else if u.Ready {
			ready[u.Site] += u.Capacity
		}
	}
	for _, t := range f.plan.Turns {
		if t.State == Waiting {
			continue
		}
		for _, id := range t.Requests {
			q := f.plan.Requests[id]
			for scope, n := range count {
				most := map[byte]int{'a': q.Budget.Total, 's': q.Budget.PerSite, 'c': q.Budget.PerCell}[scope[0]]
				if most > 0 && n > most {
					return fmt.Sprintf("%d out in %s, and %s allows %d", n, scope, id, most)
				}
			}
			for site, floor := range q.CapacityFloor {
				if ready[site] < floor {
					return fmt.Sprintf("%s has %g ready, and %s wants %g", site, ready[site], id, floor)
				}
			}
		}
	}
	return ""
}

// checkSnapshot reports whether a snapshot restores the plan.
func (f *planFixture) checkSnapshot() string {
	text, err := f.plan.Encode()
	if err != nil {
		return err.Error()
	}
	n := NewPlan(f.inventory, f.sessions)
	if err := n.Decode(text, f.revision); err != nil {
		return err.Error()
	}
	if again, _ := json.Marshal(n); !bytes.Equal(text, again) {
		return "a snapshot restores something else"
	}
	return ""
}

// Whatever the commands, no grant exceeds a budget or breaks a floor, nothing is quiet without every live node, and no
// step is taken from a state that has changed since.
func TestInvariantsUnderRandomCommands(t *testing.T) {
	for seed := range uint64(10000) {
		if bad := playRandomCommands(t, seed); bad != "" {
			t.Fatalf("seed %d: %s", seed, bad)
		}
	}
}

// Leaving out any of the checks is detected.
func TestPlantedFaultsAreDetected(t *testing.T) {
	defer func() { plantedFault = "" }()
	for _, bug := range []string{"budget", "confirm", "cas"} {
		plantedFault = bug
		caught := ""
		for seed := range uint64(2000) {
			if caught = playRandomCommands(t, seed); caught != "" {
				break
			}
		}
		if caught == "" {
			t.Errorf("%s left out: not detected in 2,000 schedules", bug)
		}
	}
}
