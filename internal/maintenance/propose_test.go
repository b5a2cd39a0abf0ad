package maintenance

import (
	"fmt"
	"slices"
	"testing"
)

// Several nodes read the same plan and propose commands. Failed nodes propose only in every seventh epoch. Every
// machine of the request goes out and comes back, and there are never more machines out than the budget allows.
func TestProposalsCompleteTheTurnOfEveryMachine(t *testing.T) {
	for _, failed := range [][]string{nil, {"n0"}, {"n0", "n2"}} {
		t.Run(fmt.Sprint(failed), func(t *testing.T) {
			f := newPlanFixture(t)
			floors := map[string]float64{"a": 3, "b": 3}
			f.mustApply(request("q", DisruptionBudget{Total: 2, PerSite: 1}, floors, "s0", "s1", "s5", "s7"))
			unchanged, revision := map[string]int{}, map[string]int64{}
			done, epochs := map[string]bool{}, map[string]int{}
			for epoch := uint64(1); epoch < 400 && len(done) < 4; epoch++ {
				plan := PlanView{SettledView: f.plan.SettledView, Order: slices.Clone(f.plan.Order), Turns: f.plan.ListTurns()}
				for _, turn := range plan.Turns {
					if revision[turn.Machine] == turn.Revision {
						unchanged[turn.Machine]++
					} else {
						unchanged[turn.Machine], revision[turn.Machine] = 0, turn.Revision
					}
				}
				for _, node := range f.sessions.LiveNodes() {
					if slices.Contains(failed, node) && epoch%7 != 0 {
						continue
					}
					state := NodeState{
						Node:           node,
						Incarnation:    f.sessions[node],
						View:           ViewVersion{1, epoch},
						FreshNodes:     f.sessions.LiveNodes(),
						ListRevision:   f.revision,
						InFlight:       map[string]int{},
						ViewsUnchanged: unchanged,
					}
					for _, c := range Propose(plan, state) {
						if c.Op == "rota-settle" {
							c.Costs = map[string]float64{"s0": 1, "s1": 2, "s5": 3, "s7": 4}
						}
						f.apply(c) // the plan may reject it
					}
				}
				if violation := f.checkLimits(); violation != "" {
					t.Fatalf("epoch %d: %s", epoch, violation)
				}
				for _, turn := range f.plan.ListTurns() { // the operator's steps
					epochs[turn.Machine]++
					state := turn.State
					if state == Quiet || state == Out && epochs[turn.Machine] > 40 || state == Returning {
						next := map[TurnState]TurnState{Quiet: Out, Out: Returning, Returning: Done}[state]
						if err := f.step(turn.Machine, next); err != nil {
							t.Fatal(err)
						}
						done[turn.Machine] = done[turn.Machine] || next == Done
						if !done[turn.Machine] {
							delete(done, turn.Machine)
						}
					}
				}
			}
			if len(done) != 4 {
				t.Fatalf("machines that completed their turns: %v, want 4; turns %+v, order %v",
					done, f.plan.ListTurns(), f.plan.Order)
			}
		})
	}
}

// A node confirms a draining machine only if its member list has the draining and it has nothing in flight at the
// machine. Each process of the node confirms once.
func TestProposeConfirmsOnlyWithNothingInFlight(t *testing.T) {
	turn := Turn{Machine: "s0", State: Draining, DrainingRevision: 9, Revision: 9}
	for name, tc := range map[string]struct {
		node      NodeState
		confirmed map[string]uint64
		want      bool
	}{
		"nothing in flight":           {node: NodeState{ListRevision: 9}, want: true},
		"older member list":           {node: NodeState{ListRevision: 8}},
		"one attempt in flight":       {node: NodeState{ListRevision: 9, InFlight: map[string]int{"s0": 1}}},
		"confirmed by this process":   {node: NodeState{ListRevision: 9}, confirmed: map[string]uint64{"n0": 2}},
		"confirmed by an old process": {node: NodeState{ListRevision: 9}, confirmed: map[string]uint64{"n0": 1}, want: true},
	} {
		tc.node.Node, tc.node.Incarnation, tc.node.FreshNodes = "n0", 2, []string{"n0", "n1"}
		turn.ConfirmedBy = tc.confirmed
		proposed := Propose(PlanView{Turns: []Turn{turn}}, tc.node)
		got := slices.ContainsFunc(proposed, func(c Command) bool { return c.Op == "rota-confirm" })
		if got != tc.want {
			t.Errorf("%s: confirms %v, want %v", name, got, tc.want)
		}
	}
}

// The nodes have distinct ranks for each key, and every node is the first for some key.
func TestProposalRanksAreDistinct(t *testing.T) {
	nodes := []string{"n0", "n1", "n2", "n3", "n4"}
	firsts := map[string]bool{}
	for i := range 40 {
		key := fmt.Sprint("s", i)
		var ranks []int
		for _, n := range nodes {
			ranks = append(ranks, proposalRank(nodes, n, key))
			if ranks[len(ranks)-1] == 0 {
				firsts[n] = true
			}
		}
		slices.Sort(ranks)
		if !slices.Equal(ranks, []int{0, 1, 2, 3, 4}) {
			t.Fatalf("the ranks for %s are %v, want 0 to 4", key, ranks)
		}
	}
	if len(firsts) != len(nodes) {
		t.Errorf("nodes with rank 0 for some key: %v, want all %d nodes", firsts, len(nodes))
	}
}
