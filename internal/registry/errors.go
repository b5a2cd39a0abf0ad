package registry

import (
	"net/http"

	"hitchvale/internal/operror"
)

type marker struct{}

// Error is an error of the registry; its kinds stand below and, with what an operator can do, in docs/oncall.md.
type Error = operror.Error[marker]

var problems operror.Set[marker]

// The kinds of errors. Each changes nothing in the state.
var (
	ErrMalformed = problems.Define("registry.malformed", http.StatusBadRequest,
		"the call is not well formed", "correct the field that the error names; docs/registry.md has the calls")
	ErrMemberNotFound = problems.Define("registry.unknown-member", http.StatusNotFound,
		"no such member", "read GET /registry/instances for the ids there are; register the member first")
	ErrMemberChanged = problems.Define("registry.changed-since", http.StatusConflict,
		"changed since it was read", "read it again and decide anew")
	ErrLeaseHeld = problems.Define("registry.lease-held", http.StatusConflict,
		"the lease is held by another", "wait for its TTL, or end its holder with SIGTERM so that it steps down")
	ErrLeaseLost = problems.Define("registry.lease-lost", http.StatusConflict,
		"the lease is not held with that token", "acquire it anew; what the old token wrote since is refused")
	ErrStaleFencingToken = problems.Define("registry.fenced", http.StatusConflict,
		"the fencing token is lower than one already accepted", "a successor acts already: end the process that sent this")
	ErrUnknownOperation = problems.Define("registry.unknown-operation", http.StatusBadRequest,
		"no such operation", "run one version of the program on all replicas")
	ErrSnapshotUnreadable = problems.Define("registry.snapshot", http.StatusServiceUnavailable,
		"the snapshot cannot be taken in", "run hitchvale recover check DIR; start the newest version of the program that ran here")
	ErrNotLeader = problems.Define("registry.not-leader", http.StatusServiceUnavailable,
		"this replica does not lead", "ask the leader that the error names; if there is none, see that a majority of replicas runs")
	ErrNotCommitted = problems.Define("registry.not-committed", http.StatusServiceUnavailable,
		"the write may or may not be committed later", "read before writing again; see that a majority of replicas runs")
	ErrReplicaStale = problems.Define("registry.not-fresh", http.StatusServiceUnavailable,
		"this replica has not heard from a leader lately", "ask another replica; see that this one reaches its peers")
	ErrDiskFailed = problems.Define("registry.disk", http.StatusServiceUnavailable,
		"this replica can't write to its folder; a write that it was asked for may or may not be committed later",
		"make room on the disk of data_dir, or replace the disk; the replica comes back by itself; ask another one meanwhile")
	ErrTooManyCalls = problems.Define("registry.busy", http.StatusServiceUnavailable,
		"too many calls at once", "ask again after Retry-After; raise max_calls or add replicas")
)

// Problems are the kinds of errors that the registry gives.
func Problems() []operror.Kind { return problems.Entries() }
