package registry

import (
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// fsm applies raft's committed entries to the State and wakes waiting watches. It implements raft.FSM.
type fsm struct {
	mu      sync.RWMutex
	state   *State
	changed chan struct{} // closed and replaced at each change
}

func newFSM(state *State) *fsm {
	return &fsm{state: state, changed: make(chan struct{})}
}

// Apply executes a committed command and returns its Result.
func (f *fsm) Apply(entry *raft.Log) any {
	if entry.Type != raft.LogCommand {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	command, err := f.state.ParseCommand(entry.Data)
	if err != nil {
		// A replica of this cluster wrote the entry, so this is not expected; every replica of a version refuses it
		// alike.
		return Result{Revision: f.state.Revision, Err: fmt.Errorf("log entry %d: %w", entry.Index, err)}
	}
	result := f.state.Apply(command)
	f.notifyWatches()
	return result
}

// notifyWatches wakes whoever waits for a change. The caller holds mu.
func (f *fsm) notifyWatches() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot encodes the state.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	text, err := f.state.Encode()
	if err != nil {
		return nil, err
	}
	return encodedSnapshot(text), nil
}

// Restore replaces the state by a snapshot's.
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

// read calls fn with the state under the read lock and returns the channel that the next change closes.
func (f *fsm) read(fn func(*State)) <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
	return f.changed
}

// encodedSnapshot is a snapshot in its stored form. It implements raft.FSMSnapshot.
type encodedSnapshot []byte

// Persist writes the snapshot to raft's sink.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release has nothing to free.
func (encodedSnapshot) Release() {}
