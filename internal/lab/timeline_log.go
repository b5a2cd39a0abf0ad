package lab

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"hitchvale/internal/timeline"
)

// timelineLog records the events of a run's timeline.
type timelineLog struct {
	mu       sync.Mutex
	events   []timeline.Event
	lastText map[string]string // by column: the text of the last call of recordChange
}

// recordEvent adds an event to a column of the timeline.
func (cluster *cluster) recordEvent(column, format string, args ...any) {
	cluster.timelineLog.mu.Lock()
	defer cluster.timelineLog.mu.Unlock()
	cluster.timelineLog.events = append(cluster.timelineLog.events,
		timeline.Event{At: time.Since(cluster.start), Process: column, Text: fmt.Sprintf(format, args...)})
}

// recordChange adds a text to a column of the timeline if it differs from the text of the previous call for that
// column.
func (cluster *cluster) recordChange(column, text string) {
	cluster.timelineLog.mu.Lock()
	changed := cluster.timelineLog.lastText[column] != text
	cluster.timelineLog.lastText[column] = text
	cluster.timelineLog.mu.Unlock()
	if changed {
		cluster.recordEvent(column, "%s", text)
	}
}

// recordFaultEvent records a fault in the report and the timeline.
func (cluster *cluster) recordFaultEvent(kind string, targets ...string) {
	cluster.recordFault(InjectedFault{At: time.Since(cluster.start).Seconds(), Kind: kind, Target: targets})
	cluster.recordEvent(timeline.Faults, "%s %s", kind, strings.Join(targets, " "))
}

// drawTimeline draws the timeline as text, writes it to timeline.txt in the output folder and returns it.
func (cluster *cluster) drawTimeline(columns []string) (string, error) {
	text := timeline.Draw(columns, cluster.timelineLog.events)
	return text, os.WriteFile(cluster.path("timeline.txt"), []byte(text), 0o644)
}
