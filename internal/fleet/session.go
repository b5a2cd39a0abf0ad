// Package fleet is what the nodes know of each other: their sessions, which are replicated in the registry's state, and
// a view of their load, which the registry's leader compiles from their reports once an epoch. A node takes part
// through an Agent. docs/ROADMAP.md has the design, docs/registry.md the calls.
package fleet

import (
	"errors"
	"fmt"
	"net/netip"

	"hitchvale/internal/statemachine"
)

// Session is the session of a node's process. Of two processes under one name, the one of the higher incarnation is the
// node.
type Session struct {
	Node           string `json:"node"`
	Site           string `json:"site"`
	Process        string `json:"process"`     // drawn by the process at its start, so that it knows its own session
	Incarnation    uint64 `json:"incarnation"` // one above the last one under the name
	Address        string `json:"address"`     // host:port that clients connect to
	TTLms          int64  `json:"ttl_ms"`
	OpenedRevision int64  `json:"since"` // of the registry's state
}

// Validate reports with ErrMalformed what keeps a session from being opened.
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

// SessionStatus is what the registry knows of a node's name.
type SessionStatus struct {
	LastIncarnation uint64   `json:"last"`    // the highest that there was; 0: none
	LastProcess     string   `json:"process"` // that had it
	Session         *Session `json:"session"` // nil if none is open
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

// Operation returns the command's operation.
func (c *SessionCommand) Operation() statemachine.Operation { return c.Op }
