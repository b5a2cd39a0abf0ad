package maintenance

import "hitchvale/internal/statemachine"

// The operations on the plan. The values are stored in the log. The comment next to each operation lists the fields of
// Command that the operation uses. Only operators are meant to send OpFreeOverdue, but the plan accepts it from any
// caller.
const (
	OpAddRequest      statemachine.Operation = "rota-request"  // Request
	OpWithdrawRequest statemachine.Operation = "rota-withdraw" // Request.ID
	OpSettleOrder     statemachine.Operation = "rota-settle"   // View, Costs
	OpAdvanceTurn     statemachine.Operation = "rota-step"     // Machine, Revision, Target
	OpConfirmDrained  statemachine.Operation = "rota-confirm"  // Machine, Node, Incarnation, ListRevision
	OpMarkOverdue     statemachine.Operation = "rota-overdue"  // Machine, Revision
	OpFreeOverdue     statemachine.Operation = "rota-free"     // Machine, Revision
)

// Command is a write to the plan.
type Command struct {
	Op       statemachine.Operation `json:"op"`
	Request  Request                `json:"request,omitzero"`
	Machine  string                 `json:"machine,omitempty"`
	Revision int64                  `json:"rev,omitempty"` // of the turn that the proposer read
	Target   TurnState              `json:"to,omitempty"`
	View     ViewVersion            `json:"epoch,omitzero"`
	// Costs maps the machines' IDs to the costs of taking them out. The registry's leader derives the costs from View.
	// They are part of the command so that every replica settles the same order.
	Costs        map[string]float64 `json:"costs,omitempty"`
	Node         string             `json:"node,omitempty"`
	Incarnation  uint64             `json:"incarnation,omitempty"`
	ListRevision int64              `json:"held,omitempty"` // of the member list that the node has
}

// Operation returns the command's operation.
func (c *Command) Operation() statemachine.Operation { return c.Op }
