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

// Member is one entry of the list, in PROTOCOL's form.
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

// Phases a member may be set to; "gone" appears only among changes.
const (
	PhaseReady, PhaseDraining, PhaseGone = "ready", "draining", "gone"
)

// Validate checks a member as a write would store it.
func (m Member) Validate() error {
	switch {
	case m.ID == "":
		return ErrMalformed.Of("member", errors.New("missing id"))
	case len(m.ID) > 256:
		return ErrMalformed.Of("member", errors.New("id longer than 256 bytes"))
	case m.Phase != PhaseReady && m.Phase != PhaseDraining:
		return ErrMalformed.Of("member "+m.ID, fmt.Errorf("phase %q is neither ready nor draining", m.Phase))
	case m.Size < 0:
		return ErrMalformed.Of("member "+m.ID, fmt.Errorf("negative size"))
	case m.UpSince < 0:
		return ErrMalformed.Of("member "+m.ID, fmt.Errorf("negative up_since_ms"))
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return ErrMalformed.Of("member "+m.ID, fmt.Errorf("host_port %q is not an address with a port", m.HostPort))
	}
	return nil
}

// entry is a member as the state keeps it.
type memberRecord struct {
	Member   Member `json:"member"`
	TTLms    int64  `json:"ttl_ms"`  // 0: no TTL
	Revision int64  `json:"changed"` // revision of its last change
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
	// Seen is, for expire, the revision of the member's last change that the leader saw: a member registered again
	// since is not expired.
	SeenRevision int64 `json:"seen,omitempty"`
	// Fence, where set, makes the write conditional on its token (see leases.fence).
	FencingToken *FencingToken `json:"fence,omitempty"`
}

// Operation is the command's operation.
func (c *MemberCommand) Operation() statemachine.Operation { return c.Op }

// change is one entry of the ring of recent changes.
type memberChange struct {
	Revision int64
	Member   Member // as it was after the change; phase gone for a removal
}

// members is the machine of the list, with a ring of its recent changes for watches.
type memberStore struct {
	Records    map[string]memberRecord `json:"members"`
	checkToken func(*FencingToken) error
	changes    []memberChange // a circular buffer of the last changes, the oldest at ring[head]; not in snapshots
	oldest     int
	// floor is the revision before the oldest change the ring holds: a watch from below it gets the whole list.
	compactedRevision int64
	lastRevision      int64 // revision of the last change of the list; not in snapshots
}

func newMemberStore(ringCap int, fence func(*FencingToken) error) *memberStore {
	return &memberStore{Records: map[string]memberRecord{}, checkToken: fence, changes: make([]memberChange, 0, max(ringCap, 1))}
}

func (s *memberStore) Kind() string { return "members" }

func (s *memberStore) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &MemberCommand{} }
	return statemachine.CommandsOf(empty, opRegister, opSetPhase, opDeregister, opExpire)
}

func (s *memberStore) Apply(cmd statemachine.Command, next int64) (statemachine.Outcome, error) {
	c := cmd.(*MemberCommand)
	if err := s.checkToken(c.FencingToken); err != nil {
		return statemachine.Outcome{}, err
	}
	if c.Op == opRegister {
		if err := c.Member.Validate(); err != nil {
			return statemachine.Outcome{}, err
		}
		s.store(memberRecord{Member: c.Member, TTLms: c.TTLms}, next)
		return statemachine.Outcome{}, nil
	}
	e, ok := s.Records[c.ID]
	switch {
	case !ok:
		return statemachine.Outcome{}, ErrMemberNotFound.Of(c.ID, nil)
	case c.Op == opSetPhase:
		if err := checkPhase(c.Phase); err != nil {
			return statemachine.Outcome{}, err
		}
		e.Member.Phase = c.Phase
		s.store(e, next)
		return statemachine.Outcome{}, nil
	case c.Op == opExpire && e.Revision != c.SeenRevision:
		return statemachine.Outcome{}, ErrMemberChanged.Of(c.ID, nil)
	}
	e.Member.Phase = PhaseGone
	s.appendChange(e.Member, next)
	delete(s.Records, c.ID)
	return statemachine.Outcome{}, nil
}

func checkPhase(phase string) error {
	if phase != PhaseReady && phase != PhaseDraining {
		return ErrMalformed.Of("phase", fmt.Errorf("%q is neither ready nor draining", phase))
	}
	return nil
}

// put stores a member as it is from revision next on.
func (s *memberStore) store(e memberRecord, next int64) {
	e.Revision = next
	s.Records[e.Member.ID] = e
	s.appendChange(e.Member, next)
}

// bump records a change in the ring.
func (s *memberStore) appendChange(m Member, next int64) {
	s.lastRevision = next
	c := memberChange{Revision: next, Member: m}
	if len(s.changes) < cap(s.changes) {
		s.changes = append(s.changes, c)
		return
	}
	s.compactedRevision = s.changes[s.oldest].Revision
	s.changes[s.oldest] = c
	s.oldest = (s.oldest + 1) % len(s.changes)
}

// Encode writes the members; the ring is not kept.
func (s *memberStore) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode takes the members of a snapshot. The ring starts empty at its revision, so watches from before it get the
// whole list.
func (s *memberStore) Decode(text []byte, revision int64) error {
	n := memberStore{}
	if err := json.Unmarshal(text, &n); err != nil {
		return err
	}
	if n.Records == nil {
		n.Records = map[string]memberRecord{}
	}
	s.Records, s.changes, s.oldest, s.compactedRevision, s.lastRevision = n.Records, s.changes[:0], 0, revision, revision
	return nil
}

// List is an answer in PROTOCOL's form.
type MemberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Whole is the whole list, by id.
func (s *State) CompleteList() MemberList {
	l := MemberList{Revision: s.Revision, Complete: true, Members: make([]Member, 0, len(s.Records))}
	for _, id := range slices.Sorted(maps.Keys(s.Records)) {
		l.Members = append(l.Members, s.Records[id].Member)
	}
	return l
}

// Since is what changed after revision r: each changed member once, as it is now (gone where removed). Where r
// is older than the ring or newer than the list, it is the whole list: never a gap.
func (s *State) ChangesSince(r int64) MemberList {
	if r < 1 || r < s.compactedRevision || r > s.Revision {
		return s.CompleteList()
	}
	latest := map[string]Member{}
	for i := range s.changes {
		if c := s.changes[(s.oldest+i)%len(s.changes)]; c.Revision > r {
			latest[c.Member.ID] = c.Member
		}
	}
	l := MemberList{Revision: s.Revision, Members: make([]Member, 0, len(latest))}
	for _, id := range slices.Sorted(maps.Keys(latest)) {
		l.Members = append(l.Members, latest[id])
	}
	return l
}
