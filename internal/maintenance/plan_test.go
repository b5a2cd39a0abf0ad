package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// fakeInventory is an Inventory without a registry.
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

// fakeSessions are Sessions without a registry: the incarnation by node.
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

func (n fakeSessions) VerifyIncarnation(node string, incarnation uint64) error {
	if n[node] != incarnation || incarnation == 0 {
		return errors.New("no")
	}
	return nil
}

// planFixture is a plan over eight machines of two sites and three nodes.
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
	out, err := f.plan.Apply(&c, f.revision+1)
	if err == nil && !out.Unchanged {
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

func (f *planFixture) step(id string, to TurnState) error {
	rev := int64(0)
	if t := f.plan.Turns[id]; t != nil {
		rev = t.Revision
	}
	return f.apply(Command{Op: "rota-step", Machine: id, Revision: rev, Target: to})
}

// settle settles an order by the machines' costs.
func (f *planFixture) settle(costs map[string]float64) {
	f.t.Helper()
	f.epoch++
	f.mustApply(Command{Op: "rota-settle", View: ViewVersion{1, f.epoch}, Costs: costs})
}

func (f *planFixture) confirmAll(id string) {
	f.t.Helper()
	for _, n := range f.sessions.LiveNodes() {
		f.mustApply(Command{Op: "rota-confirm", Machine: id, Node: n, Incarnation: f.sessions[n], ListRevision: f.revision})
	}
}

// advanceTo takes a waiting machine to a state.
func (f *planFixture) advanceTo(id string, to TurnState) {
	f.t.Helper()
	f.settle(map[string]float64{id: 0})
	for _, s := range []TurnState{Granted, Draining, Quiet, Out, Returning, Done} {
		if s == Quiet {
			f.confirmAll(id)
		}
		if err := f.step(id, s); err != nil {
			f.t.Fatalf("%s to %s: %v", id, s, err)
		}
		if s == to {
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

// wantError fails the test unless err is of a kind.
func wantError(t *testing.T, what string, err, kind error) {
	t.Helper()
	if !errors.Is(err, kind) || (kind == nil) != (err == nil) {
		t.Errorf("%s: %v, want %v", what, err, kind)
	}
}

func TestConcurrentProposalsOfDifferentTurns(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1"))
	f.settle(map[string]float64{"s0": 2, "s1": 1})
	wantError(t, "the one that is out of order", f.step("s0", Granted), ErrOutOfOrder)
	read := f.plan.Turns["s1"].Revision
	f.mustApply(Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Granted})
	again := Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Granted}
	wantError(t, "the same step twice", f.apply(again), nil)
	wantError(t, "the other, now next", f.step("s0", Granted), ErrOverBudget)
	stale := Command{Op: "rota-step", Machine: "s1", Revision: read, Target: Draining}
	wantError(t, "a step from what was read before", f.apply(stale), ErrTurnChanged)
	wantError(t, "a skipped state", f.step("s1", Out), ErrInvalidTransition)
}

// A plan that was restored from a snapshot, taken while a machine drained and no node had confirmed, takes confirmations.
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
	wantError(t, "quiet once all have confirmed", f.step("s0", Quiet), nil)
}

func TestQuietNeedsEveryLiveNode(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{}, nil, "s0"))
	f.advanceTo("s0", Draining)
	if f.inventory.machine("s0").Ready {
		t.Error("the list does not say draining")
	}
	drained := f.plan.Turns["s0"].DrainingRevision
	confirm := func(n string, inc uint64, held int64) error {
		return f.apply(Command{Op: "rota-confirm", Machine: "s0", Node: n, Incarnation: inc, ListRevision: held})
	}
	wantError(t, "n0", confirm("n0", 1, drained), nil)
	wantError(t, "n1", confirm("n1", 1, drained), nil)
	wantError(t, "one that does not hold the draining yet", confirm("n2", 1, drained-1), ErrInvalidTransition)
	wantError(t, "quiet without n2", f.step("s0", Quiet), ErrUnconfirmed)
	f.sessions["n2"] = 2 // it started again: a process that has confirmed nothing
	wantError(t, "its older process", confirm("n2", 1, drained), ErrSessionNotHeld)
	wantError(t, "quiet without its newer one", f.step("s0", Quiet), ErrUnconfirmed)
	delete(f.sessions, "n2") // its session ended
	wantError(t, "quiet once it is excused", f.step("s0", Quiet), nil)
}

