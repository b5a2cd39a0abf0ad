package registry

import (
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// This file is the state machine that raft applies committed commands to.

// fsm is the raft state machine over State: it applies committed commands and tells waiting watches.
type fsm struct {
	mu      sync.RWMutex
	state   *State
	changed chan struct{} // closed and replaced at each change
}

func (f *fsm) Apply(l *raft.Log) any {
	if l.Type != raft.LogCommand {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c, err := f.state.ParseCommand(l.Data)
	if err != nil {
		// Written by a replica of ours, so never expected; refused the same on every replica of one version.
		return Result{Revision: f.state.Revision, Err: fmt.Errorf("log entry %d: %w", l.Index, err)}
	}
	r := f.state.Apply(c)
	f.notifyWatches()
	return r
}

func (f *fsm) notifyWatches() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	text, err := f.state.Encode()
	if err != nil {
		return nil, err
	}
	return encodedSnapshot(text), nil
}

func (f *fsm) Restore(rc io.ReadCloser) error {
	defer rc.Close()
	text, err := io.ReadAll(rc)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.state.Decode(text); err != nil {
		return err
	}
	f.notifyWatches()
	return nil
}

// read runs fn on the state under the read lock, and gives the channel that the next change closes.
func (f *fsm) read(fn func(*State)) <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
	return f.changed
}

type encodedSnapshot []byte

func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (encodedSnapshot) Release() {}
