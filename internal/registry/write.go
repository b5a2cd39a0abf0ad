package registry

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"hitchvale/internal/statemachine"
)

// applyTimeout bounds how long a write waits to be committed and applied.
const applyTimeout = 5 * time.Second

// Write commits a command through raft and returns its result once it is applied here. It fails with ErrNotLeader on a
// follower. After ErrNotCommitted, ErrDiskFailed or a lost leadership the write may still be committed later, as after
// any lost answer.
func (r *Replica) Write(c statemachine.Command) (Result, error) {
	if !r.IsLeader() {
		return Result{}, ErrNotLeader.Of(r.cfg.ID, nil)
	}
	text, err := EncodeCommand(c)
	if err != nil {
		return Result{}, err
	}
	future := r.raft.Apply(text, applyTimeout)
	if r.acknowledgeEarly {
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

// writeFailure returns the registry's error for an error of raft.
func (r *Replica) writeFailure(err error) error {
	if diskErr := r.store.lastError(); diskErr != nil {
		return ErrDiskFailed.Of(r.cfg.ID, diskErr)
	}
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
		return ErrNotLeader.Of(r.cfg.ID, err)
	}
	return ErrNotCommitted.Of("", err)
}
