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
type TurnState string

// The states, in their order.
const (
	Waiting   TurnState = "waiting"
	Granted   TurnState = "granted"   // it may go: its slot is taken
	Draining  TurnState = "draining"  // the list says so
	Quiet     TurnState = "quiet"     // every live node has confirmed that nothing of it is open there
	Out       TurnState = "out"       // it is being worked on
	Returning TurnState = "returning" // listed again, cold
	Done      TurnState = "done"
)

// holds tells whether a machine in this state takes up a slot, and its capacity is not there.
func (s TurnState) occupiesSlot() bool {
	return s == Granted || s == Draining || s == Quiet || s == Out || s == Returning
}

// Budget is the most machines that may be out at once; 0 is no bound.
type DisruptionBudget struct {
	Total   int `json:"all,omitempty"`
	PerSite int `json:"site,omitempty"`
	PerCell int `json:"cell,omitempty"`
}

// Request is an operator's: machines to be worked on, and what must not be broken meanwhile.
type Request struct {
	ID            string             `json:"id"`
	Machines      []string           `json:"machines"`
	Reason        string             `json:"reason"`
	ExpectedMs    int64              `json:"length_ms"` // how long the work on one is expected to take
	Budget        DisruptionBudget   `json:"budget"`
	CapacityFloor map[string]float64 `json:"floor,omitempty"` // ready capacity by site, in sizes of the list
}

// Unit is a machine as the list has it.
type Machine struct {
	ID       string
	Site     string
	Cell     int
	Capacity float64 // capacity
	Ready    bool    // listed, and not draining
}

// List is the list of machines, in the same state as the record.
type Inventory interface {
	// Units are the machines listed, by id.
	Machines() []Machine
	// SetDraining changes a machine's phase as of revision next.
	SetDraining(id string, draining bool, next int64)
}

// Nodes are the sessions, in the same state as the record.
type Sessions interface {
	// Live are the names of the nodes that have an open session, in order.
	LiveNodes() []string
	// Holds tells whether a process has its node's session, and why not.
	VerifyHolder(node string, incarnation uint64) error
}

// Turn is one machine's.
type Turn struct {
	Machine          string    `json:"machine"`
	Site             string    `json:"site"`
	Cell             int       `json:"cell"`
	Capacity         float64   `json:"size"`
	Requests         []string  `json:"requests"` // that ask for it, by id
	State            TurnState `json:"state"`
	Revision         int64     `json:"rev"`               // of its last change
	DrainingRevision int64     `json:"drained,omitempty"` // revision at which the list said draining
	RoundsWaited     int       `json:"passed,omitempty"`  // settlements that it has waited through
	Overdue          bool      `json:"overdue,omitempty"`
	// Confirmed are the nodes that hold the draining and have nothing open there.
	ConfirmedBy map[string]uint64 `json:"confirmed,omitempty"` // incarnation by node
}

// Rota is the machine of turns and requests.
type Plan struct {
	Turns       map[string]*Turn   `json:"turns"`
	Requests    map[string]Request `json:"requests"`
	Order       []string           `json:"order"` // as settled last: waiting machines, the next one first
	SettledView ViewVersion        `json:"epoch"` // of the view that it was settled on
	inventory   Inventory
	sessions    Sessions
}

// clone is a copy that shares nothing with the record.
func (t *Turn) clone() Turn {
	c := *t
	c.Requests, c.ConfirmedBy = slices.Clone(t.Requests), maps.Clone(t.ConfirmedBy)
	return c
}

// Stamp names the view that an order was settled on.
type ViewVersion struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// New is a record without a turn, over the list and the sessions of the same state.
func NewPlan(list Inventory, nodes Sessions) *Plan {
	return &Plan{Turns: map[string]*Turn{}, Requests: map[string]Request{}, inventory: list, sessions: nodes}
}

// The operations on the plan, as stored in the log, with the fields of Command that each uses.
const (
	OpAddRequest      statemachine.Operation = "rota-request"  // Request
	OpWithdrawRequest statemachine.Operation = "rota-withdraw" // Request.ID
	OpSettleOrder     statemachine.Operation = "rota-settle"   // View, Costs
	OpAdvanceTurn     statemachine.Operation = "rota-step"     // Machine, Revision, Target
	OpConfirmDrained  statemachine.Operation = "rota-confirm"  // Machine, Node, Incarnation, ListRevision
	OpMarkOverdue     statemachine.Operation = "rota-overdue"  // Machine, Revision
	OpFreeOverdue     statemachine.Operation = "rota-free"     // Machine, Revision; by an operator alone
)

