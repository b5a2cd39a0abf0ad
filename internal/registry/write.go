package registry

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"hitchvale/internal/statemachine"
)

// applyTimeout is the timeout of raft's Apply and Barrier: it limits how long raft may take to accept a command or a
// barrier.
const applyTimeout = 5 * time.Second

// Write commits a command through raft and returns its result after this replica has applied the command. If the state
// rejects the command, Result.Err has the reason. Write fails with ErrNotLeader on a follower. If it fails with
// ErrNotCommitted, with ErrDiskFailed, or because the replica has lost its leadership, the write may still be committed
// later.
func (r *Replica) Write(c statemachine.Command) (Result, error) {
	if !r.IsLeader() {
		return Result{}, ErrNotLeader.Of(r.cfg.ID, nil)
	}
	text, err := EncodeCommand(c)
	if err != nil {
		return Result{}, err
	}
	future := r.raft.Apply(text, applyTimeout)
	if r.ackBeforeCommit {
		return Result{}, nil
	}
	if err := future.Error(); err != nil {
		return Result{}, r.writeFailure(err)
	}
	result, _ := future.Response().(Result)
	if starter, ok := c.(ttlStarter); ok && result.Err == nil {
		if key := starter.heartbeatKey(); key != "" {
			r.heartbeats.record(key)
		}
	}
	return result, nil
}

// writeFailure converts an error of raft's Apply to an error of the registry.
func (r *Replica) writeFailure(err error) error {
	if diskErr := r.store.lastError(); diskErr != nil {
		return ErrDiskFailed.Of(r.cfg.ID, diskErr)
	}
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
		return ErrNotLeader.Of(r.cfg.ID, err)
	}
	return ErrNotCommitted.Of("", err)
}
