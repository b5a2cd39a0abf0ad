// Package registry is the project's discovery service: a member list, leases, node sessions and a maintenance plan,
// replicated with hashicorp/raft and served over HTTP. It answers reads and watches as PROTOCOL-hitchvale.md says and
// takes writes in the same HTTP and JSON style. docs/registry.md is the reference of calls, keys and metrics.
package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"hitchvale/internal/statemachine"
)

// snapshotVersion is the version of the snapshots written. Version 0, which had members and leases side by side, can
// still be read.
const snapshotVersion = 1

// State is the replicated state: several state machines under one revision, which rises by one with every change. It is
// deterministic: the same commands in the same order give the same state on every replica. Not safe for concurrent use.
type State struct {
	Revision int64

	members            *memberStore
	leases             *leaseStore
	machines           []statemachine.Machine // every machine, members and leases included
	machineByOperation map[statemachine.Operation]statemachine.Machine
}

// Result is the result of applying a command.
type Result struct {
	Revision int64 // of the state after the command
	Err      error // why nothing changed; nil if the command was applied
	Value    any   // the record that the writer gets in its answer; nil if there is none
}

// NewState returns an empty state at revision 0 whose member list remembers changeLogSize changes for watches. Machines
// are added beside those of the members and the leases.
func NewState(changeLogSize int, machines ...statemachine.Machine) *State {
	leases := newLeaseStore()
	s := &State{
		members:            newMemberStore(changeLogSize, leases.checkToken),
		leases:             leases,
		machineByOperation: map[statemachine.Operation]statemachine.Machine{},
	}
	s.addMachines(s.members, s.leases)
	s.addMachines(machines...)
	return s
}

// addMachines adds machines to the state, before the first command is applied.
func (s *State) addMachines(machines ...statemachine.Machine) {
	for _, machine := range machines {
		s.machines = append(s.machines, machine)
		for operation := range machine.Commands() {
			s.machineByOperation[operation] = machine
		}
	}
}

// EncodeCommand returns a command in the form that the log stores.
func EncodeCommand(c statemachine.Command) ([]byte, error) { return json.Marshal(c) }

// ParseCommand decodes a command from the log. It fails with ErrUnknownOperation if no machine has the operation.
func (s *State) ParseCommand(text []byte) (statemachine.Command, error) {
	var head struct {
		Operation statemachine.Operation `json:"op"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	machine := s.machineByOperation[head.Operation]
	if machine == nil {
		return nil, ErrUnknownOperation.Of(string(head.Operation), nil)
	}
	command := machine.Commands()[head.Operation]()
	if err := json.Unmarshal(text, command); err != nil {
		return nil, fmt.Errorf("command %s: %w", head.Operation, err)
	}
	return command, nil
}

// Apply executes one command.
func (s *State) Apply(c statemachine.Command) Result {
	machine := s.machineByOperation[c.Operation()]
	if machine == nil {
		return Result{Revision: s.Revision, Err: ErrUnknownOperation.Of(string(c.Operation()), nil)}
	}
	outcome, err := machine.Apply(c, s.Revision+1)
	if err == nil && !outcome.Unchanged {
		s.Revision++
	}
	return Result{Revision: s.Revision, Err: err, Value: outcome.Value}
}

// snapshotImage is a snapshot of version 1: the sections of the machines by their kind.
type snapshotImage struct {
	Version  int                        `json:"version"`
	Revision int64                      `json:"revision"`
	Machines map[string]json.RawMessage `json:"machines"`
}

// Encode returns the state as a snapshot in JSON.
func (s *State) Encode() ([]byte, error) {
	image := snapshotImage{
		Version:  snapshotVersion,
		Revision: s.Revision,
		Machines: map[string]json.RawMessage{},
	}
	for _, machine := range s.machines {
		section, err := machine.Encode()
		if err != nil {
			return nil, fmt.Errorf("snapshot of %s: %w", machine.Kind(), err)
		}
		image.Machines[machine.Kind()] = section
	}
	return json.Marshal(image)
}

// Decode replaces the state by a snapshot's. A machine without a section starts empty. A snapshot of a newer version,
// or with a section of a machine that this program does not have, is refused with ErrSnapshotUnreadable: to drop the
// section would lose acknowledged writes.
func (s *State) Decode(text []byte) error {
	var image snapshotImage
	if err := json.Unmarshal(text, &image); err != nil {
		return ErrSnapshotUnreadable.Of("", err)
	}
	if image.Version > snapshotVersion {
		return ErrSnapshotUnreadable.Of("",
			fmt.Errorf("version %d, this program reads up to %d", image.Version, snapshotVersion))
	}
	if image.Version == 0 { // one object with the fields of both: each machine decodes its own
		image.Machines = map[string]json.RawMessage{s.members.Kind(): text, s.leases.Kind(): text}
	}
	if err := s.checkKinds(image); err != nil {
		return err
	}
	for _, machine := range s.machines {
		section, ok := image.Machines[machine.Kind()]
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

// checkKinds refuses a snapshot with a section that no machine of this program decodes.
func (s *State) checkKinds(image snapshotImage) error {
	for kind := range image.Machines {
		known := slices.ContainsFunc(s.machines, func(m statemachine.Machine) bool { return m.Kind() == kind })
		if !known {
			return ErrSnapshotUnreadable.Of(kind, errors.New("records of a kind that this program does not know"))
		}
	}
	return nil
}
