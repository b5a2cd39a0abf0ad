package maintenance

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// fakeList is the list beside the record, and fakeNodes the sessions.
type fakeList struct{ units []Unit }

func (l *fakeList) Units() []Unit { return l.units }
func (l *fakeList) SetDraining(id string, draining bool, _ int64) {
	for i := range l.units {
		if l.units[i].ID == id {
			l.units[i].Ready = !draining
		}
	}
}

func (l *fakeList) unit(id string) Unit {
	return l.units[slices.IndexFunc(l.units, func(u Unit) bool { return u.ID == id })]
}

type fakeNodes map[string]uint64

func (n fakeNodes) Live() []string {
	var out []string
	for i := range 9 {
		if name := fmt.Sprint("n", i); n[name] != 0 {
			out = append(out, name)
		}
	}
	return out
}

func (n fakeNodes) Holds(node string, incarnation uint64) error {
	if n[node] != incarnation || incarnation == 0 {
		return errors.New("no")
	}
	return nil
}

// rig is a record with eight machines of two sites and three nodes.
type rig struct {
	t     *testing.T
	list  *fakeList
	nodes fakeNodes
	rota  *Rota
	rev   int64
	epoch uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, list: &fakeList{}, nodes: fakeNodes{"n0": 1, "n1": 1, "n2": 1}}
	for i := range 8 {
		r.list.units = append(r.list.units, Unit{ID: fmt.Sprint("s", i), Site: []string{"a", "b"}[i/4], Cell: i / 2, Size: 1, Ready: true})
	}
	r.rota = New(r.list, r.nodes)
	return r
}

func (r *rig) do(c Command) error {
	out, err := r.rota.Apply(&c, r.rev+1)
	if err == nil && !out.Unchanged {
		r.rev++
	}
	return err
}

func (r *rig) must(c Command) {
	r.t.Helper()
	if err := r.do(c); err != nil {
		r.t.Fatalf("%s %s: %v", c.Op, c.Machine, err)
	}
}

func (r *rig) step(id string, to State) error {
	rev := int64(0)
	if t := r.rota.Turns[id]; t != nil {
		rev = t.Rev
	}
	return r.do(Command{Op: "rota-step", Machine: id, Rev: rev, To: to})
}

// settle settles an order by the machines' costs.
func (r *rig) settle(costs map[string]float64) {
	r.t.Helper()
	r.epoch++
	r.must(Command{Op: "rota-settle", Epoch: Stamp{1, r.epoch}, Costs: costs})
}

func (r *rig) confirmAll(id string) {
	r.t.Helper()
	for _, n := range r.nodes.Live() {
		r.must(Command{Op: "rota-confirm", Machine: id, Node: n, Incarnation: r.nodes[n], Held: r.rev})
	}
}