// TurnActions are the operations on one turn by the name that they have in the path of a call.
var TurnActions = map[string]statemachine.Operation{
	"step":    OpAdvanceTurn,
	"confirm": OpConfirmDrained,
	"overdue": OpMarkOverdue,
	"free":    OpFreeOverdue,
}

// Command is a write of the plan.
type Command struct {
	Op       statemachine.Operation `json:"op"`
	Request  Request                `json:"request,omitzero"`
	Machine  string                 `json:"machine,omitempty"`
	Revision int64                  `json:"rev,omitempty"` // of the turn as the proposer read it
	Target   TurnState              `json:"to,omitempty"`
	View     ViewVersion            `json:"epoch,omitzero"`
	// Costs are those of the waiting machines by id: the median of what the live nodes said in the view of Epoch, as
	// the leader compiled it.
	Costs        map[string]float64 `json:"costs,omitempty"`
	Node         string             `json:"node,omitempty"`
	Incarnation  uint64             `json:"incarnation,omitempty"`
	ListRevision int64              `json:"held,omitempty"` // revision of the list that the node holds
}

// Operation is the command's operation.
func (c *Command) Operation() statemachine.Operation { return c.Op }

// Kind names the machine.
func (r *Plan) Kind() string { return "rota" }

// Commands are the operations of the machine.
func (r *Plan) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &Command{} }
	return statemachine.CommandsOf(empty, OpAddRequest, OpWithdrawRequest, OpSettleOrder, OpAdvanceTurn, OpConfirmDrained,
		OpMarkOverdue, OpFreeOverdue)
}

// Apply carries out a command.
func (r *Plan) Apply(cmd statemachine.Command, next int64) (statemachine.Outcome, error) {
	c := cmd.(*Command)
	switch c.Op {
	case OpAddRequest:
		return r.addRequest(c.Request, next)
	case OpWithdrawRequest:
		return r.withdrawRequest(c.Request.ID, next)
	case OpSettleOrder:
		return r.settleOrder(c)
	}
	t := r.Turns[c.Machine]
	if t == nil {
		return statemachine.Outcome{}, ErrNotFound.Of(c.Machine, nil)
	}
	if c.Op == OpConfirmDrained {
		return r.recordConfirmation(t, c, next)
	}
	if c.Op == OpAdvanceTurn && t.State == c.Target {
		return statemachine.Outcome{Unchanged: true, Value: t.clone()}, nil // the same step twice is no step
	}
	if c.Revision != t.Revision && plantedFault != "cas" {
		return statemachine.Outcome{}, ErrTurnChanged.Of(c.Machine, nil)
	}
	switch c.Op {
	case OpMarkOverdue:
		if !t.State.occupiesSlot() || t.Overdue {
			return statemachine.Outcome{}, ErrInvalidTransition.Of(c.Machine, fmt.Errorf("%s, overdue %v", t.State, t.Overdue))
		}
		t.Overdue, t.Revision = true, next
		return statemachine.Outcome{Value: t.clone()}, nil
	case OpFreeOverdue:
		if !t.Overdue {
			return statemachine.Outcome{}, ErrInvalidTransition.Of(c.Machine, errors.New("it is not overdue"))
		}
		r.finishTurn(t)
		return statemachine.Outcome{}, nil
	}
	if err := r.transition(t, c.Target, next); err != nil {
		return statemachine.Outcome{}, err
	}
	return statemachine.Outcome{Value: t.clone()}, nil
}

// plant names a planted bug for tests: "budget", "confirm" or "cas" leaves out that check.
var plantedFault string

