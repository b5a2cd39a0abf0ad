package maintenance

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"hitchvale/internal/statemachine"
)

// fakeInventory is the list beside the record, and fakeSessions the sessions.
type fakeInventory struct{ machines []Machine }

func (l *fakeInventory) Machines() []Machine { return l.machines }
func (l *fakeInventory) SetDraining(id string, draining bool, _ int64) {
	for i := range l.machines {
		if l.machines[i].ID == id {
			l.machines[i].Ready = !draining
		}
	}
}

func (l *fakeInventory) machine(id string) Machine {
	return l.machines[slices.IndexFunc(l.machines, func(u Machine) bool { return u.ID == id })]
}

type fakeSessions map[string]uint64

func (n fakeSessions) LiveNodes() []string {
	var out []string
	for i := range 9 {
		if name := fmt.Sprint("n", i); n[name] != 0 {
			out = append(out, name)
		}
	}
	return out
}

func (n fakeSessions) VerifyHolder(node string, incarnation uint64) error {
	if n[node] != incarnation || incarnation == 0 {
		return errors.New("no")
	}
	return nil
}

// rig is a record with eight machines of two sites and three nodes.
type planFixture struct {
	t         *testing.T
	inventory *fakeInventory
	sessions  fakeSessions
	plan      *Plan
	revision  int64
	epoch     uint64
}

func newPlanFixture(t *testing.T) *planFixture {
	r := &planFixture{t: t, inventory: &fakeInventory{}, sessions: fakeSessions{"n0": 1, "n1": 1, "n2": 1}}
	for i := range 8 {
		r.inventory.machines = append(r.inventory.machines, Machine{ID: fmt.Sprint("s", i), Site: []string{"a", "b"}[i/4], Cell: i / 2, Capacity: 1, Ready: true})
	}
	r.plan = NewPlan(r.inventory, r.sessions)
	return r
}

func (r *planFixture) apply(c Command) error {
	out, err := r.plan.Apply(&c, r.revision+1)
	if err == nil && !out.Unchanged {
		r.revision++
	}
	return err
}

func (r *planFixture) mustApply(c Command) {
	r.t.Helper()
	if err := r.apply(c); err != nil {
		r.t.Fatalf("%s %s: %v", c.Op, c.Machine, err)
	}
}

func (r *planFixture) step(id string, to TurnState) error {
	rev := int64(0)
	if t := r.plan.Turns[id]; t != nil {
		rev = t.Revision
	}
	return r.apply(Command{Op: "rota-step", Machine: id, Revision: rev, Target: to})
}

// settle settles an order by the machines' costs.
func (r *planFixture) settle(costs map[string]float64) {
	r.t.Helper()
	r.epoch++
	r.mustApply(Command{Op: "rota-settle", View: ViewVersion{1, r.epoch}, Costs: costs})
}

func (r *planFixture) confirmAll(id string) {
	r.t.Helper()
	for _, n := range r.sessions.LiveNodes() {
		r.mustApply(Command{Op: "rota-confirm", Machine: id, Node: n, Incarnation: r.sessions[n], ListRevision: r.revision})
	}
}

// bring takes a machine that waits to a state.
func (r *planFixture) advanceTo(id string, to TurnState) {
	r.t.Helper()
	r.settle(map[string]float64{id: 0})
	for _, s := range []TurnState{Granted, Draining, Quiet, Out, Returning, Done} {
		if s == Quiet {
			r.confirmAll(id)
		}
		if err := r.step(id, s); err != nil {
			r.t.Fatalf("%s to %s: %v", id, s, err)
		}
		if s == to {
			return
		}
	}
}

func request(id string, budget DisruptionBudget, floor map[string]float64, machines ...string) Command {
	return Command{Op: "rota-request", Request: Request{ID: id, Machines: machines, Reason: "kernel", ExpectedMs: 1000, Budget: budget, CapacityFloor: floor}}
}

// want fails the test unless err is of a kind.
func wantError(t *testing.T, what string, err, kind error) {
	t.Helper()
	if !errors.Is(err, kind) || (kind == nil) != (err == nil) {
		t.Errorf("%s: %v, want %v", what, err, kind)
	}
}

