// Package timeline draws what several processes did as text: a row for each instant, a column for each process, and the
// faults in a column of their own. It has no state and no clock; tests print a timeline when they fail, and compare it
// with a golden file where time is virtual.
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

// minIdleGap is the time without an event from which on the drawing has a line that says so.
const minIdleGap = time.Second

// Merge orders events by time, then in the order given. Those with a revision are in its order: each counts as no
// earlier than those of earlier revisions.
func Merge(events []Event) []Event {
	adjusted := slices.Clone(events)
	var byRevision []int
	for i, event := range adjusted {
		if event.Revision != 0 {
			byRevision = append(byRevision, i)
		}
	}
	slices.SortStableFunc(byRevision, func(a, b int) int {
		return cmp.Compare(adjusted[a].Revision, adjusted[b].Revision)
	})
	rank := map[int]int{} // 0: no revision
	latest := time.Duration(0)
	for n, i := range byRevision {
		rank[i] = n + 1
		latest = max(latest, adjusted[i].At)
		adjusted[i].At = latest
	}
	order := make([]int, len(adjusted))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(adjusted[a].At, adjusted[b].At), cmp.Compare(rank[a], rank[b]))
	})
	merged := make([]Event, len(order))
	for n, i := range order {
		merged[n] = adjusted[i]
	}
	return merged
}

// row is the events of one millisecond, at most one a column.
type row struct {
	at    time.Duration
	cells []string
}

// Draw returns the drawing: the columns given, then those of other events, and the faults' column last. Events of one
// millisecond share a row unless they share a column.
func Draw(columns []string, events []Event) string {
	events = Merge(events)
	columns = allColumns(columns, events)
	rows := arrange(columns, events)
	widths := make([]int, len(columns))
	for i, column := range columns {
		widths[i] = utf8.RuneCountInString(column)
		for _, r := range rows {
			widths[i] = max(widths[i], utf8.RuneCountInString(r.cells[i]))
		}
	}
	var b strings.Builder
	writeRow(&b, widths, "s", columns)
	for i, r := range rows {
		if i > 0 && r.at-rows[i-1].at >= minIdleGap {
			fmt.Fprintf(&b, "%9s  (%.1f s of quiet)\n", "", (r.at - rows[i-1].at).Seconds())
		}
		writeRow(&b, widths, fmt.Sprintf("%.3f", r.at.Seconds()), r.cells)
	}
	return b.String()
}

// allColumns adds the columns of events that are not among those given, and moves the faults' to the end.
func allColumns(columns []string, events []Event) []string {
	columns = slices.Clone(columns)
	for _, event := range events {
		if event.Process != Faults && !slices.Contains(columns, event.Process) {
			columns = append(columns, event.Process)
		}
	}
	return append(slices.DeleteFunc(columns, func(c string) bool { return c == Faults }), Faults)
}

// arrange places events in rows.
func arrange(columns []string, events []Event) []row {
	var rows []row
	for _, event := range events {
		column := slices.Index(columns, event.Process)
		at := event.At.Truncate(time.Millisecond)
		if n := len(rows); n == 0 || rows[n-1].at != at || rows[n-1].cells[column] != "" {
			rows = append(rows, row{at: at, cells: make([]string, len(columns))})
		}
		rows[len(rows)-1].cells[column] = event.Text
	}
	return rows
}

// writeRow writes a row: its time, and its cells at the columns' widths.
func writeRow(b *strings.Builder, widths []int, first string, cells []string) {
	var line strings.Builder
	fmt.Fprintf(&line, "%9s", first)
	for i, cell := range cells {
		fmt.Fprintf(&line, "  %-*s", widths[i], cell)
	}
	b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
}

// First returns the first event of a process, from a time on, whose text has the given beginning; false where there is
// none.
func First(events []Event, process, prefix string, since time.Duration) (Event, bool) {
	for _, event := range Merge(events) {
		if event.Process == process && event.At >= since && strings.HasPrefix(event.Text, prefix) {
			return event, true
		}
	}
	return Event{}, false
}

// Between tells whether an event that matches comes after the first start event and before the first end event that
// follows it, in the merged order.
func Between(events []Event, isStart, isEnd, matches func(Event) bool) bool {
	started := false
	for _, event := range Merge(events) {
		switch {
		case !started:
			started = isStart(event)
		case isEnd(event):
			return false
		case matches(event):
			return true
		}
	}
	return false
}
