// Package maintenance takes machines out for work in turns whose order the nodes settle among themselves. All of its rules hold
// in the record's Apply: a proposer that is stale or mad can be useless, not harmful. See docs/ROADMAP.md, "A fleet that
// settles its own affairs".
package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"hitchvale/internal/statemachine"
)

// State is where a machine's turn stands.
type State string

// The states, in their order.
const (
	Waiting   State = "waiting"
	Granted   State = "granted"   // it may go: its slot is taken
	Draining  State = "draining"  // the list says so
	Quiet     State = "quiet"     // every live node has confirmed that nothing of it is open there
	Out       State = "out"       // it is being worked on
	Returning State = "returning" // listed again, cold
	Done      State = "done"
)

// holds tells whether a machine in this state takes up a slot, and its capacity is not there.
func (s State) holds() bool {
	return s == Granted || s == Draining || s == Quiet || s == Out || s == Returning
}

// Budget is the most machines that may be out at once; 0 is no bound.
type Budget struct {
	All  int `json:"all,omitempty"`
	Site int `json:"site,omitempty"`
	Cell int `json:"cell,omitempty"`
}

// Request is an operator's: machines to be worked on, and what must not be broken meanwhile.
type Request struct {
	ID       string             `json:"id"`
	Machines []string           `json:"machines"`
	Reason   string             `json:"reason"`
	LengthMs int64              `json:"length_ms"` // how long the work on one is expected to take
	Budget   Budget             `json:"budget"`
	Floor    map[string]float64 `json:"floor,omitempty"` // ready capacity by site, in sizes of the list
}

// Unit is a machine as the list has it.
type Unit struct {
	ID    string
	Site  string
	Cell  int
	Size  float64 // capacity
	Ready bool    // listed, and not draining
}

// List is the list of machines, in the same state as the record.
type List interface {
	// Units are the machines listed, by id.
	Units() []Unit
	// SetDraining changes a machine's phase as of revision next.
	SetDraining(id string, draining bool, next int64)
}

// Nodes are the sessions, in the same state as the record.
type Nodes interface {
	// Live are the names of the nodes that have an open session, in order.
	Live() []string
	// Holds tells whether a process has its node's session, and why not.
	Holds(node string, incarnation uint64) error
}

// Turn is one machine's.
type Turn struct {
	Machine  string   `json:"machine"`
	Site     string   `json:"site"`
	Cell     int      `json:"cell"`
	Size     float64  `json:"size"`
	Requests []string `json:"requests"` // that ask for it, by id
	State    State    `json:"state"`
	Rev      int64    `json:"rev"`               // of its last change
	Drained  int64    `json:"drained,omitempty"` // revision at which the list said draining
	Passed   int      `json:"passed,omitempty"`  // settlements that it has waited through
	Overdue  bool     `json:"overdue,omitempty"`
	// Confirmed are the nodes that hold the draining and have nothing open there.
	Confirmed map[string]uint64 `json:"confirmed,omitempty"` // incarnation by node
}

// Rota is the machine of turns and requests.
type Rota struct {
	Turns    map[string]*Turn   `json:"turns"`
	Requests map[string]Request `json:"requests"`
	Order    []string           `json:"order"` // as settled last: waiting machines, the next one first
	Epoch    Stamp              `json:"epoch"` // of the view that it was settled on
	list     List
	nodes    Nodes
}

// clone is a copy that shares nothing with the record.
func (t *Turn) clone() Turn {
	c := *t
	c.Requests, c.Confirmed = slices.Clone(t.Requests), maps.Clone(t.Confirmed)
	return c
}

// Stamp names the view that an order was settled on.
type Stamp struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// New is a record without a turn, over the list and the sessions of the same state.
func New(list List, nodes Nodes) *Rota {
	return &Rota{Turns: map[string]*Turn{}, Requests: map[string]Request{}, list: list, nodes: nodes}
}

