// Package maintenance takes machines out of service for maintenance, each in a turn. The nodes read the plan of all
// turns from the registry and propose commands (Propose). The plan is a state machine of the registry, and Plan.Apply
// enforces every rule: a command of a stale or faulty proposer is rejected and changes nothing. docs/ROADMAP.md
// describes the design, and docs/registry.md the calls.
package maintenance

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"hitchvale/internal/statemachine"
)

// DisruptionBudget limits how many machines may be out of service at the same time; 0 means no limit.
type DisruptionBudget struct {
	Total   int `json:"all,omitempty"`
	PerSite int `json:"site,omitempty"`
	PerCell int `json:"cell,omitempty"`
}

// Request is an operator's request for maintenance. It names the machines, and the limits that hold until the last of
// them is back in service.
type Request struct {
	ID             string           `json:"id"`
	Machines       []string         `json:"machines"`
	Reason         string           `json:"reason"`
	ExpectedWorkMs int64            `json:"length_ms"` // expected duration of the work on one machine
	Budget         DisruptionBudget `json:"budget"`
	// CapacityFloor is the ready capacity that has to remain at each site, in the unit of Machine.Capacity.
	CapacityFloor map[string]float64 `json:"floor,omitempty"`
}

// Machine is a machine of the member list.
type Machine struct {
	ID       string
	Site     string
	Cell     int
	Capacity float64 // the member's size
	Ready    bool    // listed and not draining
}

// Inventory is the member list in the replicated state that the plan is part of.
type Inventory interface {
	// Machines returns the listed machines, sorted by ID.
	Machines() []Machine
	// SetDraining sets a listed machine to draining or to ready. The change gets the revision nextRevision.
	SetDraining(id string, draining bool, nextRevision int64)
}

// Sessions are the nodes' sessions in the replicated state that the plan is part of.
type Sessions interface {
	// LiveNodes returns the names of the nodes with an open session, sorted.
	LiveNodes() []string
	// VerifyIncarnation fails unless the node's open session has the given incarnation.
	VerifyIncarnation(node string, incarnation uint64) error
}

// Turn is one machine's passage through maintenance, from the request until the machine is back in service.
type Turn struct {
	Machine  string    `json:"machine"`
	Site     string    `json:"site"`
	Cell     int       `json:"cell"`
	Capacity float64   `json:"size"`
	Requests []string  `json:"requests"` // IDs of the requests that name the machine, sorted
	State    TurnState `json:"state"`
	Revision int64     `json:"rev"` // a command on the turn must name it (compare-and-set)
	// DrainingRevision is the revision from which on the member list has the machine as draining; 0 if the machine has
	// not begun to drain.
	DrainingRevision int64 `json:"drained,omitempty"`
	RoundsWaited     int   `json:"passed,omitempty"` // how often the order was settled while the turn waited
	Overdue          bool  `json:"overdue,omitempty"`
	// ConfirmedBy maps the nodes that have confirmed to the incarnation that confirmed. A node confirms that it has the
	// member list with the draining machine and that it has nothing in flight at the machine.
	ConfirmedBy map[string]uint64 `json:"confirmed,omitempty"`
}

// clone returns a copy that shares nothing with the plan.
func (t *Turn) clone() Turn {
	c := *t
	c.Requests = slices.Clone(t.Requests)
	c.ConfirmedBy = maps.Clone(t.ConfirmedBy)
	return c
}

// ViewVersion is the version of the fleet's view that supplied the costs for an order.
type ViewVersion struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// Plan is the state machine of requests and turns. It is not safe for concurrent use.
type Plan struct {
	Turns       map[string]*Turn   `json:"turns"`    // by machine; a machine has at most one turn
	Requests    map[string]Request `json:"requests"` // by ID
	Order       []string           `json:"order"`    // the waiting machines as last settled, the next one first
	SettledView ViewVersion        `json:"epoch"`    // the view that Order was settled on

	inventory Inventory
	sessions  Sessions
}

// NewPlan returns a plan without turns. It uses the member list and the sessions of the same replicated state.
func NewPlan(inventory Inventory, sessions Sessions) *Plan {
	return &Plan{
		Turns:     map[string]*Turn{},
		Requests:  map[string]Request{},
		inventory: inventory,
		sessions:  sessions,
	}
}

