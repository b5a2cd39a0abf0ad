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

// A session is opened only with the incarnation one above the last incarnation of its name, and is closed only by the
// process that has it.
func TestSessionsOpenInOrderOfIncarnation(t *testing.T) {
	for name, tc := range map[string]struct {
		cmd       SessionCommand
		want      error
		unchanged bool
	}{
		"the next process": {cmd: SessionCommand{"session-open", session("n", "p3", 3)}},
		"the current process again": {
			cmd: SessionCommand{"session-open", session("n", "p2", 2)}, unchanged: true,
		},
		"a late call of an older process": {
			cmd: SessionCommand{"session-open", session("n", "p1", 1)}, want: ErrSuperseded,
		},
		"another process with the current incarnation": {
			cmd: SessionCommand{"session-open", session("n", "p9", 2)}, want: ErrSuperseded,
		},
		"the current process with the next incarnation": {
			cmd: SessionCommand{"session-open", session("n", "p2", 3)}, want: ErrSuperseded,
		},
		"an incarnation two or more above the last": {
			cmd: SessionCommand{"session-open", session("n", "p3", 9)}, want: ErrMalformed,
		},
		"a session without a process": {
			cmd: SessionCommand{"session-open", session("n", "", 3)}, want: ErrMalformed,
		},
		"an older process closes": {
			cmd: SessionCommand{"session-close", session("n", "p1", 1)}, want: ErrSuperseded,
		},
		"the current process closes": {cmd: SessionCommand{"session-close", session("n", "p2", 2)}},
		"expiry under a name without a session": {
			cmd: SessionCommand{"session-expire", session("m", "p1", 1)}, want: ErrSessionNotFound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSessionStore()
			for i, process := range []string{"p1", "p2"} {
				open := &SessionCommand{"session-open", session("n", process, uint64(i+1))}
				if _, err := s.Apply(open, int64(i+1)); err != nil {
					t.Fatal(err)
				}
			}
			outcome, err := s.Apply(&tc.cmd, 3)
			if !errors.Is(err, tc.want) || outcome.Unchanged != tc.unchanged {
				t.Fatalf("%v, unchanged %v; want %v, %v", err, outcome.Unchanged, tc.want, tc.unchanged)
			}
			if open, ok := s.Open["n"]; err != nil && (!ok || open.Process != "p2" || s.LastIncarnation["n"] != 2) {
				t.Errorf("a rejected command changed the sessions: %+v", s)
			}
			text, _ := s.Encode()
			if restored := NewSessionStore(); restored.Decode(text, 3) != nil ||
				restored.LastIncarnation["n"] != s.LastIncarnation["n"] || len(restored.Open) != len(s.Open) {
				t.Errorf("restored as %+v, want %+v", restored, s)
			}
		})
	}
}

// Under random commands, each incarnation is given to one session only, the incarnations rise, and only the last
// incarnation can have an open session.
func TestIncarnationsRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, given := NewSessionStore(), map[uint64]string{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			process := rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "process")
			drawn := session("n", process, rapid.Uint64Range(0, 8).Draw(t, "incarnation"))
			operations := []statemachine.Operation{"session-open", "session-open", "session-close", "session-expire"}
			c := &SessionCommand{rapid.SampledFrom(operations).Draw(t, "op"), drawn}
			before := s.LastIncarnation["n"]
			outcome, err := s.Apply(c, 1)
			if s.LastIncarnation["n"] < before {
				t.Fatalf("%+v: the last incarnation fell from %d to %d", c, before, s.LastIncarnation["n"])
			}
			if err == nil && c.Op == "session-open" && !outcome.Unchanged {
				if given[drawn.Incarnation] != "" || drawn.Incarnation != before+1 {
					t.Fatalf("incarnation %d was given to %s after incarnation %d, and to %q before",
						drawn.Incarnation, drawn.Process, before, given[drawn.Incarnation])
				}
				given[drawn.Incarnation] = drawn.Process
			}
			for incarnation := range uint64(10) {
				if s.VerifyIncarnation("n", incarnation) == nil && incarnation != s.LastIncarnation["n"] {
					t.Fatalf("incarnation %d has an open session, and the last incarnation is %d",
						incarnation, s.LastIncarnation["n"])
				}
			}
		}
	})
}
