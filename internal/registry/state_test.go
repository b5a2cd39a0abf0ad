package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"hitchvale/internal/statemachine"
)

// version0 is a snapshot as the program wrote it before machines had parts of their own, and version0Bare one from
// before the first lease.
const (
	version0 = `{"revision":7,"members":{"a":{"member":{"id":"a","host_port":"127.0.0.1:1",` +
		`"locality":"","flavor":"","cell":0,"phase":"draining","size":1,"up_since_ms":0},"ttl_ms":500,"changed":4}},` +
		`"leases":{"reaper":{"name":"reaper","holder":"p1","token":3,"ttl_ms":1000}},"tokens":3,"fenced":{"reaper":2}}`
	version0Bare = `{"revision":1,"members":{},"leases":null,"tokens":0,"fenced":null}`
)

// A snapshot of an older version loads, and is written again in the present one without a loss.
func TestOlderSnapshotLoads(t *testing.T) {
	s := NewState(16)
	if err := s.Decode([]byte(version0)); err != nil {
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
			t.Errorf("%d %+v %+v", s.Revision, s.members, s.leases)
		}
		if w := s.ChangesSince(6); !w.Complete || len(w.Members) != 1 {
			t.Errorf("a watch from before the snapshot: %+v", w)
		}
	}
	if err := n.Decode([]byte(version0Bare)); err != nil {
		t.Fatal(err)
	}
	r := n.Apply(&LeaseCommand{Op: "acquire", Lease: Lease{Name: "x", Holder: "p", TTLms: 1}})
	if r.Err != nil || r.Revision != 2 {
		t.Errorf("the first lease after a snapshot without any: %+v", r)
	}
}

// A snapshot that this program cannot read completely is refused, and the state stays as it was.
func TestSnapshotThatLosesRecordsIsRefused(t *testing.T) {
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
			t.Errorf("%s: %v, then %d %v", name, err, s.Revision, s.members.Records)
		}
	}
}

// Commands that older programs logged are carried out by the machines of today.
func TestOlderLogIsReplayed(t *testing.T) {
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
			t.Fatalf("%s: %+v", line, r)
		}
		text, err := EncodeCommand(c)
		if err != nil || json.Valid(text) == false || !strings.Contains(string(text), string(c.Operation())) {
			t.Errorf("written again: %s %v", text, err)
		}
	}
	if len(s.members.Records) != 0 || len(s.leases.ByName) != 0 || s.leases.AcceptedTokens["reaper"] != 1 {
		t.Errorf("%+v %+v", s.members, s.leases)
	}
	if _, err := s.ParseCommand([]byte(`{"op":"levitate"}`)); !errors.Is(err, ErrUnknownOperation) {
		t.Errorf("an unknown operation: %v", err)
	}
}

// counter is a machine of a test's own: it counts, and refuses to count to three.
type counter struct{ N int }

type count struct {
	Op statemachine.Operation `json:"op"`
	By int                    `json:"by"`
}

func (c *count) Operation() statemachine.Operation { return c.Op }

func (c *counter) Kind() string { return "counter" }
func (c *counter) Commands() map[statemachine.Operation]func() statemachine.Command {
	return map[statemachine.Operation]func() statemachine.Command{"count": func() statemachine.Command { return &count{} }}
}
func (c *counter) Apply(cmd statemachine.Command, _ int64) (statemachine.Outcome, error) {
	by := cmd.(*count).By
	if c.N+by == 3 {
		return statemachine.Outcome{}, errors.New("three")
	}
	c.N += by
	return statemachine.Outcome{Unchanged: by == 0, Value: c.N}, nil
}
func (c *counter) Encode() ([]byte, error)           { return fmt.Appendf(nil, `{"N":%d}`, c.N), nil }
func (c *counter) Decode(text []byte, _ int64) error { *c = counter{}; return json.Unmarshal(text, c) }

// A further kind of records is a machine beside the others: its commands reach it alone, what it refuses or has done
// already leaves the revision, and a snapshot from before it has it begin empty.
func TestAdditionalMachines(t *testing.T) {
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
			t.Errorf("by %d: %+v", step.by, r)
		}
	}
	text, _ := s.Encode()
	d := &counter{}
	if n := NewState(16, d); n.Decode(text) != nil || d.N != 4 || n.Revision != 2 {
		t.Errorf("restored %d", d.N)
	}
	if n := NewState(16, d); n.Decode([]byte(version0)) != nil || d.N != 0 {
		t.Errorf("from a snapshot without it: %d", d.N)
	}
}
