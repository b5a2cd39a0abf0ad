// Package registry is the project's own discovery service: a list of backends replicated with hashicorp/raft,
// served as PROTOCOL-hitchvale.md's discovery section says (the whole list, and the watch ?after=R&wait_ms=W),
// with a write side in the same HTTP/JSON style. See docs/ROADMAP.md and docs/registry.md.
package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
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
		return errors.New("member: missing id")
	case len(m.ID) > 256:
		return errors.New("member: id longer than 256 bytes")
	case m.Phase != Ready && m.Phase != Draining:
		return fmt.Errorf("member %s: phase %q is neither ready nor draining", m.ID, m.Phase)
	case m.Size < 0:
		return fmt.Errorf("member %s: negative size", m.ID)
	case m.UpSince < 0:
		return fmt.Errorf("member %s: negative up_since_ms", m.ID)
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("member %s: host_port %q is not an address with a port", m.ID, m.HostPort)
	}
	return nil
}

// entry is a member as the state keeps it.
type entry struct {
	Member  Member `json:"member"`
	TTLms   int64  `json:"ttl_ms"`  // 0: no TTL
	Changed int64  `json:"changed"` // revision of its last change
}

// Command is one write, as it is put in the raft log.
type Command struct {
	Op     string `json:"op"` // register, phase, deregister, expire
	Member Member `json:"member,omitzero"`
	TTLms  int64  `json:"ttl_ms,omitempty"`
	ID     string `json:"id,omitempty"`
	Phase  string `json:"phase,omitempty"`
	// Seen is, for expire, the revision of the member's last change that the leader saw: a member registered again
	// since is not expired.
	Seen int64 `json:"seen,omitempty"`
	// Lease is the lease of acquire, release and expire (lease-expire by token).
	Lease Lease `json:"lease,omitzero"`
	// Fence, where set, makes a write of the list conditional on its token (see State.fence).
	Fence *Fence `json:"fence,omitempty"`
}

// Result is what applying a command gives: the revision after it, or why nothing changed.
type Result struct {
	Revision int64
	Err      error
	Lease    Lease // of a lease command
}

// Errors of commands that change nothing.
var (
	ErrUnknown = errors.New("no such member")
	ErrStale   = errors.New("member changed since")
)

// change is one entry of the ring of recent changes.
type change struct {
	Revision int64
	Member   Member // as it was after the change; phase gone for a removal
}

// State is the list and its revision, with a ring of the recent changes for watches. It is deterministic: the
// same commands in the same order give the same state on every replica. Not safe for concurrent use.
type State struct {
	Revision int64            `json:"revision"`
	Members  map[string]entry `json:"members"`
	leases
	ring []change // a circular buffer of the last changes, the oldest at ring[head]; not in snapshots
	head int
	// floor is the revision before the oldest change the ring holds: a watch from below it gets the whole list.
	floor int64
}

// NewState is an empty list at revision 0 with a ring of ringCap changes.
func NewState(ringCap int) *State {
	return &State{Members: map[string]entry{}, ring: make([]change, 0, max(ringCap, 1))}
}

// Apply carries out one command.
func (s *State) Apply(c Command) Result {
	switch c.Op {
	case "acquire", "release", "lease-expire":
		if c.Op == "lease-expire" {
			c.Op = "expire"
		}
		return s.applyLease(c)
	}
	if err := s.fence(c.Fence); err != nil {
		return Result{Revision: s.Revision, Err: err}
	}
	switch c.Op {
	case "register":
		if err := c.Member.Validate(); err != nil {
			return Result{Revision: s.Revision, Err: err}
		}
		s.bump(c.Member)
		s.Members[c.Member.ID] = entry{Member: c.Member, TTLms: c.TTLms, Changed: s.Revision}
	case "phase":
		e, ok := s.Members[c.ID]
		if !ok {
			return Result{Revision: s.Revision, Err: ErrUnknown}
		}
		if c.Phase != Ready && c.Phase != Draining {
			return Result{Revision: s.Revision, Err: fmt.Errorf("phase %q is neither ready nor draining", c.Phase)}
		}
		e.Member.Phase = c.Phase
		s.bump(e.Member)
		e.Changed = s.Revision
		s.Members[c.ID] = e
	case "deregister", "expire":
		e, ok := s.Members[c.ID]
		if !ok {
			return Result{Revision: s.Revision, Err: ErrUnknown}
		}
		if c.Op == "expire" && e.Changed != c.Seen {
			return Result{Revision: s.Revision, Err: ErrStale}
		}
		e.Member.Phase = Gone
		s.bump(e.Member)
		delete(s.Members, c.ID)
	default:
		return Result{Revision: s.Revision, Err: fmt.Errorf("unknown operation %q", c.Op)}
	}
	return Result{Revision: s.Revision}
}

// bump raises the revision and records the change in the ring.
func (s *State) bump(m Member) {
	s.Revision++
	c := change{Revision: s.Revision, Member: m}
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, c)
		return
	}
	s.floor = s.ring[s.head].Revision
	s.ring[s.head] = c
	s.head = (s.head + 1) % len(s.ring)
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

// Encode writes the state for a snapshot (JSON: revision and members; the ring is not kept).
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode replaces the state with a snapshot's. The ring starts empty at the snapshot's revision, so watches from
// before it get the whole list.
func (s *State) Decode(text []byte) error {
	var n State
	if err := json.Unmarshal(text, &n); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if n.Members == nil {
		n.Members = map[string]entry{}
	}
	s.Revision, s.Members, s.leases, s.ring, s.head, s.floor = n.Revision, n.Members, n.leases, s.ring[:0], 0, n.Revision
	return nil
}
