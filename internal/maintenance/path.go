package maintenance

import (
	"net/url"

	"hitchvale/internal/statemachine"
)

// The paths of the registry's calls that read or change the plan.
const (
	PlanPath     = "/registry/rota"
	RequestsPath = PlanPath + "/requests" // "/" and a request's ID follow to withdraw the request
	SettlePath   = PlanPath + "/settle"
	TurnsPath    = PlanPath + "/machines" // "/", a machine's ID, "/" and a key of TurnActions follow
)

// TurnActions maps the names of actions on one turn, as they appear in the path of a call, to the operations.
var TurnActions = map[string]statemachine.Operation{
	"step":    OpAdvanceTurn,
	"confirm": OpConfirmDrained,
	"overdue": OpMarkOverdue,
	"free":    OpFreeOverdue,
}

// Path returns the path of the call that submits the command to the registry.
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

// turnAction returns the key of an operation in TurnActions.
func turnAction(operation statemachine.Operation) string {
	for action, o := range TurnActions {
		if o == operation {
			return action
		}
	}
	return ""
}
