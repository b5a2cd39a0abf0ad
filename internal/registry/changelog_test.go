package registry

import (
	"errors"
	"testing"

	"hitchvale/internal/statemachine"
)

// If the change log reaches back to the revision, ChangesSince returns each changed member once in its current form,
// and removed members in phase gone. Otherwise it returns the complete list.
func TestChangesSinceReturnsChangesOrCompleteList(t *testing.T) {
	s := NewState(16)
	member := func(id string) Member { return Member{ID: id, HostPort: "127.0.0.1:1", Phase: PhaseReady, Size: 1} }
	for _, c := range []statemachine.Command{
		&MemberCommand{Op: "register", Member: member("a")},
		&MemberCommand{Op: "register", Member: member("b")},
		&MemberCommand{Op: "register", Member: member("c")},
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
		t.Fatalf("changes since revision 3: %+v, want two members, a draining one and b gone", got)
	}
	for range 20 { // 40 changes drop revisions 1 to 5 from the change log
		s.Apply(&MemberCommand{Op: "phase", ID: "c", Phase: PhaseDraining})
		s.Apply(&MemberCommand{Op: "phase", ID: "c", Phase: PhaseReady})
	}
	if list := s.ChangesSince(3); !list.Complete || len(list.Members) != 2 {
		t.Fatalf("changes since a compacted revision: %+v, want the complete list", list)
	}
	result := s.Apply(&MemberCommand{Op: "phase", ID: "zz", Phase: PhaseReady})
	if !errors.Is(result.Err, ErrMemberNotFound) || result.Revision != s.Revision {
		t.Fatalf("setting the phase of an unknown member: %+v, want ErrMemberNotFound and no new revision", result)
	}
}