func TestMachineFailsWhileAnotherIsOut(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 3}, map[string]float64{"a": 2}, "s0", "s1", "s2"))
	f.advanceTo("s0", Out)
	f.advanceTo("s1", Draining)
	f.inventory.SetDraining("s3", true, 0) // failed: a has s2 alone
	f.settle(map[string]float64{"s2": 1})
	wantError(t, "no new grant", f.step("s2", Granted), ErrUnderFloor)
	if got := f.plan.TurnsToRecall(); !slices.Equal(got, []string{"s1"}) {
		t.Errorf("to be called back: %v", got)
	}
	view := PlanView{Order: f.plan.Order, Turns: f.plan.ListTurns(), ToRecall: f.plan.TurnsToRecall()}
	node := NodeState{Node: "n0", Incarnation: 1, FreshNodes: []string{"n0"}, View: ViewVersion{1, 9}}
	for _, c := range Propose(view, node) {
		if c.Machine == "s1" {
			wantError(t, "the one that drains is called back", f.apply(c), nil)
		}
	}
	if x := f.plan.Turns["s1"]; !f.inventory.machine("s1").Ready || x.State != Waiting {
		t.Errorf("called back: %+v", x)
	}
	if len(f.plan.TurnsToRecall()) != 0 {
		t.Error("called back, and to be called back again")
	}
	wantError(t, "the one that is out cannot be", f.step("s0", Waiting), ErrInvalidTransition)
	f.inventory.SetDraining("s3", false, 0)
	wantError(t, "it comes back", errors.Join(f.step("s0", Returning), f.step("s0", Done)), nil)
	f.settle(map[string]float64{"s1": 1, "s2": 2})
	wantError(t, "then the one recalled goes again", f.step("s1", Granted), nil)
}

func TestOverdueMachineOccupiesItsSlot(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1"))
	f.advanceTo("s0", Out)
	turn := f.plan.Turns["s0"]
	free := Command{Op: "rota-free", Machine: "s0", Revision: turn.Revision}
	wantError(t, "freed before it is overdue", f.apply(free), ErrInvalidTransition)
	f.mustApply(Command{Op: "rota-overdue", Machine: "s0", Revision: turn.Revision})
	f.settle(map[string]float64{"s1": 1})
	wantError(t, "its slot is taken", f.step("s1", Granted), ErrOverBudget)
	f.mustApply(Command{Op: "rota-free", Machine: "s0", Revision: f.plan.Turns["s0"].Revision})
	wantError(t, "freed by an operator", f.step("s1", Granted), nil)
}

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
				t.Error("a machine waits for a request that is withdrawn")
			}
			if s == Waiting {
				if len(f.plan.Turns)+len(f.plan.Requests) != 0 {
					t.Errorf("still there: %+v", f.plan)
				}
				return
			}
			f.mustApply(request("other", DisruptionBudget{}, nil, "s2"))
			f.settle(map[string]float64{"s2": 1})
			wantError(t, "the budget binds until the machine is back", f.step("s2", Granted), ErrOverBudget)
			if s != Returning {
				wantError(t, "its way back", f.step("s0", Returning), nil)
			}
			wantError(t, "its end", f.step("s0", Done), nil)
			wantError(t, "then the other", f.step("s2", Granted), nil)
			if _, ok := f.plan.Requests["q"]; ok {
				t.Error("a request without a machine is still there")
			}
		})
	}
}