func TestConcurrentProposalsOfDifferentTurns(t *testing.T) {
	r := newPlanFixture(t)
	r.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1"))
	r.settle(map[string]float64{"s0": 2, "s1": 1})
	wantError(t, "the one that is out of order", r.step("s0", Granted), ErrOutOfOrder)
	read := r.plan.Turns["s1"].Revision
	r.mustApply(Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Granted})
	wantError(t, "the same step twice", r.apply(Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Granted}), nil)
	wantError(t, "the other, now next", r.step("s0", Granted), ErrOverBudget)
	wantError(t, "a step from what was read before", r.apply(Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Draining}), ErrTurnChanged)
	wantError(t, "a step left out", r.step("s1", Out), ErrInvalidTransition)
}

func TestQuietNeedsEveryLiveNode(t *testing.T) {
	r := newPlanFixture(t)
	r.mustApply(request("q", DisruptionBudget{}, nil, "s0"))
	r.advanceTo("s0", Draining)
	if r.inventory.machine("s0").Ready {
		t.Error("the list does not say draining")
	}
	drained := r.plan.Turns["s0"].DrainingRevision
	confirm := func(n string, inc uint64, held int64) error {
		return r.apply(Command{Op: "rota-confirm", Machine: "s0", Node: n, Incarnation: inc, ListRevision: held})
	}
	wantError(t, "n0", confirm("n0", 1, drained), nil)
	wantError(t, "n1", confirm("n1", 1, drained), nil)
	wantError(t, "one that does not hold the draining yet", confirm("n2", 1, drained-1), ErrInvalidTransition)
	wantError(t, "quiet without n2", r.step("s0", Quiet), ErrUnconfirmed)
	r.sessions["n2"] = 2 // it started again: a process that has confirmed nothing
	wantError(t, "its older process", confirm("n2", 1, drained), ErrSessionNotHeld)
	wantError(t, "quiet without its newer one", r.step("s0", Quiet), ErrUnconfirmed)
	delete(r.sessions, "n2") // its session ended
	wantError(t, "quiet once it is excused", r.step("s0", Quiet), nil)
}

func TestMachineFailsWhileAnotherIsOut(t *testing.T) {
	r := newPlanFixture(t)
	r.mustApply(request("q", DisruptionBudget{Total: 3}, map[string]float64{"a": 2}, "s0", "s1", "s2"))
	r.advanceTo("s0", Out)
	r.advanceTo("s1", Draining)
	r.inventory.SetDraining("s3", true, 0) // dead: a has s2 alone
	r.settle(map[string]float64{"s2": 1})
	wantError(t, "no new grant", r.step("s2", Granted), ErrUnderFloor)
	if got := r.plan.TurnsToRecall(); !slices.Equal(got, []string{"s1"}) {
		t.Errorf("to be called back: %v", got)
	}
	board := PlanView{Order: r.plan.Order, Turns: r.plan.ListTurns(), ToRecall: r.plan.TurnsToRecall()}
	for _, c := range Propose(board, NodeState{Node: "n0", Incarnation: 1, FreshNodes: []string{"n0"}, View: ViewVersion{1, 9}}) {
		if c.Machine == "s1" {
			wantError(t, "the one that drains is called back", r.apply(c), nil)
		}
	}
	if x := r.plan.Turns["s1"]; !r.inventory.machine("s1").Ready || x.State != Waiting {
		t.Errorf("called back: %+v", x)
	}
	if len(r.plan.TurnsToRecall()) != 0 {
		t.Error("called back, and to be called back again")
	}
	wantError(t, "the one that is out cannot be", r.step("s0", Waiting), ErrInvalidTransition)
	r.inventory.SetDraining("s3", false, 0)
	wantError(t, "it comes back", errors.Join(r.step("s0", Returning), r.step("s0", Done)), nil)
	r.settle(map[string]float64{"s1": 1, "s2": 2})
	wantError(t, "then the one called back goes again", r.step("s1", Granted), nil)
}

