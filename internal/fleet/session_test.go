package fleet

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"hitchvale/internal/statemachine"
)

func session(node, process string, incarnation uint64) Session {
	return Session{Node: node, Site: "a", Process: process, Incarnation: incarnation, Address: "127.0.0.1:1", TTLms: 1000}
}

// Sessions are opened by compare-and-set: one above the last, whoever it was.
func TestSessionsOpenInOrderOfIncarnation(t *testing.T) {
	for name, tc := range map[string]struct {
		cmd  SessionCommand
		want error
		same bool
	}{
		"the next process":       {cmd: SessionCommand{"session-open", session("n", "p3", 3)}},
		"the same process again": {cmd: SessionCommand{"session-open", session("n", "p2", 2)}, same: true},
		"an older process, late": {
			cmd: SessionCommand{"session-open", session("n", "p1", 1)}, want: ErrSuperseded,
		},
		"another process, as the present one": {
			cmd: SessionCommand{"session-open", session("n", "p9", 2)}, want: ErrSuperseded,
		},
		"the present process, one above itself": {
			cmd: SessionCommand{"session-open", session("n", "p2", 3)}, want: ErrSuperseded,
		},
		"a jump": {
			cmd: SessionCommand{"session-open", session("n", "p3", 9)}, want: ErrMalformed,
		},
		"no process": {
			cmd: SessionCommand{"session-open", session("n", "", 3)}, want: ErrMalformed,
		},
		"the older process ends": {
			cmd: SessionCommand{"session-close", session("n", "p1", 1)}, want: ErrSuperseded,
		},
		"the present process ends": {cmd: SessionCommand{"session-close", session("n", "p2", 2)}},
		"another name ends": {
			cmd: SessionCommand{"session-expire", session("m", "p1", 1)}, want: ErrSessionNotFound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSessionStore()
			for i, p := range []string{"p1", "p2"} {
				if _, err := s.Apply(&SessionCommand{"session-open", session("n", p, uint64(i+1))}, int64(i+1)); err != nil {
					t.Fatal(err)
				}
			}
			out, err := s.Apply(&tc.cmd, 3)
			if !errors.Is(err, tc.want) || out.Unchanged != tc.same {
				t.Fatalf("%v, same %v", err, out.Unchanged)
			}
			if o, ok := s.Open["n"]; err != nil && (!ok || o.Process != "p2" || s.LastIncarnation["n"] != 2) {
				t.Errorf("changed by what was refused: %+v", s)
			}
			text, _ := s.Encode()
			if r := NewSessionStore(); r.Decode(text, 3) != nil ||
				r.LastIncarnation["n"] != s.LastIncarnation["n"] || len(r.Open) != len(s.Open) {
				t.Errorf("restored as %+v", r)
			}
		})
	}
}

// Whatever commands come in whatever order, an incarnation is given once and rises, and no process but the newest holds
// a name.
func TestIncarnationsRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, given := NewSessionStore(), map[uint64]string{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			process := rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "process")
			n := session("n", process, rapid.Uint64Range(0, 8).Draw(t, "incarnation"))
			operations := []statemachine.Operation{"session-open", "session-open", "session-close", "session-expire"}
			c := &SessionCommand{rapid.SampledFrom(operations).Draw(t, "op"), n}
			before := s.LastIncarnation["n"]
			out, err := s.Apply(c, 1)
			if s.LastIncarnation["n"] < before {
				t.Fatalf("%+v: the last went from %d to %d", c, before, s.LastIncarnation["n"])
			}
			if err == nil && c.Op == "session-open" && !out.Unchanged {
				if given[n.Incarnation] != "" || n.Incarnation != before+1 {
					t.Fatalf("incarnation %d given to %s after %d, had by %q", n.Incarnation, n.Process, before, given[n.Incarnation])
				}
				given[n.Incarnation] = n.Process
			}
			for i := range uint64(10) {
				if s.VerifyIncarnation("n", i) == nil && i != s.LastIncarnation["n"] {
					t.Fatalf("incarnation %d holds the name, the last is %d", i, s.LastIncarnation["n"])
				}
			}
		}
	})
}
