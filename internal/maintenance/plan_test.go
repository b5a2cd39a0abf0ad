package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// fakeInventory implements Inventory without a registry.
type fakeInventory struct{ machines []Machine }

func (inventory *fakeInventory) Machines() []Machine { return inventory.machines }

func (inventory *fakeInventory) SetDraining(id string, draining bool, _ int64) {
	for i := range inventory.machines {
		if inventory.machines[i].ID == id {
			inventory.machines[i].Ready = !draining
		}
	}
}

func (inventory *fakeInventory) machine(id string) Machine {
	return inventory.machines[slices.IndexFunc(inventory.machines, func(m Machine) bool { return m.ID == id })]
}

// fakeSessions implements Sessions without a registry. It maps each node to the incarnation of its open session.
type fakeSessions map[string]uint64

func (sessions fakeSessions) LiveNodes() []string {
	var nodes []string
	for i := range 9 {
		if node := fmt.Sprint("n", i); sessions[node] != 0 {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (sessions fakeSessions) VerifyIncarnation(node string, incarnation uint64) error {
	if sessions[node] != incarnation || incarnation == 0 {
		return errors.New("the incarnation has no open session")
	}
	return nil
}

// planFixture is a plan with three nodes and eight machines at two sites.
type planFixture struct {
	t         *testing.T
	inventory *fakeInventory
	sessions  fakeSessions
	plan      *Plan
	revision  int64
	epoch     uint64
}

func newPlanFixture(t *testing.T) *planFixture {
	f := &planFixture{t: t, inventory: &fakeInventory{}, sessions: fakeSessions{"n0": 1, "n1": 1, "n2": 1}}
	for i := range 8 {
		machine := Machine{ID: fmt.Sprint("s", i), Site: []string{"a", "b"}[i/4], Cell: i / 2, Capacity: 1, Ready: true}
		f.inventory.machines = append(f.inventory.machines, machine)
	}
	f.plan = NewPlan(f.inventory, f.sessions)
	return f
}

func (f *planFixture) apply(c Command) error {
	outcome, err := f.plan.Apply(&c, f.revision+1)
	if err == nil && !outcome.Unchanged {
		f.revision++
	}
	return err
}

func (f *planFixture) mustApply(c Command) {
	f.t.Helper()
	if err := f.apply(c); err != nil {
		f.t.Fatalf("%s %s: %v", c.Op, c.Machine, err)
	}
}

// step proposes a step from the current revision of a turn.
func (f *planFixture) step(id string, target TurnState) error {
	revision := int64(0)
	if t := f.plan.Turns[id]; t != nil {
		revision = t.Revision
	}
	return f.apply(Command{Op: "rota-step", Machine: id, Revision: revision, Target: target})
}

// settle settles an order on a new view with the given costs of the machines.
func (f *planFixture) settle(costs map[string]float64) {
	f.t.Helper()
	f.epoch++
	f.mustApply(Command{Op: "rota-settle", View: ViewVersion{1, f.epoch}, Costs: costs})
}

func (f *planFixture) confirmAll(id string) {
	f.t.Helper()
	for _, node := range f.sessions.LiveNodes() {
		f.mustApply(Command{
			Op:           "rota-confirm",
			Machine:      id,
			Node:         node,
			Incarnation:  f.sessions[node],
			ListRevision: f.revision,
		})
	}
}

// advanceTo takes a waiting machine through its turn to the given state.
func (f *planFixture) advanceTo(id string, target TurnState) {
	f.t.Helper()
	f.settle(map[string]float64{id: 0})
	for _, s := range []TurnState{Granted, Draining, Quiet, Out, Returning, Done} {
		if s == Quiet {
			f.confirmAll(id)
		}
		if err := f.step(id, s); err != nil {
			f.t.Fatalf("%s to %s: %v", id, s, err)
		}
		if s == target {
			return
		}
	}
}

func request(id string, budget DisruptionBudget, floor map[string]float64, machines ...string) Command {
	return Command{Op: "rota-request", Request: Request{
		ID:             id,
		Machines:       machines,
		Reason:         "kernel",
		ExpectedWorkMs: 1000,
		Budget:         budget,
		CapacityFloor:  floor,
	}}
}

// wantError fails the test unless err matches want by errors.Is, or both are nil.
func wantError(t *testing.T, attempt string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) || (want == nil) != (err == nil) {
		t.Errorf("%s: %v, want %v", attempt, err, want)
	}
}

// If several nodes propose steps at the same time, the plan accepts only the steps that fit the order and the budget
// and that name the current revision of their turn.
func TestConcurrentProposals(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1"))
	f.settle(map[string]float64{"s0": 2, "s1": 1})
	wantError(t, "grant of s0, which is second in the order", f.step("s0", Granted), ErrOutOfOrder)
	read := f.plan.Turns["s1"].Revision
	f.mustApply(Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Granted})
	repeated := Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Granted}
	wantError(t, "the same step again", f.apply(repeated), nil)
	wantError(t, "grant of s0, which is now first in the order", f.step("s0", Granted), ErrOverBudget)
	stale := Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Draining}
	wantError(t, "a step that names an old revision", f.apply(stale), ErrTurnChanged)
	wantError(t, "a step that skips states", f.step("s1", Out), ErrInvalidTransition)
}