func TestOverdueMachineOccupiesItsSlot(t *testing.T) {
	r := newPlanFixture(t)
	r.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1"))
	r.advanceTo("s0", Out)
	turn := r.plan.Turns["s0"]
	wantError(t, "freed before it is overdue", r.apply(Command{Op: "rota-free", Machine: "s0", Revision: turn.Revision}), ErrInvalidTransition)
	r.mustApply(Command{Op: "rota-overdue", Machine: "s0", Revision: turn.Revision})
	r.settle(map[string]float64{"s1": 1})
	wantError(t, "its slot is taken", r.step("s1", Granted), ErrOverBudget)
	r.mustApply(Command{Op: "rota-free", Machine: "s0", Revision: r.plan.Turns["s0"].Revision})
	wantError(t, "freed by an operator's word", r.step("s1", Granted), nil)
}

func TestRequestIsWithdrawnInEachState(t *testing.T) {
	for _, s := range []TurnState{Waiting, Granted, Draining, Quiet, Out, Returning} {
		t.Run(string(s), func(t *testing.T) {
			r := newPlanFixture(t)
			r.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1"))
			if s != Waiting {
				r.advanceTo("s0", s)
			}
			r.mustApply(Command{Op: "rota-withdraw", Request: Request{ID: "q"}})
			if r.plan.Turns["s1"] != nil || len(r.plan.Order) != 0 {
				t.Error("a machine waits for a request that is withdrawn")
			}
			if s == Waiting {
				if len(r.plan.Turns)+len(r.plan.Requests) != 0 {
					t.Errorf("left behind: %+v", r.plan)
				}
				return
			}
			r.mustApply(request("other", DisruptionBudget{}, nil, "s2"))
			r.settle(map[string]float64{"s2": 1})
			wantError(t, "the budget binds until the machine is back", r.step("s2", Granted), ErrOverBudget)
			if s != Returning {
				wantError(t, "its way back", r.step("s0", Returning), nil)
			}
			wantError(t, "its end", r.step("s0", Done), nil)
			wantError(t, "then the other", r.step("s2", Granted), nil)
			if _, ok := r.plan.Requests["q"]; ok {
				t.Error("a request without a machine is kept")
			}
		})
	}
}

func TestUnsatisfiableFloorIsRefused(t *testing.T) {
	r := newPlanFixture(t)
	wantError(t, "four machines of a site and a floor of four", r.apply(request("q", DisruptionBudget{}, map[string]float64{"a": 4}, "s0")), ErrUnderFloor)
	wantError(t, "a machine that is not listed", r.apply(request("q", DisruptionBudget{}, nil, "s99")), ErrNotFound)
	if len(r.plan.Requests)+len(r.plan.Turns) != 0 || r.revision != 0 {
		t.Error("refused and kept")
	}
	wantError(t, "three", r.apply(request("q", DisruptionBudget{}, map[string]float64{"a": 3}, "s0", "s1")), nil)
	r.settle(map[string]float64{"s0": 1, "s1": 2})
	wantError(t, "the first", r.step("s0", Granted), nil)
	wantError(t, "the second", r.step("s1", Granted), ErrUnderFloor)
}

func TestBudgetLoweredBelowPresentDisruption(t *testing.T) {
	r := newPlanFixture(t)
	r.mustApply(request("q", DisruptionBudget{Total: 3}, nil, "s0", "s1", "s4"))
	r.advanceTo("s0", Out)
	r.advanceTo("s1", Out)
	r.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1", "s4"))
	r.settle(map[string]float64{"s4": 1})
	wantError(t, "nothing new", r.step("s4", Granted), ErrOverBudget)
	for _, id := range []string{"s0", "s1"} {
		if r.plan.Turns[id].State != Out {
			t.Errorf("%s is %s: what is out stays out", id, r.plan.Turns[id].State)
		}
		wantError(t, "back", errors.Join(r.step(id, Returning), r.step(id, Done)), nil)
	}
	wantError(t, "with both back", r.step("s4", Granted), nil)
}