// bring takes a machine that waits to a state.
func (r *rig) bring(id string, to State) {
	r.t.Helper()
	r.settle(map[string]float64{id: 0})
	for _, s := range []State{Granted, Draining, Quiet, Out, Returning, Done} {
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

func request(id string, budget Budget, floor map[string]float64, machines ...string) Command {
	return Command{Op: "rota-request", Request: Request{ID: id, Machines: machines, Reason: "kernel", LengthMs: 1000, Budget: budget, Floor: floor}}
}

// want fails the test unless err is of a kind.
func want(t *testing.T, what string, err, kind error) {
	t.Helper()
	if !errors.Is(err, kind) || (kind == nil) != (err == nil) {
		t.Errorf("%s: %v, want %v", what, err, kind)
	}
}

func TestTwoNodesProposeDifferentTurnsAtOnce(t *testing.T) {
	r := newRig(t)
	r.must(request("q", Budget{All: 1}, nil, "s0", "s1"))
	r.settle(map[string]float64{"s0": 2, "s1": 1})
	want(t, "the one that is out of order", r.step("s0", Granted), ErrOrder)
	read := r.rota.Turns["s1"].Rev
	r.must(Command{Op: "rota-step", Machine: "s1", Rev: read, To: Granted})
	want(t, "the same step twice", r.do(Command{Op: "rota-step", Machine: "s1", Rev: read, To: Granted}), nil)
	want(t, "the other, now next", r.step("s0", Granted), ErrBudget)
	want(t, "a step from what was read before", r.do(Command{Op: "rota-step", Machine: "s1", Rev: read, To: Draining}), ErrChanged)
	want(t, "a step left out", r.step("s1", Out), ErrStep)
}

func TestNodeThatNeverConfirms(t *testing.T) {
	r := newRig(t)
	r.must(request("q", Budget{}, nil, "s0"))
	r.bring("s0", Draining)
	if r.list.unit("s0").Ready {
		t.Error("the list does not say draining")
	}
	drained := r.rota.Turns["s0"].Drained
	confirm := func(n string, inc uint64, held int64) error {
		return r.do(Command{Op: "rota-confirm", Machine: "s0", Node: n, Incarnation: inc, Held: held})
	}
	want(t, "n0", confirm("n0", 1, drained), nil)
	want(t, "n1", confirm("n1", 1, drained), nil)
	want(t, "one that does not hold the draining yet", confirm("n2", 1, drained-1), ErrStep)
	want(t, "quiet without n2", r.step("s0", Quiet), ErrUnconfirmed)
	r.nodes["n2"] = 2 // it started again: a process that has confirmed nothing
	want(t, "its older process", confirm("n2", 1, drained), ErrSession)
	want(t, "quiet without its newer one", r.step("s0", Quiet), ErrUnconfirmed)
	delete(r.nodes, "n2") // its session ended
	want(t, "quiet once it is excused", r.step("s0", Quiet), nil)
}

func TestMachineDiesWhileAnotherIsOut(t *testing.T) {
	r := newRig(t)
	r.must(request("q", Budget{All: 3}, map[string]float64{"a": 2}, "s0", "s1", "s2"))
	r.bring("s0", Out)
	r.bring("s1", Draining)
	r.list.SetDraining("s3", true, 0) // dead: a has s2 alone
	r.settle(map[string]float64{"s2": 1})
	want(t, "no new grant", r.step("s2", Granted), ErrFloor)
	if got := r.rota.Short(); !slices.Equal(got, []string{"s1"}) {
		t.Errorf("to be called back: %v", got)
	}
	board := Board{Order: r.rota.Order, Turns: r.rota.All(), Short: r.rota.Short()}
	for _, c := range Next(board, Local{Node: "n0", Incarnation: 1, Nodes: []string{"n0"}, View: Stamp{1, 9}}) {
		if c.Machine == "s1" {
			want(t, "the one that drains is called back", r.do(c), nil)
		}
	}
	if x := r.rota.Turns["s1"]; !r.list.unit("s1").Ready || x.State != Waiting {
		t.Errorf("called back: %+v", x)
	}
	if len(r.rota.Short()) != 0 {
		t.Error("called back, and to be called back again")
	}
	want(t, "the one that is out cannot be", r.step("s0", Waiting), ErrStep)
	r.list.SetDraining("s3", false, 0)
	want(t, "it comes back", errors.Join(r.step("s0", Returning), r.step("s0", Done)), nil)
	r.settle(map[string]float64{"s1": 1, "s2": 2})
	want(t, "then the one called back goes again", r.step("s1", Granted), nil)
}

func TestMachineThatNeverComesBackKeepsItsSlot(t *testing.T) {
	r := newRig(t)
	r.must(request("q", Budget{All: 1}, nil, "s0", "s1"))
	r.bring("s0", Out)
	turn := r.rota.Turns["s0"]
	want(t, "freed before it is overdue", r.do(Command{Op: "rota-free", Machine: "s0", Rev: turn.Rev}), ErrStep)
	r.must(Command{Op: "rota-overdue", Machine: "s0", Rev: turn.Rev})
	r.settle(map[string]float64{"s1": 1})
	want(t, "its slot is taken", r.step("s1", Granted), ErrBudget)
	r.must(Command{Op: "rota-free", Machine: "s0", Rev: r.rota.Turns["s0"].Rev})
	want(t, "freed by an operator's word", r.step("s1", Granted), nil)
}

func TestRequestIsWithdrawnInEachState(t *testing.T) {
	for _, s := range []State{Waiting, Granted, Draining, Quiet, Out, Returning} {
		t.Run(string(s), func(t *testing.T) {
			r := newRig(t)
			r.must(request("q", Budget{All: 1}, nil, "s0", "s1"))
			if s != Waiting {
				r.bring("s0", s)
			}
			r.must(Command{Op: "rota-withdraw", Request: Request{ID: "q"}})
			if r.rota.Turns["s1"] != nil || len(r.rota.Order) != 0 {
				t.Error("a machine waits for a request that is withdrawn")
			}
			if s == Waiting {
				if len(r.rota.Turns)+len(r.rota.Requests) != 0 {
					t.Errorf("left behind: %+v", r.rota)
				}
				return
			}
			r.must(request("other", Budget{}, nil, "s2"))
			r.settle(map[string]float64{"s2": 1})
			want(t, "the budget binds until the machine is back", r.step("s2", Granted), ErrBudget)
			if s != Returning {
				want(t, "its way back", r.step("s0", Returning), nil)
			}
			want(t, "its end", r.step("s0", Done), nil)
			want(t, "then the other", r.step("s2", Granted), nil)
			if _, ok := r.rota.Requests["q"]; ok {
				t.Error("a request without a machine is kept")
			}
		})
	}
}

func TestFloorThatCanNeverBeMet(t *testing.T) {
	r := newRig(t)
	want(t, "four machines of a site and a floor of four", r.do(request("q", Budget{}, map[string]float64{"a": 4}, "s0")), ErrFloor)
	want(t, "a machine that is not listed", r.do(request("q", Budget{}, nil, "s99")), ErrUnknown)
	if len(r.rota.Requests)+len(r.rota.Turns) != 0 || r.rev != 0 {
		t.Error("refused and kept")
	}
	want(t, "three", r.do(request("q", Budget{}, map[string]float64{"a": 3}, "s0", "s1")), nil)
	r.settle(map[string]float64{"s0": 1, "s1": 2})
	want(t, "the first", r.step("s0", Granted), nil)
	want(t, "the second", r.step("s1", Granted), ErrFloor)
}

func TestBudgetLoweredBelowWhatIsOut(t *testing.T) {
	r := newRig(t)
	r.must(request("q", Budget{All: 3}, nil, "s0", "s1", "s4"))
	r.bring("s0", Out)
	r.bring("s1", Out)
	r.must(request("q", Budget{All: 1}, nil, "s0", "s1", "s4"))
	r.settle(map[string]float64{"s4": 1})
	want(t, "nothing new", r.step("s4", Granted), ErrBudget)
	for _, id := range []string{"s0", "s1"} {
		if r.rota.Turns[id].State != Out {
			t.Errorf("%s is %s: what is out stays out", id, r.rota.Turns[id].State)
		}
		want(t, "back", errors.Join(r.step(id, Returning), r.step(id, Done)), nil)
	}
	want(t, "with both back", r.step("s4", Granted), nil)
}

// Requests that overlap are merged: a machine has one turn, and the tightest budget of any that ask for it binds.
func TestOverlappingRequestsAreMerged(t *testing.T) {
	r := newRig(t)
	r.must(request("wide", Budget{Site: 2}, nil, "s0", "s1", "s2"))
	r.must(request("tight", Budget{Cell: 1}, nil, "s0", "s1"))
	if n := len(r.rota.Turns); n != 3 || len(r.rota.Turns["s0"].Requests) != 2 {
		t.Fatalf("%d turns, %+v", n, r.rota.Turns["s0"])
	}
	r.settle(map[string]float64{"s0": 1, "s1": 2, "s2": 3})
	want(t, "s0", r.step("s0", Granted), nil)
	want(t, "s1 of the same cell", r.step("s1", Granted), ErrBudget)
	want(t, "s2 of another, as the first that fits", r.step("s2", Granted), nil)
}

// The cheapest goes first and one whose cost nobody knows last; a machine that is dear goes in the end, however many
// cheap ones come after it.
func TestOrderOfCostAndAge(t *testing.T) {
	r := newRig(t)
	r.must(request("q", Budget{All: 1}, nil, "s0", "s1", "s2"))
	c := Command{Op: "rota-settle", Epoch: Stamp{1, 1}, Costs: map[string]float64{"s1": 2, "s2": 1}}
	r.must(c)
	if want := []string{"s2", "s1", "s0"}; !slices.Equal(r.rota.Order, want) {
		t.Errorf("order %v, want %v", r.rota.Order, want)
	}
	want(t, "an older epoch", r.do(c), ErrChanged)
	r.epoch = 1
	for n := 1; ; n++ {
		r.must(request(fmt.Sprint("new", n), Budget{All: 1}, nil, []string{"s4", "s5"}[n%2])) // cheap ones keep coming
		r.settle(map[string]float64{"s0": 5, "s1": 5, "s2": 10, "s4": 1, "s5": 1})
		if r.rota.Order[0] == "s2" || r.rota.Order[0] == "s0" || r.rota.Order[0] == "s1" {
			break
		}
		if n > 2/ageShare {
			t.Fatalf("after %d settlements %v", n, r.rota.Order)
		}
		id := r.rota.Order[0]
		r.bringOrdered(id)
	}
}

// bringOrdered grants the first in order and brings it back, so that the next one may come.
func (r *rig) bringOrdered(id string) {
	r.t.Helper()
	for _, s := range []State{Granted, Returning, Done} {
		if err := r.step(id, s); err != nil {
			r.t.Fatalf("%s to %s: %v", id, s, err)
		}
	}
}

// playRota applies drawn commands, sane and mad, and gives the first broken invariant.
func playRota(t *testing.T, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 2))
	r := newRig(t)
	r.t = t
	read := map[string]Turn{} // turns as stale proposers read them
	for range 120 {
		id := fmt.Sprint("s", rng.IntN(8))
		c := Command{Machine: id}
		switch rng.IntN(12) {
		case 0, 1:
			q := request(fmt.Sprint("q", rng.IntN(3)), Budget{rng.IntN(4), rng.IntN(3), rng.IntN(3)}, nil, id, fmt.Sprint("s", rng.IntN(8)))
			if rng.IntN(2) == 0 {
				q.Request.Floor = map[string]float64{"a": float64(rng.IntN(4)), "b": float64(rng.IntN(4))}
			}
			c = q
		case 2:
			c.Op, c.Request.ID = "rota-withdraw", fmt.Sprint("q", rng.IntN(3))
		case 3, 4:
			r.epoch += uint64(rng.IntN(2))
			c = Command{Op: "rota-settle", Epoch: Stamp{1, r.epoch}, Costs: map[string]float64{}}
			for i := range 8 {
				c.Costs[fmt.Sprint("s", i)] = rng.Float64()
			}
		case 5, 6:
			n := fmt.Sprint("n", rng.IntN(4))
			c.Op, c.Node, c.Incarnation, c.Held = "rota-confirm", n, r.nodes[n]-uint64(rng.IntN(2))*min(1, r.nodes[n]), r.rev-int64(rng.IntN(3))
		case 7:
			c.Op = []string{"rota-overdue", "rota-free"}[rng.IntN(2)]
		default:
			c.Op, c.To = "rota-step", []State{Waiting, Granted, Draining, Quiet, Out, Returning, Done}[rng.IntN(7)]
			if t := r.rota.Turns[id]; t != nil && rng.IntN(2) == 0 {
				c.To = map[State]State{Waiting: Granted, Granted: Draining, Draining: Quiet, Quiet: Out, Out: Returning, Returning: Done}[t.State]
			}
		}
		c.Rev = read[id].Rev
		if t := r.rota.Turns[id]; t != nil && rng.IntN(3) > 0 {
			c.Rev, read[id] = t.Rev, *t
		}
		switch rng.IntN(15) { // the world moves too
		case 0:
			r.list.SetDraining(fmt.Sprint("s", rng.IntN(8)), rng.IntN(2) == 0, 0)
		case 1:
			n := fmt.Sprint("n", rng.IntN(4))
			if r.nodes[n] == 0 || rng.IntN(2) == 0 {
				r.nodes[n] += 1 + uint64(rng.IntN(2))
			} else {
				delete(r.nodes, n)
			}
		}
		if bad := r.check(c); bad != "" {
			return bad
		}
	}
	return r.replayed()
}

