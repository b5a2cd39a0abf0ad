package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"hitchvale/internal/statemachine"
)

// snapshotVersion0 is a snapshot of version 0, in which the state machines do not have their own sections.
// snapshotVersion0WithoutLeases is a snapshot of version 0 from before the first grant of a lease.
const (
	snapshotVersion0 = `{"revision":7,"members":{"a":{"member":{"id":"a","host_port":"127.0.0.1:1",` +
		`"locality":"","flavor":"","cell":0,"phase":"draining","size":1,"up_since_ms":0},"ttl_ms":500,"changed":4}},` +
		`"leases":{"reaper":{"name":"reaper","holder":"p1","token":3,"ttl_ms":1000}},"tokens":3,"fenced":{"reaper":2}}`
	snapshotVersion0WithoutLeases = `{"revision":1,"members":{},"leases":null,"tokens":0,"fenced":null}`
)

// A snapshot of version 0 can be restored, and the current version encodes its state without loss.
func TestSnapshotOfOlderVersionIsRestored(t *testing.T) {
	s := NewState(16)
	if err := s.Decode([]byte(snapshotVersion0)); err != nil {
		t.Fatal(err)
	}
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	n := NewState(16)
	if err := n.Decode(text); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*State{s, n} {
		m := s.members.Records["a"]
		if s.Revision != 7 || m.Member.Phase != PhaseDraining || m.TTLms != 500 || m.Revision != 4 ||
			s.leases.ByName["reaper"].Token != 3 || s.leases.LastToken != 3 || s.leases.AcceptedTokens["reaper"] != 2 {
			t.Errorf("restored state: revision %d, members %+v, leases %+v", s.Revision, s.members, s.leases)
		}
		if list := s.ChangesSince(6); !list.Complete || len(list.Members) != 1 {
			t.Errorf("changes since a revision before the snapshot: %+v, want the complete list", list)
		}
	}
	if err := n.Decode([]byte(snapshotVersion0WithoutLeases)); err != nil {
		t.Fatal(err)
	}
	r := n.Apply(&LeaseCommand{Op: "acquire", Lease: Lease{Name: "x", Holder: "p", TTLms: 1}})
	if r.Err != nil || r.Revision != 2 {
		t.Errorf("first grant of a lease after a snapshot without leases: %+v", r)
	}
}

// Decode rejects a snapshot that this program cannot read completely, and does not change the state.
func TestUnreadableSnapshotIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"newer":        `{"version":2,"revision":9,"machines":{}}`,
		"unknown kind": `{"version":1,"revision":9,"machines":{"members":{},"moons":{}}}`,
		"damaged":      `{"version":1,"revision":9,"machines":{"members":[]}}`,
		"not JSON":     `{"version":1`,
	} {
		s := NewState(16)
		s.Apply(&MemberCommand{Op: "register", Member: Member{ID: "a", HostPort: "127.0.0.1:1", Phase: PhaseReady}})
		err := s.Decode([]byte(text))
		if !errors.Is(err, ErrSnapshotUnreadable) || s.Revision != 1 || len(s.members.Records) != 1 {
			t.Errorf("%s: error %v, want ErrSnapshotUnreadable; then revision %d, members %v, want the earlier state",
				name, err, s.Revision, s.members.Records)
		}
	}
}

// The state machines apply commands that older versions of the program have written to the log.
func TestCommandsOfOlderVersionsAreApplied(t *testing.T) {
	s := NewState(16)
	for i, line := range []string{
		`{"op":"register","member":{"id":"a","host_port":"127.0.0.1:1","phase":"ready","size":1},"ttl_ms":500}`,
		`{"op":"acquire","lease":{"name":"reaper","holder":"p1","token":0,"ttl_ms":1000}}`,
		`{"op":"phase","id":"a","phase":"draining","fence":{"lease":"reaper","token":1}}`,
		`{"op":"expire","id":"a","seen":3}`,
		`{"op":"lease-expire","lease":{"name":"reaper","holder":"","token":1,"ttl_ms":0}}`,
	} {
		c, err := s.ParseCommand([]byte(line))
		if err != nil {
			t.Fatal(err)
		}
		if r := s.Apply(c); r.Err != nil || r.Revision != int64(i+1) {
			t.Fatalf("command %s: result %+v, want revision %d", line, r, i+1)
		}
		text, err := EncodeCommand(c)
		if err != nil || json.Valid(text) == false || !strings.Contains(string(text), string(c.Operation())) {
			t.Errorf("the command encoded again: %s, error %v", text, err)
		}
	}
	if len(s.members.Records) != 0 || len(s.leases.ByName) != 0 || s.leases.AcceptedTokens["reaper"] != 1 {
		t.Errorf("after all commands: members %+v, leases %+v", s.members, s.leases)
	}
	if _, err := s.ParseCommand([]byte(`{"op":"no-such-operation"}`)); !errors.Is(err, ErrUnknownOperation) {
		t.Errorf("unknown operation: error %v, want ErrUnknownOperation", err)
	}
}

// counter is a state machine for tests. Its command adds to N, and fails if the sum is 3.
type counter struct{ N int }

type countCommand struct {
	Op statemachine.Operation `json:"op"`
	By int                    `json:"by"`
}

func (c *countCommand) Operation() statemachine.Operation { return c.Op }

func (c *counter) Kind() string { return "counter" }
func (c *counter) Commands() map[statemachine.Operation]func() statemachine.Command {
	return map[statemachine.Operation]func() statemachine.Command{"count": func() statemachine.Command { return &countCommand{} }}
}
func (c *counter) Apply(cmd statemachine.Command, _ int64) (statemachine.Outcome, error) {
	by := cmd.(*countCommand).By
	if c.N+by == 3 {
		return statemachine.Outcome{}, errors.New("the sum is 3")
	}
	c.N += by
	return statemachine.Outcome{Unchanged: by == 0, Value: c.N}, nil
}
func (c *counter) Encode() ([]byte, error)           { return fmt.Appendf(nil, `{"N":%d}`, c.N), nil }
func (c *counter) Decode(text []byte, _ int64) error { *c = counter{}; return json.Unmarshal(text, c) }

// An additional state machine receives the commands of its operations. A command that fails or has the outcome
// Unchanged does not change the revision. After a snapshot without its section, the state machine is empty.
func TestAdditionalStateMachine(t *testing.T) {
	c := &counter{}
	s := NewState(16, c)
	for _, step := range []struct {
		by       int
		revision int64
		fails    bool
	}{{by: 2, revision: 1}, {by: 0, revision: 1}, {by: 1, revision: 1, fails: true}, {by: 2, revision: 2}} {
		cmd, err := s.ParseCommand(fmt.Appendf(nil, `{"op":"count","by":%d}`, step.by))
		if err != nil {
			t.Fatal(err)
		}
		if r := s.Apply(cmd); r.Revision != step.revision || (r.Err != nil) != step.fails {
			t.Errorf("count by %d: result %+v, want revision %d, failure %v", step.by, r, step.revision, step.fails)
		}
	}
	text, _ := s.Encode()
	restored := &counter{}
	if n := NewState(16, restored); n.Decode(text) != nil || restored.N != 4 || n.Revision != 2 {
		t.Errorf("restored from a snapshot: counter %d, revision %d, want 4 and 2", restored.N, n.Revision)
	}
	if n := NewState(16, restored); n.Decode([]byte(snapshotVersion0)) != nil || restored.N != 0 {
		t.Errorf("restored from a snapshot without a section for the counter: %d, want 0", restored.N)
	}
}
