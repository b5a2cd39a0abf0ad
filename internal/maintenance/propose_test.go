package maintenance

import (
	"fmt"
	"slices"
	"testing"
)

// A fleet in one process: nodes that read the same plan propose in turn, some of them failed or cut off, and every
// machine of the request goes out and comes back, with never more out than the budget allows.
func TestFleetTakesEveryMachineThroughItsTurn(t *testing.T) {
	for _, failed := range [][]string{nil, {"n0"}, {"n0", "n2"}} {
		t.Run(fmt.Sprint(failed), func(t *testing.T) {
			f := newPlanFixture(t)
			floors := map[string]float64{"a": 3, "b": 3}
			f.mustApply(request("q", DisruptionBudget{Total: 2, PerSite: 1}, floors, "s0", "s1", "s5", "s7"))
			seen, at := map[string]int{}, map[string]int64{}
			done, worked := map[string]bool{}, map[string]int{}
			for epoch := uint64(1); epoch < 400 && len(done) < 4; epoch++ {
				view := PlanView{SettledView: f.plan.SettledView, Order: slices.Clone(f.plan.Order), Turns: f.plan.ListTurns()}
				for _, x := range view.Turns {
					if at[x.Machine] == x.Revision {
						seen[x.Machine]++
					} else {
						seen[x.Machine], at[x.Machine] = 0, x.Revision
					}
				}
				for _, node := range f.sessions.LiveNodes() {
					if slices.Contains(failed, node) && epoch%7 != 0 { // it proposes now and then only
						continue
					}
					state := NodeState{
						Node:           node,
						Incarnation:    f.sessions[node],
						View:           ViewVersion{1, epoch},
						FreshNodes:     f.sessions.LiveNodes(),
						ListRevision:   f.revision,
						InFlight:       map[string]int{},
						ViewsUnchanged: seen,
					}
					for _, c := range Propose(view, state) {
						if c.Op == "rota-settle" {
							c.Costs = map[string]float64{"s0": 1, "s1": 2, "s5": 3, "s7": 4}
						}
						f.apply(c) // the plan decides
					}
				}
				if bad := f.checkLimits(); bad != "" {
					t.Fatalf("epoch %d: %s", epoch, bad)
				}
				for _, x := range f.plan.ListTurns() { // the operator's steps
					if worked[x.Machine]++; x.State == Quiet || x.State == Out && worked[x.Machine] > 40 || x.State == Returning {
						next := map[TurnState]TurnState{Quiet: Out, Out: Returning, Returning: Done}[x.State]
						if err := f.step(x.Machine, next); err != nil {
							t.Fatal(err)
						}
						done[x.Machine] = done[x.Machine] || next == Done
						if !done[x.Machine] {
							delete(done, x.Machine)
						}
					}
				}
			}
			if len(done) != 4 {
				t.Fatalf("%v came through; the plan: %+v, order %v", done, f.plan.ListTurns(), f.plan.Order)
			}
		})
	}
}

// A node confirms only what it holds and has nothing open at, once for each of its processes.
func TestProposeConfirmsOnlyWithNothingInFlight(t *testing.T) {
	turn := Turn{Machine: "s0", State: Draining, DrainingRevision: 9, Revision: 9}
	for name, tc := range map[string]struct {
		l    NodeState
		had  map[string]uint64
		want bool
	}{
		"quiet here":           {l: NodeState{ListRevision: 9}, want: true},
		"an older list":        {l: NodeState{ListRevision: 8}},
		"something open":       {l: NodeState{ListRevision: 9, InFlight: map[string]int{"s0": 1}}},
		"confirmed already":    {l: NodeState{ListRevision: 9}, had: map[string]uint64{"n0": 2}},
		"by its older process": {l: NodeState{ListRevision: 9}, had: map[string]uint64{"n0": 1}, want: true},
	} {
		tc.l.Node, tc.l.Incarnation, tc.l.FreshNodes = "n0", 2, []string{"n0", "n1"}
		turn.ConfirmedBy = tc.had
		proposed := Propose(PlanView{Turns: []Turn{turn}}, tc.l)
		got := slices.ContainsFunc(proposed, func(c Command) bool { return c.Op == "rota-confirm" })
		if got != tc.want {
			t.Errorf("%s: confirms %v", name, got)
		}
	}
}

// Every node has a rank of its own for a thing, and different things have different firsts.
func TestProposalRanksAreDistinct(t *testing.T) {
	nodes := []string{"n0", "n1", "n2", "n3", "n4"}
	firsts := map[string]bool{}
	for i := range 40 {
		thing := fmt.Sprint("s", i)
		var ranks []int
		for _, n := range nodes {
			ranks = append(ranks, proposalRank(nodes, n, thing))
			if ranks[len(ranks)-1] == 0 {
				firsts[n] = true
			}
		}
		slices.Sort(ranks)
		if !slices.Equal(ranks, []int{0, 1, 2, 3, 4}) {
			t.Fatalf("ranks %v", ranks)
		}
	}
	if len(firsts) != len(nodes) {
		t.Errorf("firsts %v", firsts)
	}
}