// A plan that was restored from a snapshot, taken while a machine drained and no node had confirmed, takes
// confirmations.
func TestConfirmationAfterRestore(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{}, nil, "s0"))
	f.advanceTo("s0", Draining)
	snapshot, err := f.plan.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.plan.Decode(snapshot, f.revision); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("the confirmation panicked: %v", r)
		}
	}()
	f.confirmAll("s0")
	wantError(t, "quiet after all nodes have confirmed", f.step("s0", Quiet), nil)
}

// A machine becomes quiet only when the current process of every live node has confirmed.
func TestMachineIsQuietOnlyAfterEveryLiveNodeConfirms(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{}, nil, "s0"))
	f.advanceTo("s0", Draining)
	if f.inventory.machine("s0").Ready {
		t.Error("the member list does not have the machine as draining")
	}
	draining := f.plan.Turns["s0"].DrainingRevision
	confirm := func(node string, incarnation uint64, listRevision int64) error {
		return f.apply(Command{
			Op:           "rota-confirm",
			Machine:      "s0",
			Node:         node,
			Incarnation:  incarnation,
			ListRevision: listRevision,
		})
	}
	wantError(t, "confirmation of n0", confirm("n0", 1, draining), nil)
	wantError(t, "confirmation of n1", confirm("n1", 1, draining), nil)
	wantError(t, "confirmation of n2 with an older member list", confirm("n2", 1, draining-1), ErrInvalidTransition)
	wantError(t, "quiet without a confirmation of n2", f.step("s0", Quiet), ErrUnconfirmed)
	f.sessions["n2"] = 2 // a new process of n2, which has not confirmed
	wantError(t, "confirmation of the older process of n2", confirm("n2", 1, draining), ErrSessionNotHeld)
	wantError(t, "quiet without a confirmation of the new process of n2", f.step("s0", Quiet), ErrUnconfirmed)
	delete(f.sessions, "n2")
	wantError(t, "quiet after the session of n2 has ended", f.step("s0", Quiet), nil)
}

