// Package registry implements the discovery service that nodes and operators use: a member list, leases, node sessions
// and a maintenance plan, replicated with hashicorp/raft and served over HTTP. Reads and watches follow
// PROTOCOL-hitchvale.md, and writes use the same HTTP and JSON style. docs/registry.md is the reference for the calls,
// the configuration keys and the metrics.
package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"hitchvale/internal/statemachine"
)

// snapshotVersion is the version of the snapshots that this program writes. It also reads version 0, in which the
// fields of the member list and of the leases share one JSON object.
const snapshotVersion = 1

// State is the replicated state: several state machines that share one revision. Each command that changes the state
// increments the revision by one. State is deterministic: the same commands in the same order produce the same state on
// every replica. It is not safe for concurrent use.
type State struct {
	Revision int64

	members                 *memberStore
	leases                  *leaseStore
	stateMachines           []statemachine.Machine // all state machines, including members and leases
	stateMachineByOperation map[statemachine.Operation]statemachine.Machine
}

// Result is the result of applying a command.
type Result struct {
	Revision int64 // revision of the state after the command
	Err      error // the reason why the command changed nothing; nil if the command was applied
	Value    any   // the record that the response to the writer contains; nil if there is none
}

// NewState returns an empty state at revision 0. Its member list keeps the last changeLogSize changes for watches. The
// given state machines are added to the state machines of the members and the leases.
func NewState(changeLogSize int, machines ...statemachine.Machine) *State {
	leases := newLeaseStore()
	s := &State{
		members:                 newMemberStore(changeLogSize, leases.checkToken),
		leases:                  leases,
		stateMachineByOperation: map[statemachine.Operation]statemachine.Machine{},
	}
	s.addStateMachines(s.members, s.leases)
	s.addStateMachines(machines...)
	return s
}

// addStateMachines adds state machines. It must be called before the first command is applied.
func (s *State) addStateMachines(machines ...statemachine.Machine) {
	for _, machine := range machines {
		s.stateMachines = append(s.stateMachines, machine)
		for operation := range machine.Commands() {
			s.stateMachineByOperation[operation] = machine
		}
	}
}

// EncodeCommand returns a command in the JSON form that the log stores.
func EncodeCommand(c statemachine.Command) ([]byte, error) { return json.Marshal(c) }

// ParseCommand decodes a command from the log. It fails with ErrUnknownOperation if no state machine has the command's
// operation.
func (s *State) ParseCommand(text []byte) (statemachine.Command, error) {
	var head struct {
		Operation statemachine.Operation `json:"op"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	machine := s.stateMachineByOperation[head.Operation]
	if machine == nil {
		return nil, ErrUnknownOperation.Of(string(head.Operation), nil)
	}
	command := machine.Commands()[head.Operation]()
	if err := json.Unmarshal(text, command); err != nil {
		return nil, fmt.Errorf("decode command %s: %w", head.Operation, err)
	}
	return command, nil
}

// Apply executes one command on the state machine that has its operation. The revision stays the same if the command
// fails or its outcome is Unchanged.
func (s *State) Apply(c statemachine.Command) Result {
	machine := s.stateMachineByOperation[c.Operation()]
	if machine == nil {
		return Result{Revision: s.Revision, Err: ErrUnknownOperation.Of(string(c.Operation()), nil)}
	}
	outcome, err := machine.Apply(c, s.Revision+1)
	if err == nil && !outcome.Unchanged {
		s.Revision++
	}
	return Result{Revision: s.Revision, Err: err, Value: outcome.Value}
}

// snapshotImage is the JSON form of a snapshot of version 1. Sections holds the section of each state machine by the
// machine's kind.
type snapshotImage struct {
	Version  int                        `json:"version"`
	Revision int64                      `json:"revision"`
	Sections map[string]json.RawMessage `json:"machines"`
}

// Encode returns the state as a snapshot in JSON.
func (s *State) Encode() ([]byte, error) {
	image := snapshotImage{
		Version:  snapshotVersion,
		Revision: s.Revision,
		Sections: map[string]json.RawMessage{},
	}
	for _, machine := range s.stateMachines {
		section, err := machine.Encode()
		if err != nil {
			return nil, fmt.Errorf("encode snapshot section %s: %w", machine.Kind(), err)
		}
		image.Sections[machine.Kind()] = section
	}
	return json.Marshal(image)
}

// Decode replaces the state with that of a snapshot. A state machine without a section starts empty. Decode fails with
// ErrSnapshotUnreadable if the snapshot is malformed, has a newer version, or has a section of a state machine that
// this program does not have: dropping such a section would lose acknowledged writes.
func (s *State) Decode(text []byte) error {
	var image snapshotImage
	if err := json.Unmarshal(text, &image); err != nil {
		return ErrSnapshotUnreadable.Of("", err)
	}
	if image.Version > snapshotVersion {
		return ErrSnapshotUnreadable.Of("",
			fmt.Errorf("the snapshot has version %d; this program reads versions up to %d", image.Version, snapshotVersion))
	}
	if image.Version == 0 {
		// One object has the fields of the members and of the leases. Each of the two state machines decodes its own
		// fields and ignores the others.
		image.Sections = map[string]json.RawMessage{s.members.Kind(): text, s.leases.Kind(): text}
	}
	if err := s.checkSectionKinds(image); err != nil {
		return err
	}
	for _, machine := range s.stateMachines {
		section, ok := image.Sections[machine.Kind()]
		if !ok {
			section = json.RawMessage("{}")
		}
		if err := machine.Decode(section, image.Revision); err != nil {
			return ErrSnapshotUnreadable.Of(machine.Kind(), err)
		}
	}
	s.Revision = image.Revision
	return nil
}

// checkSectionKinds fails with ErrSnapshotUnreadable if the snapshot has a section that no state machine of this
// program decodes.
func (s *State) checkSectionKinds(image snapshotImage) error {
	for kind := range image.Sections {
		known := slices.ContainsFunc(s.stateMachines, func(m statemachine.Machine) bool { return m.Kind() == kind })
		if !known {
			return ErrSnapshotUnreadable.Of(kind, errors.New("this program does not know records of this kind"))
		}
	}
	return nil
}
