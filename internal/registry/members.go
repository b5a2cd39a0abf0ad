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

// The phases of a member. A write may set ready or draining. Only a list of changes contains gone: it marks a member
// that was removed.
const (
	PhaseReady    = "ready"
	PhaseDraining = "draining"
	PhaseGone     = "gone"
)

// maxMemberIDBytes is the maximum length of a member's ID.
const maxMemberIDBytes = 256

// Member is one endpoint of the member list. PROTOCOL-hitchvale.md defines its JSON form.
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

// Validate checks whether the member may be stored. It fails with ErrMalformed, which names the invalid field.
func (m Member) Validate() error {
	switch {
	case m.ID == "":
		return ErrMalformed.Of("member", errors.New("id is missing"))
	case len(m.ID) > maxMemberIDBytes:
		return ErrMalformed.Of("member", fmt.Errorf("id is longer than %d bytes", maxMemberIDBytes))
	case m.Phase != PhaseReady && m.Phase != PhaseDraining:
		return ErrMalformed.Of("member "+m.ID, fmt.Errorf("phase %q is neither ready nor draining", m.Phase))
	case m.Size < 0:
		return ErrMalformed.Of("member "+m.ID, errors.New("size is negative; it must be 0 or more"))
	case m.UpSince < 0:
		return ErrMalformed.Of("member "+m.ID, errors.New("up_since_ms is negative; it must be 0 or more"))
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return ErrMalformed.Of("member "+m.ID, fmt.Errorf("host_port %q is not an IP address with a port", m.HostPort))
	}
	return nil
}

func validatePhase(phase string) error {
	if phase != PhaseReady && phase != PhaseDraining {
		return ErrMalformed.Of("phase", fmt.Errorf("%q is neither ready nor draining", phase))
	}
	return nil
}

// MemberList is the response to a read or a watch. PROTOCOL-hitchvale.md defines its JSON form.
type MemberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // Members holds all members, not only the members that changed
	Members  []Member `json:"members"`
}

// The operations on the member list, as stored in the log.
const (
	opRegister   statemachine.Operation = "register"
	opSetPhase   statemachine.Operation = "phase"
	opDeregister statemachine.Operation = "deregister"
	opExpire     statemachine.Operation = "expire"
)

// MemberCommand is a write to the member list. opRegister uses Member and TTLms; the other operations name the member
// by ID.
type MemberCommand struct {
	Op     statemachine.Operation `json:"op"`
	Member Member                 `json:"member,omitzero"`
	TTLms  int64                  `json:"ttl_ms,omitempty"`
	ID     string                 `json:"id,omitempty"`
	Phase  string                 `json:"phase,omitempty"`
	// SeenRevision is used by opExpire. It is the revision of the member's last change when the leader found that its
	// TTL had elapsed. A member that has changed since then, for example by a new registration, does not expire.
	SeenRevision int64 `json:"seen,omitempty"`
	// FencingToken, if set, makes the write conditional on the token, as leaseStore.checkToken describes.
	FencingToken *FencingToken `json:"fence,omitempty"`
}

// Operation returns the command's operation.
func (c *MemberCommand) Operation() statemachine.Operation { return c.Op }

// memberRecord is a member as the state stores it.
type memberRecord struct {
	Member   Member `json:"member"`
	TTLms    int64  `json:"ttl_ms"`  // 0: no TTL
	Revision int64  `json:"changed"` // revision of the member's last change
}

// memberStore is the state machine of the member list. It is not safe for concurrent use.
type memberStore struct {
	Records    map[string]memberRecord `json:"members"` // by member ID
	changes    changeLog
	checkToken func(*FencingToken) error
}

func newMemberStore(changeLogSize int, checkToken func(*FencingToken) error) *memberStore {
	return &memberStore{
		Records:    map[string]memberRecord{},
		changes:    newChangeLog(changeLogSize),
		checkToken: checkToken,
	}
}

// Kind implements statemachine.Machine.
func (s *memberStore) Kind() string { return "members" }

// Commands implements statemachine.Machine.
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

// store inserts or replaces a record with a change of revision nextRevision.
func (s *memberStore) store(record memberRecord, nextRevision int64) {
	record.Revision = nextRevision
	s.Records[record.Member.ID] = record
	s.changes.append(memberChange{Revision: nextRevision, Member: record.Member})
}

// remove deletes a record with a change of revision nextRevision. Watches receive the member in phase gone.
func (s *memberStore) remove(record memberRecord, nextRevision int64) {
	id := record.Member.ID
	record.Member.Phase = PhaseGone
	s.changes.append(memberChange{Revision: nextRevision, Member: record.Member})
	delete(s.Records, id)
}

// sorted returns all members, sorted by ID.
func (s *memberStore) sorted() []Member {
	members := make([]Member, 0, len(s.Records))
	for _, id := range slices.Sorted(maps.Keys(s.Records)) {
		members = append(members, s.Records[id].Member)
	}
	return members
}

// Encode implements statemachine.Machine.
func (s *memberStore) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode implements statemachine.Machine. The change log starts empty, so that a watch from a revision before the
// snapshot gets the complete list.
func (s *memberStore) Decode(section []byte, revision int64) error {
	decoded := memberStore{}
	if err := json.Unmarshal(section, &decoded); err != nil {
		return err
	}
	if decoded.Records == nil {
		decoded.Records = map[string]memberRecord{}
	}
	s.Records = decoded.Records
	s.changes.reset(revision)
	return nil
}

// CompleteList returns all members, sorted by ID.
func (s *State) CompleteList() MemberList {
	return MemberList{Revision: s.Revision, Complete: true, Members: s.members.sorted()}
}

// ChangesSince returns the members that changed after a revision. Each member appears once in its current form; a
// removed member appears in phase gone. If the change log does not reach back to the revision, or if the revision is
// newer than the state, ChangesSince returns the complete list.
func (s *State) ChangesSince(revision int64) MemberList {
	if revision < 1 || revision < s.members.changes.compactedRevision || revision > s.Revision {
		return s.CompleteList()
	}
	return MemberList{Revision: s.Revision, Members: s.members.changes.since(revision)}
}
