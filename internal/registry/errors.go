package registry

import (
	"net/http"

	"hitchvale/internal/operror"
)

// The errors of the registry. A call that fails with one has changed nothing, except that a write that fails with
// ErrNotCommitted or ErrDiskFailed may be committed later. docs/oncall.md lists them for operators.
var (
	ErrMalformed = operror.Define("registry.malformed", http.StatusBadRequest,
		"the call is not well formed", "correct the field that the error names; docs/registry.md has the calls")
	ErrMemberNotFound = operror.Define("registry.unknown-member", http.StatusNotFound,
		"no such member", "read GET /registry/instances for the ids there are; register the member first")
	ErrMemberChanged = operror.Define("registry.changed-since", http.StatusConflict,
		"changed since it was read", "read it again and decide anew")
	ErrLeaseHeld = operror.Define("registry.lease-held", http.StatusConflict,
		"the lease is held by another", "wait for its TTL, or end its holder with SIGTERM so that it steps down")
	ErrLeaseLost = operror.Define("registry.lease-lost", http.StatusConflict,
		"the lease is not held with that token", "acquire it anew; what the old token wrote since is refused")
	ErrStaleFencingToken = operror.Define("registry.fenced", http.StatusConflict,
		"the fencing token is lower than one already accepted",
		"a successor acts already: end the process that sent this")
	ErrUnknownOperation = operror.Define("registry.unknown-operation", http.StatusBadRequest,
		"no such operation", "run one version of the program on all replicas")
	ErrSnapshotUnreadable = operror.Define("registry.snapshot", http.StatusServiceUnavailable,
		"the snapshot cannot be taken in",
		"run hitchvale recover check DIR; start the newest version of the program that ran here")
	ErrNotLeader = operror.Define("registry.not-leader", http.StatusServiceUnavailable,
		"this replica does not lead",
		"ask the leader that the error names; if there is none, see that a majority of replicas runs")
	ErrNotCommitted = operror.Define("registry.not-committed", http.StatusServiceUnavailable,
		"the write may or may not be committed later",
		"read before writing again; see that a majority of replicas runs")
	ErrReplicaStale = operror.Define("registry.not-fresh", http.StatusServiceUnavailable,
		"this replica has not heard from a leader lately", "ask another replica; see that this one reaches its peers")
	ErrDiskFailed = operror.Define("registry.disk", http.StatusServiceUnavailable,
		"this replica can't write to its folder; a write that it was asked for may or may not be committed later",
		"make room on the disk of data_dir, or replace the disk; the replica comes back by itself; ask another one meanwhile")
	ErrTooManyCalls = operror.Define("registry.busy", http.StatusServiceUnavailable,
		"too many calls at once", "ask again after Retry-After; raise max_calls or add replicas")
)
