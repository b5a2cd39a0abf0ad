package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"hitchvale/internal/statemachine"
)

// The phases of a member. A write may set ready or draining; gone appears among changes alone, for a removal.
const (
	PhaseReady    = "ready"
	PhaseDraining = "draining"
	PhaseGone     = "gone"
)

// maxMemberIDBytes bounds the length of a member's ID.
const maxMemberIDBytes = 256

// Member is one endpoint of the list, in the form of PROTOCOL-hitchvale.md.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Validate reports with ErrMalformed what keeps a member from being stored.
func (m Member) Validate() error {
	switch {
	case m.ID == "":
		return ErrMalformed.Of("member", errors.New("missing id"))
	case len(m.ID) > maxMemberIDBytes:
		return ErrMalformed.Of("member", fmt.Errorf("id longer than %d bytes", maxMemberIDBytes))
	case m.Phase != PhaseReady && m.Phase != PhaseDraining:
		return ErrMalformed.Of("member "+m.ID, fmt.Errorf("phase %q is neither ready nor draining", m.Phase))
	case m.Size < 0:
		return ErrMalformed.Of("member "+m.ID, errors.New("negative size"))
	case m.UpSince < 0:
		return ErrMalformed.Of("member "+m.ID, errors.New("negative up_since_ms"))
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return ErrMalformed.Of("member "+m.ID, fmt.Errorf("host_port %q is not an address with a port", m.HostPort))
	}
	return nil
}

func validatePhase(phase string) error {
	if phase != PhaseReady && phase != PhaseDraining {
		return ErrMalformed.Of("phase", fmt.Errorf("%q is neither ready nor draining", phase))
	}
	return nil
}

// MemberList is the answer to a read or a watch, in the form of PROTOCOL-hitchvale.md.
type MemberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // all members rather than those that changed
	Members  []Member `json:"members"`
}

// The operations on the member list, as stored in the log.
const (
	opRegister   statemachine.Operation = "register"
	opSetPhase   statemachine.Operation = "phase"
	opDeregister statemachine.Operation = "deregister"
	opExpire     statemachine.Operation = "expire"
)

// MemberCommand is a write of the member list. opRegister uses Member and TTLms; the others name the member by ID.
type MemberCommand struct {
	Op     statemachine.Operation `json:"op"`
	Member Member                 `json:"member,omitzero"`
	TTLms  int64                  `json:"ttl_ms,omitempty"`
	ID     string                 `json:"id,omitempty"`
	Phase  string                 `json:"phase,omitempty"`
	// SeenRevision is, for opExpire, the revision of the member's last change when the leader found its TTL elapsed: a
	// member registered again since is not expired.
	SeenRevision int64 `json:"seen,omitempty"`
	// FencingToken, if set, makes the write conditional on the token (see leaseStore.checkToken).
	FencingToken *FencingToken `json:"fence,omitempty"`
}

// Operation returns the command's operation.
func (c *MemberCommand) Operation() statemachine.Operation { return c.Op }

// memberRecord is a member as the state stores it.
type memberRecord struct {
	Member   Member `json:"member"`
	TTLms    int64  `json:"ttl_ms"`  // 0: no TTL
	Revision int64  `json:"changed"` // of its last change
}

// memberStore is the state machine of the member list.
type memberStore struct {
	Records    map[string]memberRecord `json:"members"` // by ID
	log        changeLog
	checkToken func(*FencingToken) error
}

func newMemberStore(changeLogSize int, checkToken func(*FencingToken) error) *memberStore {
	return &memberStore{
		Records:    map[string]memberRecord{},
		log:        newChangeLog(changeLogSize),
		checkToken: checkToken,
	}
}

// Kind is part of statemachine.Machine.
func (s *memberStore) Kind() string { return "members" }

// Commands is part of statemachine.Machine.
func (s *memberStore) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &MemberCommand{} }
	return statemachine.CommandConstructors(empty, opRegister, opSetPhase, opDeregister, opExpire)
}

// Apply executes a MemberCommand. It fails with ErrStaleFencingToken, ErrMalformed, ErrMemberNotFound or, for opExpire,
// ErrMemberChanged.
func (s *memberStore) Apply(cmd statemachine.Command, nextRevision int64) (statemachine.Outcome, error) {
	c := cmd.(*MemberCommand)
	if err := s.checkToken(c.FencingToken); err != nil {
		return statemachine.Outcome{}, err
	}
	if c.Op == opRegister {
		return statemachine.Outcome{}, s.register(c, nextRevision)
	}
	record, ok := s.Records[c.ID]
	if !ok {
		return statemachine.Outcome{}, ErrMemberNotFound.Of(c.ID, nil)
	}
	switch c.Op {
	case opSetPhase:
		return statemachine.Outcome{}, s.setPhase(record, c.Phase, nextRevision)
	case opExpire:
		if record.Revision != c.SeenRevision {
			return statemachine.Outcome{}, ErrMemberChanged.Of(c.ID, nil)
		}
	}
	s.remove(record, nextRevision)
	return statemachine.Outcome{}, nil
}

func (s *memberStore) register(c *MemberCommand, nextRevision int64) error {
	if err := c.Member.Validate(); err != nil {
		return err
	}
	s.store(memberRecord{Member: c.Member, TTLms: c.TTLms}, nextRevision)
	return nil
}

func (s *memberStore) setPhase(record memberRecord, phase string, nextRevision int64) error {
	if err := validatePhase(phase); err != nil {
		return err
	}
	record.Member.Phase = phase
	s.store(record, nextRevision)
	return nil
}

// store inserts or replaces a record as of nextRevision.
func (s *memberStore) store(record memberRecord, nextRevision int64) {
	record.Revision = nextRevision
	s.Records[record.Member.ID] = record
	s.log.append(memberChange{Revision: nextRevision, Member: record.Member})
}

// remove deletes a record as of nextRevision; watches get the member in phase gone.
func (s *memberStore) remove(record memberRecord, nextRevision int64) {
	id := record.Member.ID
	record.Member.Phase = PhaseGone
	s.log.append(memberChange{Revision: nextRevision, Member: record.Member})
	delete(s.Records, id)
}

// sorted returns all members by ID.
func (s *memberStore) sorted() []Member {
	members := make([]Member, 0, len(s.Records))
	for _, id := range slices.Sorted(maps.Keys(s.Records)) {
		members = append(members, s.Records[id].Member)
	}
	return members
}

// Encode is part of statemachine.Machine.
func (s *memberStore) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode is part of statemachine.Machine. The change log starts empty, so that a watch from before the snapshot gets
// the complete list.
func (s *memberStore) Decode(section []byte, revision int64) error {
	decoded := memberStore{}
	if err := json.Unmarshal(section, &decoded); err != nil {
		return err
	}
	if decoded.Records == nil {
		decoded.Records = map[string]memberRecord{}
	}
	s.Records = decoded.Records
	s.log.reset(revision)
	return nil
}

// CompleteList returns all members by ID.
func (s *State) CompleteList() MemberList {
	return MemberList{Revision: s.Revision, Complete: true, Members: s.members.sorted()}
}

// ChangesSince returns the members that changed after a revision, each once in its present form, removed ones in phase
// gone. If the change log does not reach back to the revision, or the revision is newer than the state, it returns the
// complete list.
func (s *State) ChangesSince(revision int64) MemberList {
	if revision < 1 || revision < s.members.log.compactedRevision || revision > s.Revision {
		return s.CompleteList()
	}
	return MemberList{Revision: s.Revision, Members: s.members.log.since(revision)}
}
