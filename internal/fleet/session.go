// Package fleet is what all nodes know of all nodes: sessions, kept in the registry's replicated state, and a view of
// their load, compiled by the registry's leader once an epoch from the nodes' reports. See docs/ROADMAP.md, "A fleet
// that settles its own affairs".
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"hitchvale/internal/statemachine"
)

// Session is a process of a node, in the registry's state. Of two processes under one name the one with the higher
// incarnation is the node.
type Session struct {
	Node           string `json:"node"`
	Site           string `json:"site"`
	Process        string `json:"process"`     // drawn by the process at its start, so that it knows a session as its own
	Incarnation    uint64 `json:"incarnation"` // one above the last under the name; clocks have no part in it
	Address        string `json:"address"`     // where clients connect
	TTLms          int64  `json:"ttl_ms"`
	OpenedRevision int64  `json:"since"` // revision at which it was opened
}

// Check refuses a session that cannot be one.
func (s Session) Validate() error {
	_, err := netip.ParseAddrPort(s.Address)
	switch {
	case s.Node == "" || len(s.Node) > maxKeyBytes:
		return ErrMalformed.Of("node", fmt.Errorf("a name of 1 to %d bytes is wanted", maxKeyBytes))
	case len(s.Site) > maxKeyBytes || len(s.Process) > maxKeyBytes:
		return ErrMalformed.Of(s.Node, fmt.Errorf("site or process longer than %d bytes", maxKeyBytes))
	case s.Process == "":
		return ErrMalformed.Of(s.Node, errors.New("process: missing"))
	case s.Incarnation == 0:
		return ErrMalformed.Of(s.Node, errors.New("incarnation: 0"))
	case err != nil:
		return ErrMalformed.Of(s.Node, fmt.Errorf("address %q is not an address with a port", s.Address))
	case s.TTLms <= 0:
		return ErrMalformed.Of(s.Node, errors.New("ttl_ms must be above 0"))
	}
	return nil
}

// The operations on sessions, as stored in the log.
const (
	OpOpenSession   statemachine.Operation = "session-open"
	OpCloseSession  statemachine.Operation = "session-close"  // by the process that has the session
	OpExpireSession statemachine.Operation = "session-expire" // by the leader, when reports stopped for its TTL
)

// SessionCommand is a write of the sessions. OpOpenSession uses the complete session, the others its node and
// incarnation.
type SessionCommand struct {
	Op      statemachine.Operation `json:"op"`
	Session Session                `json:"session"`
}

// Operation is the command's operation.
func (c *SessionCommand) Operation() statemachine.Operation { return c.Op }

// Sessions is the machine of the nodes' sessions.
type SessionStore struct {
	Open map[string]Session `json:"open"` // by node
	// Last is the highest incarnation that each name ever had: an older process stays superseded after the newer
	// one's session has ended.
	LastIncarnation map[string]uint64 `json:"last"`
	// By is the process that had it: one whose session ended before it heard of it must know it as its own.
	LastProcess map[string]string `json:"by"`
}

// NewSessions is a machine without a session.
func NewSessionStore() *SessionStore {
	return &SessionStore{Open: map[string]Session{}, LastIncarnation: map[string]uint64{}, LastProcess: map[string]string{}}
}

// Kind names the machine.
func (s *SessionStore) Kind() string { return "sessions" }

// Commands are the operations of the machine.
func (s *SessionStore) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &SessionCommand{} }
	return statemachine.CommandsOf(empty, OpOpenSession, OpCloseSession, OpExpireSession)
}

// Apply carries out a command. A session is opened by compare-and-set: its incarnation has to be one above the last
// under the name, so a call that comes late, from a process that is gone, cannot supersede a newer one. To open the
// session that is open is no change.
func (s *SessionStore) Apply(cmd statemachine.Command, next int64) (statemachine.Outcome, error) {
	c := cmd.(*SessionCommand)
	n := c.Session
	if c.Op != OpOpenSession {
		if err := s.VerifyHolder(n.Node, n.Incarnation); err != nil {
			return statemachine.Outcome{}, err
		}
		delete(s.Open, n.Node)
		return statemachine.Outcome{Value: n}, nil
	}
	if err := n.Validate(); err != nil {
		return statemachine.Outcome{}, err
	}
	old, open := s.Open[n.Node]
	if open && n.Process == old.Process {
		if n.Incarnation != old.Incarnation {
			return statemachine.Outcome{}, ErrSuperseded.Of(n.Node, fmt.Errorf("the process has incarnation %d", old.Incarnation))
		}
		return statemachine.Outcome{Unchanged: true, Value: old}, nil
	}
	switch last := s.LastIncarnation[n.Node]; {
	case n.Incarnation <= last:
		return statemachine.Outcome{}, ErrSuperseded.Of(n.Node, fmt.Errorf("incarnation %d, and %d has been here", n.Incarnation, last))
	case n.Incarnation > last+1:
		return statemachine.Outcome{}, ErrMalformed.Of(n.Node, fmt.Errorf("incarnation %d after %d", n.Incarnation, last))
	}
	n.OpenedRevision = next
	s.Open[n.Node], s.LastIncarnation[n.Node], s.LastProcess[n.Node] = n, n.Incarnation, n.Process
	return statemachine.Outcome{Value: n}, nil
}

// Holds tells whether a process has its node's session, and why not.
func (s *SessionStore) VerifyHolder(node string, incarnation uint64) error {
	if last := s.LastIncarnation[node]; incarnation < last {
		return ErrSuperseded.Of(node, fmt.Errorf("incarnation %d, and %d has been here", incarnation, last))
	}
	if o, ok := s.Open[node]; !ok || o.Incarnation != incarnation {
		return ErrSessionNotFound.Of(node, nil)
	}
	return nil
}

// Told is what the registry says of a name.
func (s *SessionStore) Status(node string) SessionStatus {
	h := SessionStatus{LastIncarnation: s.LastIncarnation[node], LastProcess: s.LastProcess[node]}
	if o, ok := s.Open[node]; ok {
		h.Session = &o
	}
	return h
}

// All are the open sessions by name.
func (s *SessionStore) List() []Session {
	out := make([]Session, 0, len(s.Open))
	for _, n := range slices.Sorted(maps.Keys(s.Open)) {
		out = append(out, s.Open[n])
	}
	return out
}

// Encode writes the sessions.
func (s *SessionStore) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode takes the sessions of a snapshot.
func (s *SessionStore) Decode(text []byte, _ int64) error {
	n := NewSessionStore()
	if err := json.Unmarshal(text, n); err != nil {
		return err
	}
	*s = *n
	return nil
}
