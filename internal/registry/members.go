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
	Ready, Draining, Gone = "ready", "draining", "gone"
)

// Validate checks a member as a write would store it.
func (m Member) Validate() error {
	switch {
	case m.ID == "":
		return ErrMalformed.Of("member", errors.New("missing id"))
	case len(m.ID) > 256:
		return ErrMalformed.Of("member", errors.New("id longer than 256 bytes"))
	case m.Phase != Ready && m.Phase != Draining:
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
type entry struct {
	Member  Member `json:"member"`
	TTLms   int64  `json:"ttl_ms"`  // 0: no TTL
	Changed int64  `json:"changed"` // revision of its last change
}

// MemberCommand is a write of the list: register, phase, deregister or expire.
type MemberCommand struct {
	Op     string `json:"op"`
	Member Member `json:"member,omitzero"`
	TTLms  int64  `json:"ttl_ms,omitempty"`
	ID     string `json:"id,omitempty"`
	Phase  string `json:"phase,omitempty"`
	// Seen is, for expire, the revision of the member's last change that the leader saw: a member registered again
	// since is not expired.
	Seen int64 `json:"seen,omitempty"`
	// Fence, where set, makes the write conditional on its token (see leases.fence).
	Fence *Fence `json:"fence,omitempty"`
}

// Operation is the command's operation.
func (c *MemberCommand) Operation() string { return c.Op }

// change is one entry of the ring of recent changes.
type change struct {
	Revision int64
	Member   Member // as it was after the change; phase gone for a removal
}

// members is the machine of the list, with a ring of its recent changes for watches.
type members struct {
	Members map[string]entry `json:"members"`
	fence   func(*Fence) error
	ring    []change // a circular buffer of the last changes, the oldest at ring[head]; not in snapshots
	head    int
	// floor is the revision before the oldest change the ring holds: a watch from below it gets the whole list.
	floor int64
	last  int64 // revision of the last change of the list; not in snapshots
}

func newMembers(ringCap int, fence func(*Fence) error) *members {
	return &members{Members: map[string]entry{}, fence: fence, ring: make([]change, 0, max(ringCap, 1))}
}

func (s *members) Kind() string { return "members" }

func (s *members) Commands() map[string]func() statemachine.Command {
	empty := func() statemachine.Command { return &MemberCommand{} }
	return map[string]func() statemachine.Command{"register": empty, "phase": empty, "deregister": empty, "expire": empty}
}

func (s *members) Apply(cmd statemachine.Command, next int64) (statemachine.Outcome, error) {
	c := cmd.(*MemberCommand)
	if err := s.fence(c.Fence); err != nil {
		return statemachine.Outcome{}, err
	}
	if c.Op == "register" {
		if err := c.Member.Validate(); err != nil {
			return statemachine.Outcome{}, err
		}
		s.put(entry{Member: c.Member, TTLms: c.TTLms}, next)
		return statemachine.Outcome{}, nil
	}
	e, ok := s.Members[c.ID]
	switch {
	case !ok:
		return statemachine.Outcome{}, ErrUnknown.Of(c.ID, nil)
	case c.Op == "phase":
		if err := checkPhase(c.Phase); err != nil {
			return statemachine.Outcome{}, err
		}
		e.Member.Phase = c.Phase
		s.put(e, next)
		return statemachine.Outcome{}, nil
	case c.Op == "expire" && e.Changed != c.Seen:
		return statemachine.Outcome{}, ErrStale.Of(c.ID, nil)
	}
	e.Member.Phase = Gone
	s.bump(e.Member, next)
	delete(s.Members, c.ID)
	return statemachine.Outcome{}, nil
}

func checkPhase(phase string) error {
	if phase != Ready && phase != Draining {
		return ErrMalformed.Of("phase", fmt.Errorf("%q is neither ready nor draining", phase))
	}
	return nil
}

// put stores a member as it is from revision next on.
func (s *members) put(e entry, next int64) {
	e.Changed = next
	s.Members[e.Member.ID] = e
	s.bump(e.Member, next)
}

// bump records a change in the ring.
func (s *members) bump(m Member, next int64) {
	s.last = next
	c := change{Revision: next, Member: m}
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, c)
		return
	}
	s.floor = s.ring[s.head].Revision
	s.ring[s.head] = c
	s.head = (s.head + 1) % len(s.ring)
}

// Encode writes the members; the ring is not kept.
func (s *members) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode takes the members of a snapshot. The ring starts empty at its revision, so watches from before it get the
// whole list.
func (s *members) Decode(text []byte, revision int64) error {
	n := members{}
	if err := json.Unmarshal(text, &n); err != nil {
		return err
	}
	if n.Members == nil {
		n.Members = map[string]entry{}
	}
	s.Members, s.ring, s.head, s.floor, s.last = n.Members, s.ring[:0], 0, revision, revision
	return nil
}

// List is an answer in PROTOCOL's form.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Whole is the whole list, by id.
func (s *State) Whole() List {
	l := List{Revision: s.Revision, Complete: true, Members: make([]Member, 0, len(s.Members))}
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		l.Members = append(l.Members, s.Members[id].Member)
	}
	return l
}

// Since is what changed after revision r: each changed member once, as it is now (gone where removed). Where r
// is older than the ring or newer than the list, it is the whole list: never a gap.
func (s *State) Since(r int64) List {
	if r < 1 || r < s.floor || r > s.Revision {
		return s.Whole()
	}
	latest := map[string]Member{}
	for i := range s.ring {
		if c := s.ring[(s.head+i)%len(s.ring)]; c.Revision > r {
			latest[c.Member.ID] = c.Member
		}
	}
	l := List{Revision: s.Revision, Members: make([]Member, 0, len(latest))}
	for _, id := range slices.Sorted(maps.Keys(latest)) {
		l.Members = append(l.Members, latest[id])
	}
	return l
}
