package fleet

import (
	"net/http"

	"hitchvale/internal/operror"
)

// The errors of the fleet's sessions and views. A call that fails with one of them changes nothing. docs/oncall.md
// lists them for operators.
var (
	ErrMalformed = operror.Define("fleet.malformed", http.StatusBadRequest,
		"the call is malformed",
		"correct the field that the error names; run one version of the program on all nodes")
	ErrSuperseded = operror.Define("fleet.superseded", http.StatusConflict,
		"a newer process uses the name of this node", "stop the older process, or give it another node name")
	ErrSessionNotFound = operror.Define("fleet.no-session", http.StatusNotFound,
		"no session of this node name and incarnation is open",
		"nothing: the node opens a new session; if the error recurs, raise the session's TTL")
	ErrStaleReport = operror.Define("fleet.stale-report", http.StatusConflict,
		"the report is not newer than the last report of the process",
		"nothing if it is rare; otherwise check that only one process uses the node name")
	ErrRegistryUnreachable = operror.Define("fleet.unreachable", http.StatusServiceUnavailable,
		"the registry gave no usable response",
		"check that the registry's replicas run and that the node reaches one of them; the node continues meanwhile")
	ErrViewNotReady = operror.Define("fleet.no-view", http.StatusServiceUnavailable,
		"no view has been compiled in this term yet", "try again after an interval; check that the registry has a leader")
)
