package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"hitchvale/internal/statemachine"
)

// SessionStore is the state machine of the nodes' sessions. It is not safe for concurrent use.
type SessionStore struct {
	Open map[string]Session `json:"open"` // by node
	// LastIncarnation maps each name to the highest incarnation that it ever had. Entries are kept, so that an older
	// process stays superseded after the session of the newer process has ended.
	LastIncarnation map[string]uint64 `json:"last"`
	// LastProcess maps each name to the process that had LastIncarnation. If a process did not receive the response to
	// its call that opened a session, LastProcess shows it that the session was its own, even if the session has ended
	// since.
	LastProcess map[string]string `json:"by"`
}

// NewSessionStore returns a store without sessions.
func NewSessionStore() *SessionStore {
	return &SessionStore{
		Open:            map[string]Session{},
		LastIncarnation: map[string]uint64{},
		LastProcess:     map[string]string{},
	}
}

// Kind implements statemachine.Machine.
func (s *SessionStore) Kind() string { return "sessions" }

// Commands implements statemachine.Machine.
func (s *SessionStore) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &SessionCommand{} }
	return statemachine.CommandConstructors(empty, OpOpenSession, OpCloseSession, OpExpireSession)
}

// Apply implements statemachine.Machine: it executes a *SessionCommand and returns the session. It fails with
// ErrMalformed, ErrSuperseded or ErrSessionNotFound.
func (s *SessionStore) Apply(cmd statemachine.Command, nextRevision int64) (statemachine.Outcome, error) {
	c := cmd.(*SessionCommand)
	if c.Op == OpOpenSession {
		return s.openSession(c.Session, nextRevision)
	}
	if err := s.VerifyIncarnation(c.Session.Node, c.Session.Incarnation); err != nil {
		return statemachine.Outcome{}, err
	}
	delete(s.Open, c.Session.Node)
	return statemachine.Outcome{Value: c.Session}, nil
}

// openSession opens a session by compare-and-set: its incarnation must be one above the last incarnation of the name,
// so that a late call of a process that has ended does not supersede a newer process. Opening a session that is already
// open changes nothing.
func (s *SessionStore) openSession(session Session, nextRevision int64) (statemachine.Outcome, error) {
	if err := session.Validate(); err != nil {
		return statemachine.Outcome{}, err
	}
	node := session.Node
	current, open := s.Open[node]
	if open && session.Process == current.Process {
		if session.Incarnation != current.Incarnation {
			return statemachine.Outcome{}, ErrSuperseded.Of(node,
				fmt.Errorf("the process has an open session with incarnation %d", current.Incarnation))
		}
		return statemachine.Outcome{Unchanged: true, Value: current}, nil
	}
	last := s.LastIncarnation[node]
	if session.Incarnation <= last {
		return statemachine.Outcome{}, supersededBy(node, session.Incarnation, last)
	}
	if session.Incarnation > last+1 {
		return statemachine.Outcome{}, ErrMalformed.Of(node,
			fmt.Errorf("incarnation %d must be one above the last incarnation, %d", session.Incarnation, last))
	}
	session.OpenedRevision = nextRevision
	s.Open[node] = session
	s.LastIncarnation[node] = session.Incarnation
	s.LastProcess[node] = session.Process
	return statemachine.Outcome{Value: session}, nil
}

func supersededBy(node string, incarnation, last uint64) error {
	return ErrSuperseded.Of(node, fmt.Errorf("incarnation %d, and the last incarnation is %d", incarnation, last))
}

// VerifyIncarnation fails with ErrSuperseded or ErrSessionNotFound unless the node's open session has the given
// incarnation.
func (s *SessionStore) VerifyIncarnation(node string, incarnation uint64) error {
	if last := s.LastIncarnation[node]; incarnation < last {
		return supersededBy(node, incarnation, last)
	}
	if session, ok := s.Open[node]; !ok || session.Incarnation != incarnation {
		return ErrSessionNotFound.Of(node, nil)
	}
	return nil
}

// Status returns the store's record of a node's name.
func (s *SessionStore) Status(node string) SessionStatus {
	status := SessionStatus{LastIncarnation: s.LastIncarnation[node], LastProcess: s.LastProcess[node]}
	if session, ok := s.Open[node]; ok {
		status.Session = &session
	}
	return status
}

// List returns the open sessions, sorted by node.
func (s *SessionStore) List() []Session {
	sessions := make([]Session, 0, len(s.Open))
	for _, node := range slices.Sorted(maps.Keys(s.Open)) {
		sessions = append(sessions, s.Open[node])
	}
	return sessions
}

// Encode implements statemachine.Machine.
func (s *SessionStore) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode implements statemachine.Machine.
func (s *SessionStore) Decode(section []byte, _ int64) error {
	decoded := NewSessionStore()
	if err := json.Unmarshal(section, decoded); err != nil {
		return err
	}
	*s = *decoded
	return nil
}
