package maintenance

import (
	"net/http"

	"hitchvale/internal/operror"
)

// The errors of maintenance. A call that fails with one of them changes nothing. docs/oncall.md lists them for
// operators.
var (
	ErrMalformed = operror.Define("rota.malformed", http.StatusBadRequest,
		"the request is malformed", "correct the field that the error names")
	ErrNotFound = operror.Define("rota.unknown", http.StatusNotFound,
		"no such machine or request",
		"GET /registry/rota lists the requests and the turns, GET /registry/instances the machines")
	ErrTurnChanged = operror.Define("rota.changed-since", http.StatusConflict,
		"the turn has changed since it was read", "nothing: another node advanced the turn; read the plan again")
	ErrInvalidTransition = operror.Define("rota.no-such-step", http.StatusConflict,
		"the state of the turn does not allow this step",
		"read the state with GET /registry/rota; the order is waiting, granted, draining, quiet, out, returning, done")
	ErrOutOfOrder = operror.Define("rota.out-of-order", http.StatusConflict,
		"the machine is not the next to be granted in the settled order",
		"nothing: the machine waits for its turn; GET /registry/rota shows the order")
	ErrOverBudget = operror.Define("rota.over-budget", http.StatusConflict,
		"the budget does not allow another machine to be out",
		"bring a machine back or raise the budget; only an operator can free an overdue machine")
	ErrUnderFloor = operror.Define("rota.under-floor", http.StatusConflict,
		"the site would have less ready capacity than its floor",
		"bring machines back, add capacity, or lower the floor")
	ErrUnconfirmed = operror.Define("rota.unconfirmed", http.StatusConflict,
		"a live node has not confirmed that it has nothing in flight at the machine",
		"check the nodes that the error names; a paused node is excused once its session ends")
	ErrSessionNotHeld = operror.Define("rota.no-session", http.StatusConflict,
		"the process that confirms does not hold the session of its node", "nothing: a newer process of the node confirms")
)