// Requests that overlap are merged: a machine has one turn, and the tightest budget of any that ask for it binds.
func TestOverlappingRequestsAreMerged(t *testing.T) {
	r := newPlanFixture(t)
	r.mustApply(request("wide", DisruptionBudget{PerSite: 2}, nil, "s0", "s1", "s2"))
	r.mustApply(request("tight", DisruptionBudget{PerCell: 1}, nil, "s0", "s1"))
	if n := len(r.plan.Turns); n != 3 || len(r.plan.Turns["s0"].Requests) != 2 {
		t.Fatalf("%d turns, %+v", n, r.plan.Turns["s0"])
	}
	r.settle(map[string]float64{"s0": 1, "s1": 2, "s2": 3})
	wantError(t, "s0", r.step("s0", Granted), nil)
	wantError(t, "s1 of the same cell", r.step("s1", Granted), ErrOverBudget)
	wantError(t, "s2 of another, as the first that fits", r.step("s2", Granted), nil)
}

// The cheapest goes first and one whose cost nobody knows last; a machine that is dear goes in the end, however many
// cheap ones come after it.
func TestOrderByCostAndAge(t *testing.T) {
	r := newPlanFixture(t)
	r.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1", "s2"))
	c := Command{Op: "rota-settle", View: ViewVersion{1, 1}, Costs: map[string]float64{"s1": 2, "s2": 1}}
	r.mustApply(c)
	if want := []string{"s2", "s1", "s0"}; !slices.Equal(r.plan.Order, want) {
		t.Errorf("order %v, want %v", r.plan.Order, want)
	}
	wantError(t, "an older epoch", r.apply(c), ErrTurnChanged)
	r.epoch = 1
	for n := 1; ; n++ {
		r.mustApply(request(fmt.Sprint("new", n), DisruptionBudget{Total: 1}, nil, []string{"s4", "s5"}[n%2])) // cheap ones keep coming
		r.settle(map[string]float64{"s0": 5, "s1": 5, "s2": 10, "s4": 1, "s5": 1})
		if r.plan.Order[0] == "s2" || r.plan.Order[0] == "s0" || r.plan.Order[0] == "s1" {
			break
		}
		if n > 2/agingFraction {
			t.Fatalf("after %d settlements %v", n, r.plan.Order)
		}
		id := r.plan.Order[0]
		r.grantAndReturn(id)
	}
}

// bringOrdered grants the first in order and brings it back, so that the next one may come.
func (r *planFixture) grantAndReturn(id string) {
	r.t.Helper()
	for _, s := range []TurnState{Granted, Returning, Done} {
		if err := r.step(id, s); err != nil {
			r.t.Fatalf("%s to %s: %v", id, s, err)
		}
	}
}

// playRota applies drawn commands, sane and mad, and gives the first broken invariant.
func playRandomCommands(t *testing.T, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 2))
	r := newPlanFixture(t)
	r.t = t
	read := map[string]Turn{} // turns as stale proposers read them
	for range 120 {
		id := fmt.Sprint("s", rng.IntN(8))
		c := Command{Machine: id}
		switch rng.IntN(12) {
		case 0, 1:
			q := request(fmt.Sprint("q", rng.IntN(3)), DisruptionBudget{rng.IntN(4), rng.IntN(3), rng.IntN(3)}, nil, id, fmt.Sprint("s", rng.IntN(8)))
			if rng.IntN(2) == 0 {
				q.Request.CapacityFloor = map[string]float64{"a": float64(rng.IntN(4)), "b": float64(rng.IntN(4))}
			}
			c = q
		case 2:
			c.Op, c.Request.ID = "rota-withdraw", fmt.Sprint("q", rng.IntN(3))
		case 3, 4:
			r.epoch += uint64(rng.IntN(2))
			c = Command{Op: "rota-settle", View: ViewVersion{1, r.epoch}, Costs: map[string]float64{}}
			for i := range 8 {
				c.Costs[fmt.Sprint("s", i)] = rng.Float64()
			}
		case 5, 6:
			n := fmt.Sprint("n", rng.IntN(4))
			c.Op, c.Node, c.Incarnation, c.ListRevision = "rota-confirm", n, r.sessions[n]-uint64(rng.IntN(2))*min(1, r.sessions[n]), r.revision-int64(rng.IntN(3))
		case 7:
			c.Op = []statemachine.Operation{"rota-overdue", "rota-free"}[rng.IntN(2)]
		default:
			c.Op, c.Target = "rota-step", []TurnState{Waiting, Granted, Draining, Quiet, Out, Returning, Done}[rng.IntN(7)]
			if t := r.plan.Turns[id]; t != nil && rng.IntN(2) == 0 {
				c.Target = map[TurnState]TurnState{Waiting: Granted, Granted: Draining, Draining: Quiet, Quiet: Out, Out: Returning, Returning: Done}[t.State]
			}
		}
		c.Revision = read[id].Revision
		if t := r.plan.Turns[id]; t != nil && rng.IntN(3) > 0 {
			c.Revision, read[id] = t.Revision, *t
		}
		switch rng.IntN(15) { // the world moves too
		case 0:
			r.inventory.SetDraining(fmt.Sprint("s", rng.IntN(8)), rng.IntN(2) == 0, 0)
		case 1:
			n := fmt.Sprint("n", rng.IntN(4))
			if r.sessions[n] == 0 || rng.IntN(2) == 0 {
				r.sessions[n] += 1 + uint64(rng.IntN(2))
			} else {
				delete(r.sessions, n)
			}
		}
		if bad := r.applyAndCheck(c); bad != "" {
			return bad
		}
	}
	return r.checkSnapshot()
}