// Command is a write of the rota:
//
//	rota-request   Request
//	rota-withdraw  Request.ID
//	rota-settle    Epoch, Costs
//	rota-step      Machine, Rev, To
//	rota-confirm   Machine, Node, Incarnation, Held
//	rota-overdue   Machine, Rev
//	rota-free      Machine, Rev (an operator's word)
type Command struct {
	Op      string  `json:"op"`
	Request Request `json:"request,omitzero"`
	Machine string  `json:"machine,omitempty"`
	Rev     int64   `json:"rev,omitempty"` // of the turn as the proposer read it
	To      State   `json:"to,omitempty"`
	Epoch   Stamp   `json:"epoch,omitzero"`
	// Costs are those of the waiting machines by id: the median of what the live nodes said in the view of Epoch, as
	// the leader compiled it.
	Costs       map[string]float64 `json:"costs,omitempty"`
	Node        string             `json:"node,omitempty"`
	Incarnation uint64             `json:"incarnation,omitempty"`
	Held        int64              `json:"held,omitempty"` // revision of the list that the node holds
}

// Operation is the command's operation.
func (c *Command) Operation() string { return c.Op }

// Kind names the machine.
func (r *Rota) Kind() string { return "rota" }

// Commands are the operations of the machine.
func (r *Rota) Commands() map[string]func() statemachine.Command {
	empty := func() statemachine.Command { return &Command{} }
	out := map[string]func() statemachine.Command{}
	for _, op := range []string{"request", "withdraw", "settle", "step", "confirm", "overdue", "free"} {
		out["rota-"+op] = empty
	}
	return out
}

// Apply carries out a command.
func (r *Rota) Apply(cmd statemachine.Command, next int64) (statemachine.Outcome, error) {
	c := cmd.(*Command)
	switch c.Op {
	case "rota-request":
		return r.request(c.Request, next)
	case "rota-withdraw":
		return r.withdraw(c.Request.ID, next)
	case "rota-settle":
		return r.settle(c)
	}
	t := r.Turns[c.Machine]
	if t == nil {
		return statemachine.Outcome{}, ErrUnknown.Of(c.Machine, nil)
	}
	if c.Op == "rota-confirm" {
		return r.confirm(t, c, next)
	}
	if c.Op == "rota-step" && t.State == c.To {
		return statemachine.Outcome{Unchanged: true, Value: t.clone()}, nil // the same step twice is no step
	}
	if c.Rev != t.Rev && plant != "cas" {
		return statemachine.Outcome{}, ErrChanged.Of(c.Machine, nil)
	}
	switch c.Op {
	case "rota-overdue":
		if !t.State.holds() || t.Overdue {
			return statemachine.Outcome{}, ErrStep.Of(c.Machine, fmt.Errorf("%s, overdue %v", t.State, t.Overdue))
		}
		t.Overdue, t.Rev = true, next
		return statemachine.Outcome{Value: t.clone()}, nil
	case "rota-free":
		if !t.Overdue {
			return statemachine.Outcome{}, ErrStep.Of(c.Machine, errors.New("it is not overdue"))
		}
		r.finish(t)
		return statemachine.Outcome{}, nil
	}
	if err := r.step(t, c.To, next); err != nil {
		return statemachine.Outcome{}, err
	}
	return statemachine.Outcome{Value: t.clone()}, nil
}

// plant names a planted bug for tests: "budget", "confirm" or "cas" leaves out that check.
var plant string

