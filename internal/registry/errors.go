package registry

import (
	"net/http"

	"hitchvale/internal/operror"
)

// The errors of the registry. A call that fails with one of them has changed nothing, except that a write that fails
// with ErrNotCommitted, ErrDiskFailed or, after a loss of the leadership, ErrNotLeader may be committed later.
// docs/oncall.md lists the errors for operators.
var (
	ErrMalformed = operror.Define("registry.malformed", http.StatusBadRequest,
		"the call is malformed", "correct the field that the error names; docs/registry.md describes the calls")
	ErrMemberNotFound = operror.Define("registry.unknown-member", http.StatusNotFound,
		"no such member", "look up the ids with GET /registry/instances, or register the member first")
	ErrMemberChanged = operror.Define("registry.changed-since", http.StatusConflict,
		"the member has changed since it was read", "read the member again and decide again")
	ErrLeaseHeld = operror.Define("registry.lease-held", http.StatusConflict,
		"the lease is held by another process",
		"wait until its TTL has elapsed, or end its holder with SIGTERM so that the holder releases it")
	ErrLeaseLost = operror.Define("registry.lease-lost", http.StatusConflict,
		"the lease is not held with this token",
		"acquire the lease again; writes with the old token are rejected once a newer token has been used")
	ErrStaleFencingToken = operror.Define("registry.fenced", http.StatusConflict,
		"the fencing token is lower than an already accepted token",
		"the lease has a newer holder that already writes: end the process that sent this call")
	ErrUnknownOperation = operror.Define("registry.unknown-operation", http.StatusBadRequest,
		"unknown operation", "run the same version of the program on all replicas")
	ErrSnapshotUnreadable = operror.Define("registry.snapshot", http.StatusServiceUnavailable,
		"the snapshot cannot be restored",
		"run hitchvale recover check DIR; start the newest version of the program that has used this data_dir")
	ErrNotLeader = operror.Define("registry.not-leader", http.StatusServiceUnavailable,
		"this replica is not the leader",
		"call the leader that the error names; if it names none, check that a majority of the replicas is running")
	ErrNotCommitted = operror.Define("registry.not-committed", http.StatusServiceUnavailable,
		"the write is not known to be committed and may still be committed later",
		"read the state before writing again; check that a majority of the replicas is running")
	ErrReplicaStale = operror.Define("registry.not-fresh", http.StatusServiceUnavailable,
		"this replica has had no recent contact with a leader",
		"call another replica; check that this replica can reach its peers")
	ErrDiskFailed = operror.Define("registry.disk", http.StatusServiceUnavailable,
		"this replica cannot write to its data_dir; a write sent to it may still be committed later",
		"free space on the disk of data_dir, or replace the disk; the replica recovers without a restart; "+
			"call another replica until then")
	ErrTooManyCalls = operror.Define("registry.busy", http.StatusServiceUnavailable,
		"too many calls in flight", "retry after the time in Retry-After; raise max_calls or add replicas")
)
