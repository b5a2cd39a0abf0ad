package timeline

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

func sample() []Event {
	return []Event{
		{At: 10 * ms, Revision: 1, Process: "node-0", Text: "session 1"},
		{At: 8 * ms, Revision: 2, Process: "node-1", Text: "session 1"}, // its clock reads early: revisions order it
		{At: 1500 * ms, Process: Faults, Text: "pause node-1"},
		{At: 2100 * ms, Process: "node-0", Text: "fresh 1 of 2"},
		{At: 2100*ms + 300*time.Microsecond, Process: "registry-0", Text: "view 1.21"},
		{At: 2100*ms + 900*time.Microsecond, Process: "node-0", Text: "alone"},
		{At: 2400 * ms, Revision: 3, Process: "registry-0", Text: "expires node-1"},
	}
}

// The drawing is the golden file's, to the letter.
func TestDraw(t *testing.T) {
	want, err := os.ReadFile("testdata/sample.txt")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), Draw([]string{"node-0", "node-1"}, sample())); diff != "" {
		t.Error(diff)
	}
}

// Events with a revision keep its order though clocks differ, and none is lost.
func TestMergeKeepsRevisions(t *testing.T) {
	got := Merge(sample())
	last := int64(0)
	for _, e := range got {
		if e.Revision != 0 && e.Revision != last+1 {
			t.Fatalf("revision %d after %d", e.Revision, last)
		} else if e.Revision != 0 {
			last = e.Revision
		}
	}
	if len(got) != len(sample()) || last != 3 || got[1].Process != "node-1" {
		t.Errorf("%+v", got)
	}
}

func TestQuestions(t *testing.T) {
	is := func(who, text string) func(Event) bool {
		return func(e Event) bool { return e.Process == who && strings.HasPrefix(e.Text, text) }
	}
	if e, ok := First(sample(), "node-0", "fresh", 1500*ms); !ok || e.At != 2100*ms {
		t.Errorf("%+v %v", e, ok)
	}
	if _, ok := First(sample(), "node-0", "fresh", 2200*ms); ok {
		t.Error("an event from before is found")
	}
	if !Between(sample(), is(Faults, "pause"), is("registry-0", "expires"), is("node-0", "alone")) {
		t.Error("what stands between is not found")
	}
	if Between(sample(), is(Faults, "pause"), is("node-0", "fresh"), is("node-0", "alone")) {
		t.Error("what stands behind is found between")
	}
}
