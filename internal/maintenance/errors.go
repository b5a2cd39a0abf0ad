package maintenance

import (
	"net/http"

	"hitchvale/internal/operror"
)

// The errors of maintenance turns. A call that fails with one changes nothing; docs/oncall.md lists them for operators.
var (
	ErrMalformed = operror.Define("rota.malformed", http.StatusBadRequest,
		"the request is not well formed", "correct the field that the error names")
	ErrNotFound = operror.Define("rota.unknown", http.StatusNotFound,
		"no such machine or request", "read GET /registry/rota for those there are")
	ErrTurnChanged = operror.Define("rota.changed-since", http.StatusConflict,
		"the turn has changed since it was read", "nothing: another node took the step; read again")
	ErrInvalidTransition = operror.Define("rota.no-such-step", http.StatusConflict,
		"the turn does not go that way",
		"read GET /registry/rota: a turn goes waiting, granted, draining, quiet, out, returning, done")
	ErrOutOfOrder = operror.Define("rota.out-of-order", http.StatusConflict,
		"another machine goes first in the settled order",
		"nothing: it waits for its turn; GET /registry/rota tells the order")
	ErrOverBudget = operror.Define("rota.over-budget", http.StatusConflict,
		"as many machines are out as the budget allows",
		"bring one back or raise the budget; an overdue one is freed by an operator's word alone")
	ErrUnderFloor = operror.Define("rota.under-floor", http.StatusConflict,
		"the site would have less ready capacity than its floor",
		"bring machines back, add capacity, or lower the floor")
	ErrUnconfirmed = operror.Define("rota.unconfirmed", http.StatusConflict,
		"a live node has not confirmed that it has nothing open there",
		"look at the nodes named: a paused one is excused once its session ends")
	ErrSessionNotHeld = operror.Define("rota.no-session", http.StatusConflict,
		"the node that confirms does not hold its name", "nothing: a newer process of the node confirms")
)