// step moves a turn on, or calls a machine back that has not gone yet.
func (r *Plan) transition(t *Turn, to TurnState, next int64) error {
	switch [2]TurnState{t.State, to} {
	case [2]TurnState{Waiting, Granted}:
		if err := r.checkGrant(t); err != nil {
			return err
		}
		r.Order = slices.DeleteFunc(r.Order, func(id string) bool { return id == t.Machine })
	case [2]TurnState{Granted, Draining}:
		r.inventory.SetDraining(t.Machine, true, next)
		t.DrainingRevision, t.ConfirmedBy = next, map[string]uint64{}
	case [2]TurnState{Draining, Quiet}:
		if missing := r.unconfirmedNodes(t); len(missing) > 0 && plantedFault != "confirm" {
			return ErrUnconfirmed.Of(t.Machine, fmt.Errorf("%v", missing))
		}
	case [2]TurnState{Quiet, Out}:
	case [2]TurnState{Granted, Waiting}, [2]TurnState{Draining, Waiting}: // called back: it waits again
		r.inventory.SetDraining(t.Machine, false, next)
		t.ConfirmedBy, t.DrainingRevision = nil, 0
	case [2]TurnState{Out, Returning}, [2]TurnState{Draining, Returning}, [2]TurnState{Quiet, Returning}, [2]TurnState{Granted, Returning}:
		r.inventory.SetDraining(t.Machine, false, next)
		t.ConfirmedBy = nil
	case [2]TurnState{Returning, Done}:
		r.finishTurn(t)
		return nil
	default:
		return ErrInvalidTransition.Of(t.Machine, fmt.Errorf("from %s to %s", t.State, to))
	}
	t.State, t.Revision = to, next
	return nil
}

// finish ends a turn, and the requests that have no other machine left.
func (r *Plan) finishTurn(t *Turn) {
	t.State = Done
	delete(r.Turns, t.Machine)
	r.Order = slices.DeleteFunc(r.Order, func(id string) bool { return id == t.Machine })
	for _, id := range t.Requests {
		if !r.hasTurns(id) {
			delete(r.Requests, id)
		}
	}
}

// asked tells whether a request still has a machine.
func (r *Plan) hasTurns(id string) bool {
	for _, t := range r.Turns {
		if slices.Contains(t.Requests, id) {
			return true
		}
	}
	return false
}

// Short are the machines that should be called back: they have been granted or drain, and a floor that binds them does not
// hold any more, since something else has gone. What is out already cannot be.
func (r *Plan) TurnsToRecall() []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(r.Turns)) {
		t := r.Turns[id]
		if (t.State == Granted || t.State == Draining) && errors.Is(r.checkDisruption(t), ErrUnderFloor) {
			out = append(out, id)
		}
	}
	return out
}

// Length is how long the work on a machine is expected to take: the longest that any request for it says, in
// milliseconds.
func (r *Plan) ExpectedMs(t *Turn) int64 {
	var longest int64
	for _, id := range t.Requests {
		longest = max(longest, r.Requests[id].ExpectedMs)
	}
	return longest
}

// unconfirmed are the live nodes whose present process has not confirmed a draining machine.
func (r *Plan) unconfirmedNodes(t *Turn) []string {
	var missing []string
	for _, node := range r.sessions.LiveNodes() {
		if inc, ok := t.ConfirmedBy[node]; !ok || r.sessions.VerifyHolder(node, inc) != nil {
			missing = append(missing, node)
		}
	}
	return missing
}

// confirm takes in that a node holds the draining and has nothing open there.
func (r *Plan) recordConfirmation(t *Turn, c *Command, next int64) (statemachine.Outcome, error) {
	if err := r.sessions.VerifyHolder(c.Node, c.Incarnation); err != nil {
		return statemachine.Outcome{}, ErrSessionNotHeld.Of(c.Node, err)
	}
	if t.State != Draining || c.ListRevision < t.DrainingRevision {
		return statemachine.Outcome{}, ErrInvalidTransition.Of(t.Machine, fmt.Errorf("%s since revision %d, and the node holds %d", t.State, t.DrainingRevision, c.ListRevision))
	}
	if t.ConfirmedBy[c.Node] == c.Incarnation {
		return statemachine.Outcome{Unchanged: true}, nil
	}
	t.ConfirmedBy[c.Node] = c.Incarnation // not a step: Rev stays, so that confirmations do not race with one another
	return statemachine.Outcome{}, nil
}

// Encode writes the record.
func (r *Plan) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode takes the record of a snapshot.
func (r *Plan) Decode(text []byte, _ int64) error {
	n := NewPlan(r.inventory, r.sessions)
	if err := json.Unmarshal(text, n); err != nil {
		return err
	}
	*r = *n
	return nil
}

// All are copies of the turns, by machine.
func (r *Plan) ListTurns() []Turn {
	var out []Turn
	for _, id := range slices.Sorted(maps.Keys(r.Turns)) {
		out = append(out, r.Turns[id].clone())
	}
	return out
}
