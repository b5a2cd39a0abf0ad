// Package timeline draws what several processes did as text: a row an instant, a column a process, faults in a column
// of their own. It is pure; tests print it when they fail, and compare it with a golden file where time is virtual.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Faults is the column of the faults that the lab or a schedule injected.
const Faults = "faults"

// Event is something that happened at a process. Events with a Revision, of the registry's state, are ordered by it
// among each other whatever the clocks say; the others by their time.
type Event struct {
	At       time.Duration // since the start of the run, on one clock
	Revision int64         // 0: none
	Process  string        // a column
	Text     string
}

// minIdleGap is how long nothing has to happen for a line that says so.
const minIdleGap = time.Second

// Merge orders events: those with a revision by it, each taken up at the latest time that an earlier revision has; all
// by time, then in the order given.
func Merge(events []Event) []Event {
	out := slices.Clone(events)
	var byRevision []int
	for i, e := range out {
		if e.Revision != 0 {
			byRevision = append(byRevision, i)
		}
	}
	slices.SortStableFunc(byRevision, func(a, b int) int { return cmp.Compare(out[a].Revision, out[b].Revision) })
	rank, latest := map[int]int{}, time.Duration(0)
	for n, i := range byRevision {
		rank[i] = n + 1
		latest = max(latest, out[i].At)
		out[i].At = latest
	}
	order := make([]int, len(out))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(out[a].At, out[b].At),
			cmp.Compare(rank[a], rank[b]))
	})
	merged := make([]Event, len(out))
	for n, i := range order {
		merged[n] = out[i]
	}
	return merged
}

// Draw gives the text: columns in the order given, with those of events that are not among them behind, and the faults'
// column last. Events of one millisecond share a row unless they share a column.
func Draw(columns []string, events []Event) string {
	events = Merge(events)
	columns = slices.Clone(columns)
	for _, e := range events {
		if e.Process != Faults && !slices.Contains(columns, e.Process) {
			columns = append(columns, e.Process)
		}
	}
	columns = append(slices.DeleteFunc(columns, func(c string) bool { return c == Faults }), Faults)
	type line struct {
		at    time.Duration
		cells []string
	}
	var lines []line
	width := make([]int, len(columns))
	for i, c := range columns {
		width[i] = utf8.RuneCountInString(c)
	}
	for _, e := range events {
		col, at := slices.Index(columns, e.Process), e.At.Truncate(time.Millisecond)
		if n := len(lines); n == 0 || lines[n-1].at != at || lines[n-1].cells[col] != "" {
			lines = append(lines, line{at, make([]string, len(columns))})
		}
		lines[len(lines)-1].cells[col] = e.Text
		width[col] = max(width[col], utf8.RuneCountInString(e.Text))
	}
	var b strings.Builder
	row := func(first string, cells []string) {
		var r strings.Builder
		fmt.Fprintf(&r, "%9s", first)
		for i, c := range cells {
			fmt.Fprintf(&r, "  %-*s", width[i], c)
		}
		b.WriteString(strings.TrimRight(r.String(), " ") + "\n")
	}
	row("s", columns)
	for i, l := range lines {
		if i > 0 && l.at-lines[i-1].at >= minIdleGap {
			fmt.Fprintf(&b, "%9s  (%.1f s of quiet)\n", "", (l.at - lines[i-1].at).Seconds())
		}
		row(fmt.Sprintf("%.3f", l.at.Seconds()), l.cells)
	}
	return b.String()
}

// First is the first event of a process whose text has the given beginning, from a time on; false where there is none.
func First(events []Event, process, prefix string, since time.Duration) (Event, bool) {
	for _, e := range Merge(events) {
		if e.Process == process && e.At >= since && strings.HasPrefix(e.Text, prefix) {
			return e, true
		}
	}
	return Event{}, false
}

// Between tells whether an event that matches stands after the first start event and before the first end event that
// follows it, in the merged order.
func Between(events []Event, isStart, isEnd, matches func(Event) bool) bool {
	open := false
	for _, e := range Merge(events) {
		switch {
		case !open:
			open = isStart(e)
		case isEnd(e):
			return false
		case matches(e):
			return true
		}
	}
	return false
}
