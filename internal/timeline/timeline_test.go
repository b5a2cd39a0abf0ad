package timeline

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

// sampleEvents are events of two nodes and a registry, with a fault.
func sampleEvents() []Event {
	return []Event{
		{At: 10 * ms, Revision: 1, Process: "node-0", Text: "session 1"},
		{At: 8 * ms, Revision: 2, Process: "node-1", Text: "session 1"}, // before revision 1 by its time
		{At: 1500 * ms, Process: Faults, Text: "pause node-1"},
		{At: 2100 * ms, Process: "node-0", Text: "fresh 1 of 2"},
		{At: 2100*ms + 300*time.Microsecond, Process: "registry-0", Text: "view 1.21"},
		{At: 2100*ms + 900*time.Microsecond, Process: "node-0", Text: "alone"},
		{At: 2400 * ms, Revision: 3, Process: "registry-0", Text: "expires node-1"},
	}
}

func TestDraw(t *testing.T) {
	want, err := os.ReadFile("testdata/sample.txt")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), Draw([]string{"node-0", "node-1"}, sampleEvents())); diff != "" {
		t.Error(diff)
	}
}

// Merge orders events by revision although their times are in another order, and drops no event.
func TestMergeOrdersEventsByRevision(t *testing.T) {
	merged := Merge(sampleEvents())
	last := int64(0)
	for _, e := range merged {
		if e.Revision != 0 && e.Revision != last+1 {
			t.Fatalf("revision %d follows revision %d, want %d", e.Revision, last, last+1)
		} else if e.Revision != 0 {
			last = e.Revision
		}
	}
	if len(merged) != len(sampleEvents()) || last != 3 || merged[1].Process != "node-1" {
		t.Errorf("merged events: %+v", merged)
	}
}

func TestFirstAndBetweenFindEventsInTime(t *testing.T) {
	is := func(process, prefix string) func(Event) bool {
		return func(e Event) bool { return e.Process == process && strings.HasPrefix(e.Text, prefix) }
	}
	if e, ok := First(sampleEvents(), "node-0", "fresh", 1500*ms); !ok || e.At != 2100*ms {
		t.Errorf("First returned %+v, %v, want an event at 2.1s", e, ok)
	}
	if _, ok := First(sampleEvents(), "node-0", "fresh", 2200*ms); ok {
		t.Error("First returned an event before the given time")
	}
	if !Between(sampleEvents(), is(Faults, "pause"), is("registry-0", "expires"), is("node-0", "alone")) {
		t.Error("Between did not find the event between start and end")
	}
	if Between(sampleEvents(), is(Faults, "pause"), is("node-0", "fresh"), is("node-0", "alone")) {
		t.Error("Between found an event after the end")
	}
}