func TestUnsatisfiableFloorIsRefused(t *testing.T) {
	f := newPlanFixture(t)
	floorOfFour := request("q", DisruptionBudget{}, map[string]float64{"a": 4}, "s0")
	wantError(t, "four machines of a site and a floor of four", f.apply(floorOfFour), ErrUnderFloor)
	wantError(t, "a machine that is not listed", f.apply(request("q", DisruptionBudget{}, nil, "s99")), ErrNotFound)
	if len(f.plan.Requests)+len(f.plan.Turns) != 0 || f.revision != 0 {
		t.Error("refused, but stored")
	}
	wantError(t, "three", f.apply(request("q", DisruptionBudget{}, map[string]float64{"a": 3}, "s0", "s1")), nil)
	f.settle(map[string]float64{"s0": 1, "s1": 2})
	wantError(t, "the first", f.step("s0", Granted), nil)
	wantError(t, "the second", f.step("s1", Granted), ErrUnderFloor)
}

func TestBudgetLoweredBelowPresentDisruption(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 3}, nil, "s0", "s1", "s4"))
	f.advanceTo("s0", Out)
	f.advanceTo("s1", Out)
	f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1", "s4"))
	f.settle(map[string]float64{"s4": 1})
	wantError(t, "nothing new", f.step("s4", Granted), ErrOverBudget)
	for _, id := range []string{"s0", "s1"} {
		if f.plan.Turns[id].State != Out {
			t.Errorf("%s is %s: what is out stays out", id, f.plan.Turns[id].State)
		}
		wantError(t, "back", errors.Join(f.step(id, Returning), f.step(id, Done)), nil)
	}
	wantError(t, "with both back", f.step("s4", Granted), nil)
}

// Requests that overlap are merged: a machine has one turn, and the tightest budget of the requests that name it binds.
func TestOverlappingRequestsAreMerged(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("wide", DisruptionBudget{PerSite: 2}, nil, "s0", "s1", "s2"))
	f.mustApply(request("tight", DisruptionBudget{PerCell: 1}, nil, "s0", "s1"))
	if n := len(f.plan.Turns); n != 3 || len(f.plan.Turns["s0"].Requests) != 2 {
		t.Fatalf("%d turns, %+v", n, f.plan.Turns["s0"])
	}
	f.settle(map[string]float64{"s0": 1, "s1": 2, "s2": 3})
	wantError(t, "s0", f.step("s0", Granted), nil)
	wantError(t, "s1 of the same cell", f.step("s1", Granted), ErrOverBudget)
	wantError(t, "s2 of another, as the first that fits", f.step("s2", Granted), nil)
}

// The cheapest goes first and one of unknown cost last; an expensive machine goes in the end, however many
// cheap ones come after it.
func TestOrderByCostAndAge(t *testing.T) {
	f := newPlanFixture(t)
	f.mustApply(request("q", DisruptionBudget{Total: 1}, nil, "s0", "s1", "s2"))
	c := Command{Op: "rota-settle", View: ViewVersion{1, 1}, Costs: map[string]float64{"s1": 2, "s2": 1}}
	f.mustApply(c)
	if want := []string{"s2", "s1", "s0"}; !slices.Equal(f.plan.Order, want) {
		t.Errorf("order %v, want %v", f.plan.Order, want)
	}
	wantError(t, "an older epoch", f.apply(c), ErrTurnChanged)
	f.epoch = 1
	for n := 1; ; n++ {
		cheap := []string{"s4", "s5"}[n%2] // cheap ones keep coming
		f.mustApply(request(fmt.Sprint("new", n), DisruptionBudget{Total: 1}, nil, cheap))
		f.settle(map[string]float64{"s0": 5, "s1": 5, "s2": 10, "s4": 1, "s5": 1})
		if f.plan.Order[0] == "s2" || f.plan.Order[0] == "s0" || f.plan.Order[0] == "s1" {
			break
		}
		if n > 2/agingFraction {
			t.Fatalf("after %d settlements %v", n, f.plan.Order)
		}
		id := f.plan.Order[0]
		f.grantAndReturn(id)
	}
}

// grantAndReturn grants the first machine in order and brings it back, so that the next one may go.
func (f *planFixture) grantAndReturn(id string) {
	f.t.Helper()
	for _, s := range []TurnState{Granted, Returning, Done} {
		if err := f.step(id, s); err != nil {
			f.t.Fatalf("%s to %s: %v", id, s, err)
		}
	}
}
