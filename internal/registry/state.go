// Package registry is the project's own discovery service: a list of backends replicated with hashicorp/raft,
// served as PROTOCOL-hitchvale.md's discovery section says (the whole list, and the watch ?after=R&wait_ms=W),
// with a write side in the same HTTP/JSON style. See docs/ROADMAP.md and docs/registry.md.
package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"hitchvale/internal/statemachine"
)

// snapshotVersion is the form of the snapshots written. Version 0 had the members and the leases side by side; it is
// read still.
const snapshotVersion = 1

// State is the replicated state: machines, each of one kind of records, under one revision that every change raises by
// one. It is deterministic: the same commands in the same order give the same state on every replica. Not safe for
// concurrent use.
type State struct {
	Revision int64
	*memberStore
	*leaseStore
	machines           []statemachine.Machine
	machineByOperation map[statemachine.Operation]statemachine.Machine
}

// Result is what applying a command gives: the revision after it, what the machine answers, or why nothing changed.
type Result struct {
	Revision int64
	Err      error
	Value    any
}

// NewState is an empty state at revision 0 whose list has a ring of ringCap changes, with the machines of further kinds
// beside the members and the leases.
func NewState(ringCap int, more ...statemachine.Machine) *State {
	l := newLeaseStore()
	s := &State{leaseStore: l, memberStore: newMemberStore(ringCap, l.checkToken), machineByOperation: map[statemachine.Operation]statemachine.Machine{}}
	s.addMachines(append([]statemachine.Machine{s.memberStore, s.leaseStore}, more...)...)
	return s
}

// add puts further kinds of records into the state, before the first command.
func (s *State) addMachines(more ...statemachine.Machine) {
	for _, m := range more {
		s.machines = append(s.machines, m)
		for op := range m.Commands() {
			s.machineByOperation[op] = m
		}
	}
}

// EncodeCommand is a command as the log holds it.
func EncodeCommand(c statemachine.Command) ([]byte, error) { return json.Marshal(c) }

// ParseCommand reads a command from the log.
func (s *State) ParseCommand(text []byte) (statemachine.Command, error) {
	var head struct {
		Op statemachine.Operation `json:"op"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	m := s.machineByOperation[head.Op]
	if m == nil {
		return nil, ErrUnknownOperation.Of(string(head.Op), nil)
	}
	c := m.Commands()[head.Op]()
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("command %s: %w", head.Op, err)
	}
	return c, nil
}

// Apply carries out one command.
func (s *State) Apply(c statemachine.Command) Result {
	m := s.machineByOperation[c.Operation()]
	if m == nil {
		return Result{Revision: s.Revision, Err: ErrUnknownOperation.Of(string(c.Operation()), nil)}
	}
	out, err := m.Apply(c, s.Revision+1)
	if err == nil && !out.Unchanged {
		s.Revision++
	}
	return Result{Revision: s.Revision, Err: err, Value: out.Value}
}

// image is a snapshot of version 1.
type snapshotImage struct {
	Version  int                        `json:"version"`
	Revision int64                      `json:"revision"`
	Machines map[string]json.RawMessage `json:"machines"`
}

// Encode writes the state for a snapshot (JSON: version, revision, and each machine's part under its kind).
func (s *State) Encode() ([]byte, error) {
	n := snapshotImage{Version: snapshotVersion, Revision: s.Revision, Machines: map[string]json.RawMessage{}}
	for _, m := range s.machines {
		text, err := m.Encode()
		if err != nil {
			return nil, fmt.Errorf("snapshot of %s: %w", m.Kind(), err)
		}
		n.Machines[m.Kind()] = text
	}
	return json.Marshal(n)
}

// Decode replaces the state with a snapshot's. A kind that the snapshot lacks starts empty; one that this program does
// not know is refused, since dropping it would lose acknowledged writes, and so is a version newer than its own.
func (s *State) Decode(text []byte) error {
	var n snapshotImage
	if err := json.Unmarshal(text, &n); err != nil {
		return ErrSnapshotUnreadable.Of("", err)
	}
	switch {
	case n.Version > snapshotVersion:
		return ErrSnapshotUnreadable.Of("", fmt.Errorf("version %d, this program reads up to %d", n.Version, snapshotVersion))
	case n.Version == 0: // members and leases side by side: each reads its own fields of the whole
		n.Machines = map[string]json.RawMessage{s.memberStore.Kind(): text, s.leaseStore.Kind(): text}
	}
	for kind := range n.Machines {
		if !slices.ContainsFunc(s.machines, func(m statemachine.Machine) bool { return m.Kind() == kind }) {
			return ErrSnapshotUnreadable.Of(kind, errors.New("records of a kind that this program does not know"))
		}
	}
	for _, m := range s.machines {
		part, ok := n.Machines[m.Kind()]
		if !ok {
			part = json.RawMessage("{}")
		}
		if err := m.Decode(part, n.Revision); err != nil {
			return ErrSnapshotUnreadable.Of(m.Kind(), err)
		}
	}
	s.Revision = n.Revision
	return nil
}