// The values of plantedFault. Each of them disables one check.
const (
	faultNoBudget       = "budget"
	faultNoConfirmation = "confirm"
	faultNoCompare      = "cas"
)

// plantedFault is the check to disable, so that tests can show that they detect the absence of the check. The tests of
// this package assign it, and the lab's tests set it at build time by -ldflags -X. It is empty otherwise.
var plantedFault string

// Kind implements statemachine.Machine.
func (p *Plan) Kind() string { return "rota" }

// Commands implements statemachine.Machine.
func (p *Plan) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &Command{} }
	return statemachine.CommandConstructors(empty, OpAddRequest, OpWithdrawRequest, OpSettleOrder, OpAdvanceTurn,
		OpConfirmDrained, OpMarkOverdue, OpFreeOverdue)
}

// Apply implements statemachine.Machine: it executes a *Command. It fails with the errors of this package.
func (p *Plan) Apply(cmd statemachine.Command, nextRevision int64) (statemachine.Outcome, error) {
	c := cmd.(*Command)
	switch c.Op {
	case OpAddRequest:
		return p.addRequest(c.Request, nextRevision)
	case OpWithdrawRequest:
		return p.withdrawRequest(c.Request.ID, nextRevision)
	case OpSettleOrder:
		return p.settleOrder(c)
	}
	turn := p.Turns[c.Machine]
	if turn == nil {
		return statemachine.Outcome{}, ErrNotFound.Of(c.Machine, nil)
	}
	if c.Op == OpConfirmDrained {
		return p.recordConfirmation(turn, c)
	}
	return p.applyToTurn(turn, c, nextRevision)
}

// applyToTurn executes a command on one turn. It fails with ErrTurnChanged unless the command names the turn's current
// revision. The exception is a step to the state that the turn already has: it succeeds at any revision and changes
// nothing.
func (p *Plan) applyToTurn(t *Turn, c *Command, nextRevision int64) (statemachine.Outcome, error) {
	if c.Op == OpAdvanceTurn && t.State == c.Target {
		return statemachine.Outcome{Unchanged: true, Value: t.clone()}, nil
	}
	if c.Revision != t.Revision && plantedFault != faultNoCompare {
		return statemachine.Outcome{}, ErrTurnChanged.Of(c.Machine, nil)
	}
	switch c.Op {
	case OpMarkOverdue:
		return p.markOverdue(t, nextRevision)
	case OpFreeOverdue:
		return p.freeOverdue(t)
	}
	if err := p.advance(t, c.Target, nextRevision); err != nil {
		return statemachine.Outcome{}, err
	}
	return statemachine.Outcome{Value: t.clone()}, nil
}

// markOverdue marks a turn whose work takes longer than expected. The turn keeps its slot.
func (p *Plan) markOverdue(t *Turn, nextRevision int64) (statemachine.Outcome, error) {
	if !t.State.occupiesSlot() || t.Overdue {
		return statemachine.Outcome{}, ErrInvalidTransition.Of(t.Machine,
			fmt.Errorf("the turn has state %s, and its overdue mark is %v", t.State, t.Overdue))
	}
	t.Overdue = true
	t.Revision = nextRevision
	return statemachine.Outcome{Value: t.clone()}, nil
}

// ExpectedWorkMs returns how long the work on the machine of a turn is expected to take, in milliseconds. It is the
// longest time that any request of the turn expects.
func (p *Plan) ExpectedWorkMs(t *Turn) int64 {
	var longest int64
	for _, id := range t.Requests {
		longest = max(longest, p.Requests[id].ExpectedWorkMs)
	}
	return longest
}

// ListTurns returns copies of the turns, sorted by machine.
func (p *Plan) ListTurns() []Turn {
	var turns []Turn
	for _, id := range slices.Sorted(maps.Keys(p.Turns)) {
		turns = append(turns, p.Turns[id].clone())
	}
	return turns
}

// Encode implements statemachine.Machine.
func (p *Plan) Encode() ([]byte, error) { return json.Marshal(p) }

// Decode implements statemachine.Machine.
func (p *Plan) Decode(section []byte, _ int64) error {
	decoded := NewPlan(p.inventory, p.sessions)
	if err := json.Unmarshal(section, decoded); err != nil {
		return err
	}
	*p = *decoded
	return nil
}
