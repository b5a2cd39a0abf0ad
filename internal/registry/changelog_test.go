package registry

import (
	"errors"
	"testing"

	"hitchvale/internal/statemachine"
)

// A watch from a revision that the change log reaches back to gets each changed member once, in its present form,
// removed ones in phase gone; from an older one, it gets the complete list.
func TestChangesSinceReturnsChangesOrCompleteList(t *testing.T) {
	s := NewState(16)
	m := func(id string) Member { return Member{ID: id, HostPort: "127.0.0.1:1", Phase: PhaseReady, Size: 1} }
	for _, c := range []statemachine.Command{
		&MemberCommand{Op: "register", Member: m("a")},
		&MemberCommand{Op: "register", Member: m("b")},
		&MemberCommand{Op: "register", Member: m("c")},
		&MemberCommand{Op: "phase", ID: "a", Phase: PhaseDraining},
		&MemberCommand{Op: "deregister", ID: "b"},
	} {
		if r := s.Apply(c); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	got := s.ChangesSince(3)
	if got.Revision != 5 || got.Complete || len(got.Members) != 2 ||
		got.Members[0].Phase != PhaseDraining || got.Members[1].ID != "b" || got.Members[1].Phase != PhaseGone {
		t.Fatalf("since 3: %+v", got)
	}
	for range 20 { // push revision 1 to 5 out of the change log
		s.Apply(&MemberCommand{Op: "phase", ID: "c", Phase: PhaseDraining})
		s.Apply(&MemberCommand{Op: "phase", ID: "c", Phase: PhaseReady})
	}
	if w := s.ChangesSince(3); !w.Complete || len(w.Members) != 2 {
		t.Fatalf("since a compacted revision: %+v", w)
	}
	r := s.Apply(&MemberCommand{Op: "phase", ID: "zz", Phase: PhaseReady})
	if !errors.Is(r.Err, ErrMemberNotFound) || r.Revision != s.Revision {
		t.Fatalf("unknown member: %+v", r)
	}
}