// check applies a command and holds what came of it against the rules, worked out anew.
func (r *rig) check(c Command) string {
	before := map[string]Turn{}
	for id, t := range r.rota.Turns {
		before[id] = *t
	}
	was, ok := before[c.Machine]
	err := r.do(c)
	if err != nil {
		return ""
	}
	now := r.rota.Turns[c.Machine]
	if c.Op == "rota-step" && ok && was.State != c.To && was.Rev != c.Rev {
		return fmt.Sprintf("a step of %s from revision %d, which stood at %d, was taken", c.Machine, c.Rev, was.Rev)
	}
	if c.Op != "rota-step" || now == nil || was.State == now.State {
		return ""
	}
	switch now.State {
	case Granted:
		return r.overdrawn()
	case Quiet:
		for _, n := range r.nodes.Live() {
			if was.Confirmed[n] != r.nodes[n] {
				return fmt.Sprintf("%s is quiet, and %s has not confirmed", c.Machine, n)
			}
		}
	}
	return ""
}

// overdrawn names a scope with more out than a binding budget, or a site under a binding floor.
func (r *rig) overdrawn() string {
	count, ready := map[string]int{}, map[string]float64{}
	for _, u := range r.list.units {
		t := r.rota.Turns[u.ID]
		if t != nil && t.State != Waiting {
			count["all"]++
			count["site "+u.Site]++
			count[fmt.Sprint("cell ", u.Site, u.Cell)]++
		} else if u.Ready {
			ready[u.Site] += u.Size
		}
	}
	for _, t := range r.rota.Turns {
		if t.State == Waiting {
			continue
		}
		for _, id := range t.Requests {
			q := r.rota.Requests[id]
			for scope, n := range count {
				most := map[byte]int{'a': q.Budget.All, 's': q.Budget.Site, 'c': q.Budget.Cell}[scope[0]]
				if most > 0 && n > most {
					return fmt.Sprintf("%d out in %s, and %s allows %d", n, scope, id, most)
				}
			}
			for site, floor := range q.Floor {
				if ready[site] < floor {
					return fmt.Sprintf("%s has %g ready, and %s wants %g", site, ready[site], id, floor)
				}
			}
		}
	}
	return ""
}

// replayed tells whether a snapshot restores the record.
func (r *rig) replayed() string {
	text, err := r.rota.Encode()
	if err != nil {
		return err.Error()
	}
	n := New(r.list, r.nodes)
	if err := n.Decode(text, r.rev); err != nil {
		return err.Error()
	}
	if again, _ := json.Marshal(n); !bytes.Equal(text, again) {
		return "a snapshot restores something else"
	}
	return ""
}

// Whatever commands come, no grant overdraws a budget or a floor, nothing is quiet without every live node, and no step
// is taken from what is no longer so.
func TestRulesHoldWhoeverProposes(t *testing.T) {
	for seed := range uint64(10000) {
		if bad := playRota(t, seed); bad != "" {
			t.Fatalf("seed %d: %s", seed, bad)
		}
	}
}

// Each check that is left out is caught.
func TestPlantedBugsAreCaught(t *testing.T) {
	defer func() { plant = "" }()
	for _, bug := range []string{"budget", "confirm", "cas"} {
		plant = bug
		caught := ""
		for seed := range uint64(2000) {
			if caught = playRota(t, seed); caught != "" {
				break
			}
		}
		if caught == "" {
			t.Errorf("%s left out: not caught in 2,000 schedules", bug)
		}
	}
}
