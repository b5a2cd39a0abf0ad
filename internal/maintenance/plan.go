// Package maintenance takes machines out for work in turns, in an order that the nodes settle among themselves. The
// plan of all turns is a state machine of the registry, and its Apply enforces every rule: a proposer that is stale or
// faulty can be useless, but does no harm. docs/ROADMAP.md has the design, docs/registry.md the calls.
package maintenance

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"hitchvale/internal/statemachine"
)

// DisruptionBudget bounds how many machines may be out at once; 0 is no bound.
type DisruptionBudget struct {
	Total   int `json:"all,omitempty"`
	PerSite int `json:"site,omitempty"`
	PerCell int `json:"cell,omitempty"`
}

// Request is an operator's request: machines to be worked on, and the limits that hold meanwhile.
type Request struct {
	ID         string           `json:"id"`
	Machines   []string         `json:"machines"`
	Reason     string           `json:"reason"`
	ExpectedMs int64            `json:"length_ms"` // how long the work on one machine is expected to take
	Budget     DisruptionBudget `json:"budget"`
	// CapacityFloor is, by site, the ready capacity that has to remain, in the unit of Machine.Capacity.
	CapacityFloor map[string]float64 `json:"floor,omitempty"`
}

// Machine is a machine as the member list has it.
type Machine struct {
	ID       string
	Site     string
	Cell     int
	Capacity float64 // the member's size
	Ready    bool    // listed and not draining
}

// Inventory is the member list of the replicated state that the plan is part of.
type Inventory interface {
	// Machines returns the listed machines by ID.
	Machines() []Machine
	// SetDraining sets a listed machine to draining, or to ready, as of a revision.
	SetDraining(id string, draining bool, nextRevision int64)
}

// Sessions are the nodes' sessions in the replicated state that the plan is part of.
type Sessions interface {
	// LiveNodes returns the names of the nodes with an open session, sorted.
	LiveNodes() []string
	// VerifyHolder fails unless the node's open session has the given incarnation.
	VerifyHolder(node string, incarnation uint64) error
}

// Turn is the turn of one machine.
type Turn struct {
	Machine  string    `json:"machine"`
	Site     string    `json:"site"`
	Cell     int       `json:"cell"`
	Capacity float64   `json:"size"`
	Requests []string  `json:"requests"` // IDs of those that name the machine, sorted
	State    TurnState `json:"state"`
	Revision int64     `json:"rev"` // of the last change that counts for compare-and-set
	// DrainingRevision is the revision as of which the list has the machine as draining; 0 if it does not drain.
	DrainingRevision int64 `json:"drained,omitempty"`
	RoundsWaited     int   `json:"passed,omitempty"` // settlements of the order since the turn began to wait
	Overdue          bool  `json:"overdue,omitempty"`
	// ConfirmedBy has the nodes that hold the list with the draining machine and have nothing in flight there, with
	// the incarnation that confirmed.
	ConfirmedBy map[string]uint64 `json:"confirmed,omitempty"`
}

// clone returns a copy that shares nothing with the plan.
func (t *Turn) clone() Turn {
	c := *t
	c.Requests = slices.Clone(t.Requests)
	c.ConfirmedBy = maps.Clone(t.ConfirmedBy)
	return c
}

// ViewVersion is the version of the fleet's view that an order was settled on.
type ViewVersion struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// Plan is the state machine of requests and turns.
type Plan struct {
	Turns       map[string]*Turn   `json:"turns"` // by machine; there is at most one a machine
	Requests    map[string]Request `json:"requests"`
	Order       []string           `json:"order"` // of the waiting machines as last settled, the next one first
	SettledView ViewVersion        `json:"epoch"` // that Order was settled on

	inventory Inventory
	sessions  Sessions
}

// NewPlan returns a plan without turns over the list and the sessions of the same state.
func NewPlan(inventory Inventory, sessions Sessions) *Plan {
	return &Plan{
		Turns:     map[string]*Turn{},
		Requests:  map[string]Request{},
		inventory: inventory,
		sessions:  sessions,
	}
}

// The faults that plantedFault may name; each leaves out one check.
const (
	faultNoBudget       = "budget"
	faultNoConfirmation = "confirm"
	faultNoCompare      = "cas"
)

// plantedFault is set by tests alone, at build time by -ldflags -X for the lab's.
var plantedFault string

// Kind is part of statemachine.Machine.
func (p *Plan) Kind() string { return "rota" }

// Commands is part of statemachine.Machine.
func (p *Plan) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &Command{} }
	return statemachine.CommandConstructors(empty, OpAddRequest, OpWithdrawRequest, OpSettleOrder, OpAdvanceTurn,
		OpConfirmDrained, OpMarkOverdue, OpFreeOverdue)
}

// Apply executes a Command. It fails with the errors of this package.
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

// applyToTurn executes a command that is a compare-and-set on the revision of a turn. Only the repetition of a step
// that has been taken succeeds at another revision; it changes nothing.
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

// markOverdue marks a turn whose work takes longer than expected. It keeps its slot.
func (p *Plan) markOverdue(t *Turn, nextRevision int64) (statemachine.Outcome, error) {
	if !t.State.occupiesSlot() || t.Overdue {
		return statemachine.Outcome{}, ErrInvalidTransition.Of(t.Machine,
			fmt.Errorf("%s, overdue %v", t.State, t.Overdue))
	}
	t.Overdue = true
	t.Revision = nextRevision
	return statemachine.Outcome{Value: t.clone()}, nil
}

// ExpectedMs returns how long the work on a machine is expected to take, in milliseconds: the longest time of the
// requests that name it.
func (p *Plan) ExpectedMs(t *Turn) int64 {
	var longest int64
	for _, id := range t.Requests {
		longest = max(longest, p.Requests[id].ExpectedMs)
	}
	return longest
}

// ListTurns returns copies of the turns, by machine.
func (p *Plan) ListTurns() []Turn {
	var turns []Turn
	for _, id := range slices.Sorted(maps.Keys(p.Turns)) {
		turns = append(turns, p.Turns[id].clone())
	}
	return turns
}

// Encode is part of statemachine.Machine.
func (p *Plan) Encode() ([]byte, error) { return json.Marshal(p) }

// Decode is part of statemachine.Machine.
func (p *Plan) Decode(section []byte, _ int64) error {
	decoded := NewPlan(p.inventory, p.sessions)
	if err := json.Unmarshal(section, decoded); err != nil {
		return err
	}
	*p = *decoded
	return nil
}