// check applies a command and holds what came of it against the rules, worked out anew.
func (r *planFixture) applyAndCheck(c Command) string {
	before := map[string]Turn{}
	for id, t := range r.plan.Turns {
		before[id] = *t
	}
	was, ok := before[c.Machine]
	err := r.apply(c)
	if err != nil {
		return ""
	}
	now := r.plan.Turns[c.Machine]
	if c.Op == "rota-step" && ok && was.State != c.Target && was.Revision != c.Revision {
		return fmt.Sprintf("a step of %s from revision %d, which stood at %d, was taken", c.Machine, c.Revision, was.Revision)
	}
	if c.Op != "rota-step" || now == nil || was.State == now.State {
		return ""
	}
	switch now.State {
	case Granted:
		return r.checkLimits()
	case Quiet:
		for _, n := range r.sessions.LiveNodes() {
			if was.ConfirmedBy[n] != r.sessions[n] {
				return fmt.Sprintf("%s is quiet, and %s has not confirmed", c.Machine, n)
			}
		}
	}
	return ""
}

// overdrawn names a scope with more out than a binding budget, or a site under a binding floor.
func (r *planFixture) checkLimits() string {
	count, ready := map[string]int{}, map[string]float64{}
	for _, u := range r.inventory.machines {
		t := r.plan.Turns[u.ID]
		if t != nil && t.State != Waiting {
			count["all"]++
			count["site "+u.Site]++
			count[fmt.Sprint("cell ", u.Site, u.Cell)]++
		} else if u.Ready {
			ready[u.Site] += u.Capacity
		}
	}
	for _, t := range r.plan.Turns {
		if t.State == Waiting {
			continue
		}
		for _, id := range t.Requests {
			q := r.plan.Requests[id]
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

// replayed tells whether a snapshot restores the record.
func (r *planFixture) checkSnapshot() string {
	text, err := r.plan.Encode()
	if err != nil {
		return err.Error()
	}
	n := NewPlan(r.inventory, r.sessions)
	if err := n.Decode(text, r.revision); err != nil {
		return err.Error()
	}
	if again, _ := json.Marshal(n); !bytes.Equal(text, again) {
		return "a snapshot restores something else"
	}
	return ""
}

// Whatever commands come, no grant overdraws a budget or a floor, nothing is quiet without every live node, and no step
// is taken from what is no longer so.
func TestInvariantsUnderRandomCommands(t *testing.T) {
	for seed := range uint64(10000) {
		if bad := playRandomCommands(t, seed); bad != "" {
			t.Fatalf("seed %d: %s", seed, bad)
		}
	}
}

// Each check that is left out is caught.
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
			t.Errorf("%s left out: not caught in 2,000 schedules", bug)
		}
	}
}