// If a machine fails while another is out, so that a floor no longer holds, then no machine is granted, the draining
// machine is recalled, and the machine that is out stays out.
func TestMachineFailsWhileAnotherIsOut(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 3}, map[string]float64{"a": 2}, "s0", "s1", "s2"))
	f.advanceTo("s0", Out)
	f.advanceTo("s1", Draining)
	f.inventory.SetDraining("s3", true, 0) // s3 fails: s2 is the only machine of site a that is still ready
	f.settle(map[string]float64{"s2": 1})
	wantError(t, "grant below the floor", f.step("s2", Granted), ErrUnderFloor)
	if got := f.plan.TurnsToRecall(); !slices.Equal(got, []string{"s1"}) {
		t.Errorf("to be recalled: %v, want s1", got)
	}
	view := PlanView{Order: f.plan.Order, Turns: f.plan.ListTurns(), ToRecall: f.plan.TurnsToRecall()}
	node := NodeState{Node: "n0", Incarnation: 1, FreshNodes: []string{"n0"}, View: ViewVersion{1, 9}}
	for _, c := range Propose(view, node) {
		if c.Machine == "s1" {
			wantError(t, "recall of s1, which drains", f.apply(c), nil)
		}
	}
	if turn := f.plan.Turns["s1"]; !f.inventory.machine("s1").Ready || turn.State != Waiting {
		t.Errorf("after the recall: turn %+v, want a ready machine whose turn is waiting", turn)
	}
	if len(f.plan.TurnsToRecall()) != 0 {
		t.Error("a machine is still to be recalled after the recall")
	}
	wantError(t, "recall of s0, which is out", f.step("s0", Waiting), ErrInvalidTransition)
	f.inventory.SetDraining("s3", false, 0)
	wantError(t, "return of s0", errors.Join(f.step("s0", Returning), f.step("s0", Done)), nil)
	f.settle(map[string]float64{"s1": 1, "s2": 2})
	wantError(t, "another grant of s1", f.step("s1", Granted), nil)
}

// An overdue machine keeps its slot until an operator frees it.
func TestOverdueMachineOccupiesItsSlot(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1"))
	f.advanceTo("s0", Out)
	turn := f.plan.Turns["s0"]
	free := Command{Op: "rota-free", Machine: "s0", Revision: turn.Revision}
	wantError(t, "free before the turn is overdue", f.apply(free), ErrInvalidTransition)
	f.mustApply(Command{Op: "rota-overdue", Machine: "s0", Revision: turn.Revision})
	f.settle(map[string]float64{"s1": 1})
	wantError(t, "grant while the overdue machine has the slot", f.step("s1", Granted), ErrOverBudget)
	f.mustApply(Command{Op: "rota-free", Machine: "s0", Revision: f.plan.Turns["s0"].Revision})
	wantError(t, "grant after the slot was freed", f.step("s1", Granted), nil)
}

// A withdrawn request no longer applies to waiting machines. A machine that is past waiting finishes its turn, and the
// request's budget applies until then.
func TestRequestIsWithdrawnInEachState(t *testing.T) {
	for _, s := range []TurnState{Waiting, Granted, Draining, Quiet, Out, Returning} {
		t.Run(string(s), func(t *testing.T) {
			f := newPlanFixture(t)
			f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1"))
			if s != Waiting {
				f.advanceTo("s0", s)
			}
			f.mustApply(Command{Op: "rota-withdraw", Request: Request{ID: "q"}})
			if f.plan.Turns["s1"] != nil || len(f.plan.Order) != 0 {
				t.Error("a machine waits for a withdrawn request")
			}
			if s == Waiting {
				if len(f.plan.Turns)+len(f.plan.Requests) != 0 {
					t.Errorf("the plan is not empty: %+v", f.plan)
				}
				return
			}
			f.mustApply(request("other", DisruptionBudget{}, nil, "s2"))
			f.settle(map[string]float64{"s2": 1})
			wantError(t, "grant before the machine is back", f.step("s2", Granted), ErrOverBudget)
			if s != Returning {
				wantError(t, "return of s0", f.step("s0", Returning), nil)
			}
			wantError(t, "end of the turn of s0", f.step("s0", Done), nil)
			wantError(t, "grant after the machine is back", f.step("s2", Granted), nil)
			if _, ok := f.plan.Requests["q"]; ok {
				t.Error("the request remains without a turn")
			}
		})
	}
}

// A request whose floor cannot hold with one of its machines out is rejected and not stored.
func TestUnsatisfiableFloorIsRejected(t *testing.T) {
	f := newPlanFixture(t)
	floorOfFour := request("q", DisruptionBudget{}, map[string]float64{"a": 4}, "s0")
	wantError(t, "a floor of four at a site with four machines", f.apply(floorOfFour), ErrUnderFloor)
	wantError(t, "a machine that is not listed", f.apply(request("q", DisruptionBudget{}, nil, "s99")), ErrNotFound)
	if len(f.plan.Requests)+len(f.plan.Turns) != 0 || f.revision != 0 {
		t.Error("a rejected request is stored")
	}
	floorOfThree := request("q", DisruptionBudget{}, map[string]float64{"a": 3}, "s0", "s1")
	wantError(t, "a floor of three", f.apply(floorOfThree), nil)
	f.settle(map[string]float64{"s0": 1, "s1": 2})
	wantError(t, "grant of the first machine", f.step("s0", Granted), nil)
	wantError(t, "grant of a second machine", f.step("s1", Granted), ErrUnderFloor)
}

