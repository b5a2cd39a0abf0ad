package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"hitchvale/internal/statemachine"
)

// SessionStore is the state machine of the nodes' sessions.
type SessionStore struct {
	Open map[string]Session `json:"open"` // by node
	// LastIncarnation is the highest incarnation that each name ever had: an older process stays superseded after the
	// newer one's session has ended.
	LastIncarnation map[string]uint64 `json:"last"`
	// LastProcess is the process that had LastIncarnation. By it a process recognizes a session of its own that ended
	// before the answer to its opening arrived.
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

// Kind is part of statemachine.Machine.
func (s *SessionStore) Kind() string { return "sessions" }

// Commands is part of statemachine.Machine.
func (s *SessionStore) Commands() map[statemachine.Operation]func() statemachine.Command {
	empty := func() statemachine.Command { return &SessionCommand{} }
	return statemachine.CommandConstructors(empty, OpOpenSession, OpCloseSession, OpExpireSession)
}

// Apply executes a SessionCommand and returns the session. It fails with ErrMalformed, ErrSuperseded or
// ErrSessionNotFound.
func (s *SessionStore) Apply(cmd statemachine.Command, nextRevision int64) (statemachine.Outcome, error) {
	c := cmd.(*SessionCommand)
	if c.Op == OpOpenSession {
		return s.openSession(c.Session, nextRevision)
	}
	if err := s.VerifyHolder(c.Session.Node, c.Session.Incarnation); err != nil {
		return statemachine.Outcome{}, err
	}
	delete(s.Open, c.Session.Node)
	return statemachine.Outcome{Value: c.Session}, nil
}

// openSession opens a session by compare-and-set: its incarnation has to be one above the last under the name, so that
// a late call of a process that has ended does not supersede a newer one. To open the session that is open changes
// nothing.
func (s *SessionStore) openSession(session Session, nextRevision int64) (statemachine.Outcome, error) {
	if err := session.Validate(); err != nil {
		return statemachine.Outcome{}, err
	}
	node := session.Node
	present, open := s.Open[node]
	if open && session.Process == present.Process {
		if session.Incarnation != present.Incarnation {
			return statemachine.Outcome{}, ErrSuperseded.Of(node,
				fmt.Errorf("the process has incarnation %d", present.Incarnation))
		}
		return statemachine.Outcome{Unchanged: true, Value: present}, nil
	}
	last := s.LastIncarnation[node]
	if session.Incarnation <= last {
		return statemachine.Outcome{}, supersededBy(node, session.Incarnation, last)
	}
	if session.Incarnation > last+1 {
		return statemachine.Outcome{}, ErrMalformed.Of(node,
			fmt.Errorf("incarnation %d after %d", session.Incarnation, last))
	}
	session.OpenedRevision = nextRevision
	s.Open[node] = session
	s.LastIncarnation[node] = session.Incarnation
	s.LastProcess[node] = session.Process
	return statemachine.Outcome{Value: session}, nil
}

func supersededBy(node string, incarnation, last uint64) error {
	return ErrSuperseded.Of(node, fmt.Errorf("incarnation %d, and %d has been here", incarnation, last))
}

// VerifyHolder fails with ErrSuperseded or ErrSessionNotFound unless the node's open session has the given incarnation.
func (s *SessionStore) VerifyHolder(node string, incarnation uint64) error {
	if last := s.LastIncarnation[node]; incarnation < last {
		return supersededBy(node, incarnation, last)
	}
	if session, ok := s.Open[node]; !ok || session.Incarnation != incarnation {
		return ErrSessionNotFound.Of(node, nil)
	}
	return nil
}

// Status returns what the store has of a name.
func (s *SessionStore) Status(node string) SessionStatus {
	status := SessionStatus{LastIncarnation: s.LastIncarnation[node], LastProcess: s.LastProcess[node]}
	if session, ok := s.Open[node]; ok {
		status.Session = &session
	}
	return status
}

// List returns the open sessions by name.
func (s *SessionStore) List() []Session {
	sessions := make([]Session, 0, len(s.Open))
	for _, node := range slices.Sorted(maps.Keys(s.Open)) {
		sessions = append(sessions, s.Open[node])
	}
	return sessions
}

// Encode is part of statemachine.Machine.
func (s *SessionStore) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode is part of statemachine.Machine.
func (s *SessionStore) Decode(section []byte, _ int64) error {
	decoded := NewSessionStore()
	if err := json.Unmarshal(section, decoded); err != nil {
		return err
	}
	*s = *decoded
	return nil
}
