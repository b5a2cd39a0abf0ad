package maintenance

import (
	"net/url"

	"hitchvale/internal/statemachine"
)

// The paths of the registry's calls on the plan.
const (
	PlanPath     = "/registry/rota"
	RequestsPath = PlanPath + "/requests" // a request's ID follows to withdraw it
	SettlePath   = PlanPath + "/settle"
	TurnsPath    = PlanPath + "/machines" // a machine's ID and an action of TurnActions follow
)

// TurnActions are the operations on one turn by the name that they have in the path of a call.
var TurnActions = map[string]statemachine.Operation{
	"step":    OpAdvanceTurn,
	"confirm": OpConfirmDrained,
	"overdue": OpMarkOverdue,
	"free":    OpFreeOverdue,
}

// Path returns the path of the call that makes a command.
func (c *Command) Path() string {
	switch c.Op {
	case OpAddRequest:
		return RequestsPath
	case OpWithdrawRequest:
		return RequestsPath + "/" + url.PathEscape(c.Request.ID)
	case OpSettleOrder:
		return SettlePath
	}
	return TurnsPath + "/" + url.PathEscape(c.Machine) + "/" + turnAction(c.Op)
}

// turnAction returns the name of an operation on one turn in the path of a call.
func turnAction(operation statemachine.Operation) string {
	for action, o := range TurnActions {
		if o == operation {
			return action
		}
	}
	return ""
}
