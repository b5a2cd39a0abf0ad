// Package fleet shares the state of the nodes among them. The nodes' sessions are replicated in the registry's state,
// and the registry's leader compiles a view of the nodes' load from their reports once an epoch. A node takes part
// through an Agent. docs/ROADMAP.md describes the design, and docs/registry.md the calls.
package fleet

import (
	"errors"
	"fmt"
	"net/netip"

	"hitchvale/internal/statemachine"
)

// Session is the session of a node's process. If two processes use the name of one node, the process of the higher
// incarnation is the node, and the other process is superseded.
type Session struct {
	Node           string `json:"node"`
	Site           string `json:"site"`
	Process        string `json:"process"`     // an ID that the process draws at its start, to recognize its own session
	Incarnation    uint64 `json:"incarnation"` // one above the last incarnation of the name
	Address        string `json:"address"`     // host:port that clients connect to
	TTLms          int64  `json:"ttl_ms"`
	OpenedRevision int64  `json:"since"` // revision of the registry's state
}

// Validate fails with ErrMalformed if the session cannot be opened.
func (s Session) Validate() error {
	_, err := netip.ParseAddrPort(s.Address)
	switch {
	case s.Node == "" || len(s.Node) > maxKeyBytes:
		return ErrMalformed.Of("node", fmt.Errorf("the name must have 1 to %d bytes", maxKeyBytes))
	case len(s.Site) > maxKeyBytes || len(s.Process) > maxKeyBytes:
		return ErrMalformed.Of(s.Node, fmt.Errorf("site and process must have at most %d bytes", maxKeyBytes))
	case s.Process == "":
		return ErrMalformed.Of(s.Node, errors.New("process is missing"))
	case s.Incarnation == 0:
		return ErrMalformed.Of(s.Node, errors.New("incarnation must be above 0"))
	case err != nil:
		return ErrMalformed.Of(s.Node, fmt.Errorf("address %q is not an IP address with a port", s.Address))
	case s.TTLms <= 0:
		return ErrMalformed.Of(s.Node, errors.New("ttl_ms must be above 0"))
	}
	return nil
}

// SessionStatus is the registry's record of a node's name.
type SessionStatus struct {
	LastIncarnation uint64   `json:"last"`    // the highest incarnation that the name ever had; 0 if it had none
	LastProcess     string   `json:"process"` // the process that had LastIncarnation
	Session         *Session `json:"session"` // nil if none is open
}

// The operations on sessions. The values are stored in the log.
const (
	OpOpenSession   statemachine.Operation = "session-open"
	OpCloseSession  statemachine.Operation = "session-close"  // by the process that has the session
	OpExpireSession statemachine.Operation = "session-expire" // by the leader, after a TTL without a report
)

// SessionCommand is a write to the sessions. OpOpenSession uses the complete session. The other operations use its node
// and incarnation.
type SessionCommand struct {
	Op      statemachine.Operation `json:"op"`
	Session Session                `json:"session"`
}

// Operation returns the command's operation.
func (c *SessionCommand) Operation() statemachine.Operation { return c.Op }