// step moves a turn on, or calls a machine back that has not gone yet.
func (r *Rota) step(t *Turn, to State, next int64) error {
	switch [2]State{t.State, to} {
	case [2]State{Waiting, Granted}:
		if err := r.mayGrant(t); err != nil {
			return err
		}
		r.Order = slices.DeleteFunc(r.Order, func(id string) bool { return id == t.Machine })
	case [2]State{Granted, Draining}:
		r.list.SetDraining(t.Machine, true, next)
		t.Drained, t.Confirmed = next, map[string]uint64{}
	case [2]State{Draining, Quiet}:
		if missing := r.unconfirmed(t); len(missing) > 0 && plant != "confirm" {
			return ErrUnconfirmed.Of(t.Machine, fmt.Errorf("%v", missing))
		}
	case [2]State{Quiet, Out}:
	case [2]State{Granted, Waiting}, [2]State{Draining, Waiting}: // called back: it waits again
		r.list.SetDraining(t.Machine, false, next)
		t.Confirmed, t.Drained = nil, 0
	case [2]State{Out, Returning}, [2]State{Draining, Returning}, [2]State{Quiet, Returning}, [2]State{Granted, Returning}:
		r.list.SetDraining(t.Machine, false, next)
		t.Confirmed = nil
	case [2]State{Returning, Done}:
		r.finish(t)
		return nil
	default:
		return ErrStep.Of(t.Machine, fmt.Errorf("from %s to %s", t.State, to))
	}
	t.State, t.Rev = to, next
	return nil
}

// finish ends a turn, and the requests that have no other machine left.
func (r *Rota) finish(t *Turn) {
	t.State = Done
	delete(r.Turns, t.Machine)
	r.Order = slices.DeleteFunc(r.Order, func(id string) bool { return id == t.Machine })
	for _, id := range t.Requests {
		if !r.asked(id) {
			delete(r.Requests, id)
		}
	}
}

// asked tells whether a request still has a machine.
func (r *Rota) asked(id string) bool {
	for _, t := range r.Turns {
		if slices.Contains(t.Requests, id) {
			return true
		}
	}
	return false
}

// Short are the machines that should be called back: they have been granted or drain, and a floor that binds them does not
// hold any more, since something else has gone. What is out already cannot be.
func (r *Rota) Short() []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(r.Turns)) {
		t := r.Turns[id]
		if (t.State == Granted || t.State == Draining) && errors.Is(r.fits(t), ErrFloor) {
			out = append(out, id)
		}
	}
	return out
}

// Length is how long the work on a machine is expected to take: the longest that any request for it says, in
// milliseconds.
func (r *Rota) Length(t *Turn) int64 {
	var longest int64
	for _, id := range t.Requests {
		longest = max(longest, r.Requests[id].LengthMs)
	}
	return longest
}

// unconfirmed are the live nodes whose present process has not confirmed a draining machine.
func (r *Rota) unconfirmed(t *Turn) []string {
	var missing []string
	for _, node := range r.nodes.Live() {
		if inc, ok := t.Confirmed[node]; !ok || r.nodes.Holds(node, inc) != nil {
			missing = append(missing, node)
		}
	}
	return missing
}

// confirm takes in that a node holds the draining and has nothing open there.
func (r *Rota) confirm(t *Turn, c *Command, next int64) (statemachine.Outcome, error) {
	if err := r.nodes.Holds(c.Node, c.Incarnation); err != nil {
		return statemachine.Outcome{}, ErrSession.Of(c.Node, err)
	}
	if t.State != Draining || c.Held < t.Drained {
		return statemachine.Outcome{}, ErrStep.Of(t.Machine, fmt.Errorf("%s since revision %d, and the node holds %d", t.State, t.Drained, c.Held))
	}
	if t.Confirmed[c.Node] == c.Incarnation {
		return statemachine.Outcome{Unchanged: true}, nil
	}
	t.Confirmed[c.Node] = c.Incarnation // not a step: Rev stays, so that confirmations do not race with one another
	return statemachine.Outcome{}, nil
}

// Encode writes the record.
func (r *Rota) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode takes the record of a snapshot.
func (r *Rota) Decode(text []byte, _ int64) error {
	n := New(r.list, r.nodes)
	if err := json.Unmarshal(text, n); err != nil {
		return err
	}
	*r = *n
	return nil
}

// All are copies of the turns, by machine.
func (r *Rota) All() []Turn {
	var out []Turn
	for _, id := range slices.Sorted(maps.Keys(r.Turns)) {
		out = append(out, r.Turns[id].clone())
	}
	return out
}