// A budget that is lowered below the number of machines out prevents further grants, and recalls no machine.
func TestBudgetLoweredBelowPresentDisruption(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 3}, nil, "s0", "s1", "s4"))
	f.advanceTo("s0", Out)
	f.advanceTo("s1", Out)
	f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1", "s4"))
	f.settle(map[string]float64{"s4": 1})
	wantError(t, "grant above the lowered budget", f.step("s4", Granted), ErrOverBudget)
	for _, id := range []string{"s0", "s1"} {
		if f.plan.Turns[id].State != Out {
			t.Errorf("%s is %s, want %s", id, f.plan.Turns[id].State, Out)
		}
		wantError(t, "return of "+id, errors.Join(f.step(id, Returning), f.step(id, Done)), nil)
	}
	wantError(t, "grant after both machines are back", f.step("s4", Granted), nil)
}

// Requests that overlap are merged: a machine has one turn, and the budgets of all requests that name it apply.
func TestOverlappingRequestsAreMerged(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("wide", DisruptionBudget{PerSite: 2}, nil, "s0", "s1", "s2"))
	f.mustApply(request("tight", DisruptionBudget{PerCell: 1}, nil, "s0", "s1"))
	if n := len(f.plan.Turns); n != 3 || len(f.plan.Turns["s0"].Requests) != 2 {
		t.Fatalf("%d turns, want 3; the turn of s0 is %+v, want two requests", n, f.plan.Turns["s0"])
	}
	f.settle(map[string]float64{"s0": 1, "s1": 2, "s2": 3})
	wantError(t, "grant of s0", f.step("s0", Granted), nil)
	wantError(t, "grant of s1 in the same cell", f.step("s1", Granted), ErrOverBudget)
	wantError(t, "grant of s2 in another cell, the first machine that fits", f.step("s2", Granted), nil)
}

// The cheapest machine goes first and a machine of unknown cost last. An expensive machine gets its turn although cheap
// machines keep being added after it.
func TestOrderByCostAndAge(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1", "s2"))
	settle := Command{Op: "rota-settle", View: ViewVersion{1, 1}, Costs: map[string]float64{"s1": 2, "s2": 1}}
	f.mustApply(settle)
	if want := []string{"s2", "s1", "s0"}; !slices.Equal(f.plan.Order, want) {
		t.Errorf("order %v, want %v", f.plan.Order, want)
	}
	wantError(t, "an order on the same view again", f.apply(settle), ErrTurnChanged)
	f.epoch = 1
	for n := 1; ; n++ {
		cheap := []string{"s4", "s5"}[n%2]
		f.mustApply(request(fmt.Sprint("new", n), DisruptionBudget{Total: 1}, nil, cheap))
		f.settle(map[string]float64{"s0": 5, "s1": 5, "s2": 10, "s4": 1, "s5": 1})
		if f.plan.Order[0] == "s2" || f.plan.Order[0] == "s0" || f.plan.Order[0] == "s1" {
			break
		}
		if n > 2/agingFraction {
			t.Fatalf("after %d settlements the order is still %v", n, f.plan.Order)
		}
		id := f.plan.Order[0]
		f.grantAndReturn(id)
	}
}

// grantAndReturn grants the first machine in the order and brings it back, so that the next machine can be granted.
func (f *planFixture) grantAndReturn(id string) {
	f.t.Helper()
	for _, s := range []TurnState{Granted, Returning, Done} {
		if err := f.step(id, s); err != nil {
			f.t.Fatalf("%s to %s: %v", id, s, err)
		}
	}
}
