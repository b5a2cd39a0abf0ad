package fleet

import (
	"net/http"

	"hitchvale/internal/operror"
)

// The errors of the fleet's sessions and views. A call that fails with one changes nothing; docs/oncall.md lists them
// for operators.
var (
	ErrMalformed = operror.Define("fleet.malformed", http.StatusBadRequest,
		"the call is not well formed",
		"correct the field that the error names; run one version of the program on all nodes")
	ErrSuperseded = operror.Define("fleet.superseded", http.StatusConflict,
		"a newer process runs under this name", "end the older process, or give it a name of its own")
	ErrSessionNotFound = operror.Define("fleet.no-session", http.StatusNotFound,
		"no session under this name and incarnation",
		"nothing: the node opens a new session by itself; where it recurs, raise the session's TTL")
	ErrStaleReport = operror.Define("fleet.stale-report", http.StatusConflict,
		"the report is older than one already taken in",
		"nothing, if rare; else see that one process alone runs under the name")
	ErrRegistryUnreachable = operror.Define("fleet.unreachable", http.StatusServiceUnavailable,
		"the registry gave no answer of use",
		"see that its replicas run and that this node reaches one of them; the node goes on as it was")
	ErrViewNotReady = operror.Define("fleet.no-view", http.StatusServiceUnavailable,
		"no view has been compiled in this term yet", "ask again in an interval; see that the registry has a leader")
)
