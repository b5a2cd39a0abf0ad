// Package timeline draws the events of several processes as text, for tests. The drawing has a row for each instant, a
// column for each process, and one column for the injected faults. Tests print a timeline when they fail, and compare
// it with a golden file where time is virtual. The package has no state and reads no clock.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Faults is the Process of the faults that the lab or a schedule injects, and the name of their column.
const Faults = "faults"

// Event is an event of a process. Events with a revision are ordered among themselves by the revision, even if their
// times are in another order. All other events are ordered by time.
type Event struct {
	At       time.Duration // since the start of the run, on one clock
	Revision int64         // of the registry's state; 0 if the event has none
	Process  string        // the column of the event
	Text     string
}

// minIdleGap is the shortest time without an event that the drawing shows as a line of its own.
const minIdleGap = time.Second

// Merge returns the events ordered by time. Events of equal times without a revision keep their order. Events with a
// revision are ordered by the revision: if the time of an event is earlier than that of a lower revision, Merge sets it
// to the time of the lower revision.
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
	rank := map[int]int{} // by index in adjusted; 0 for an event without a revision
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

// row has events of the same millisecond, at most one for each column.
type row struct {
	at    time.Duration
	cells []string
}

// Draw returns the drawing of events. The given columns come first, then the columns of other processes, and the column
// of the faults last. Events of the same millisecond share a row unless they are in the same column.
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

// allColumns returns the given columns, then the columns of the other processes that have events, and the column of the
// faults at the end.
func allColumns(columns []string, events []Event) []string {
	columns = slices.Clone(columns)
	for _, event := range events {
		if event.Process != Faults && !slices.Contains(columns, event.Process) {
			columns = append(columns, event.Process)
		}
	}
	return append(slices.DeleteFunc(columns, func(c string) bool { return c == Faults }), Faults)
}

// arrange places events, which must be in the order of Merge, in rows.
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

// writeRow writes a row: the cell of the time, then the other cells, padded to the widths of the columns.
func writeRow(b *strings.Builder, widths []int, timeCell string, cells []string) {
	var line strings.Builder
	fmt.Fprintf(&line, "%9s", timeCell)
	for i, cell := range cells {
		fmt.Fprintf(&line, "  %-*s", widths[i], cell)
	}
	b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
}

// First returns the first event of a process, not before since, whose text has the given prefix. It returns false if
// there is none.
func First(events []Event, process, prefix string, since time.Duration) (Event, bool) {
	for _, event := range Merge(events) {
		if event.Process == process && event.At >= since && strings.HasPrefix(event.Text, prefix) {
			return event, true
		}
	}
	return Event{}, false
}

// Between reports whether a matching event comes between the first start event and the first end event after it, in the
// order of Merge.
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
