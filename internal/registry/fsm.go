package registry

import (
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// fsm applies raft's committed log entries to the State and wakes the waiting watches. It implements raft.FSM and is
// safe for concurrent use.
type fsm struct {
	mu      sync.RWMutex
	state   *State
	changed chan struct{} // closed and replaced after each applied command and each restored snapshot
}

func newFSM(state *State) *fsm {
	return &fsm{state: state, changed: make(chan struct{})}
}

// Apply implements raft.FSM. It executes a committed command and returns its Result, or nil for an entry that is not a
// command.
func (f *fsm) Apply(entry *raft.Log) any {
	if entry.Type != raft.LogCommand {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	command, err := f.state.ParseCommand(entry.Data)
	if err != nil {
		// This is not expected, since a replica of this cluster wrote the entry. Every replica of the same program
		// version rejects the entry in the same way.
		return Result{Revision: f.state.Revision, Err: fmt.Errorf("log entry %d: %w", entry.Index, err)}
	}
	result := f.state.Apply(command)
	f.notifyWatches()
	return result
}

// notifyWatches wakes the goroutines that wait for a change. The caller must hold mu for writing.
func (f *fsm) notifyWatches() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot implements raft.FSM. It encodes the state under the read lock.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	text, err := f.state.Encode()
	if err != nil {
		return nil, err
	}
	return encodedSnapshot(text), nil
}

// Restore implements raft.FSM. It replaces the state with that of a snapshot and closes rc.
func (f *fsm) Restore(rc io.ReadCloser) error {
	defer rc.Close()
	text, err := io.ReadAll(rc)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.state.Decode(text); err != nil {
		return err
	}
	f.notifyWatches()
	return nil
}

// read calls fn with the state under the read lock, and returns the channel that the next change closes. fn must not
// modify the state or keep references to it.
func (f *fsm) read(fn func(*State)) <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
	return f.changed
}

// encodedSnapshot is a snapshot in its stored JSON form. It implements raft.FSMSnapshot.
type encodedSnapshot []byte

// Persist implements raft.FSMSnapshot. It writes the snapshot to sink.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot. It does nothing, since a snapshot has no resources to free.
func (encodedSnapshot) Release() {}
