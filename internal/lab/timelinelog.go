package lab

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"hitchvale/internal/timeline"
)

// timelineLog is what a run takes down for its timeline.
type timelineLog struct {
	mu       sync.Mutex
	events   []timeline.Event
	lastText map[string]string // by column: what say put there last
}

// recordEvent adds to a column of the timeline.
func (cluster *cluster) recordEvent(who, format string, args ...any) {
	cluster.timelineLog.mu.Lock()
	defer cluster.timelineLog.mu.Unlock()
	cluster.timelineLog.events = append(cluster.timelineLog.events,
		timeline.Event{At: time.Since(cluster.start), Process: who, Text: fmt.Sprintf(format, args...)})
}

// recordChange adds to a column where it has something new to say.
func (cluster *cluster) recordChange(who, text string) {
	cluster.timelineLog.mu.Lock()
	changed := cluster.timelineLog.lastText[who] != text
	cluster.timelineLog.lastText[who] = text
	cluster.timelineLog.mu.Unlock()
	if changed {
		cluster.recordEvent(who, "%s", text)
	}
}

// noteFault records a fault in the report and the timeline.
func (cluster *cluster) noteFault(kind string, targets ...string) {
	cluster.recordFault(FaultMark{At: time.Since(cluster.start).Seconds(), Kind: kind, Target: targets})
	cluster.recordEvent(timeline.Faults, "%s %s", kind, strings.Join(targets, " "))
}

// drawTimeline draws the timeline into the run's folder, and gives it.
func (cluster *cluster) drawTimeline(columns []string) (string, error) {
	text := timeline.Draw(columns, cluster.timelineLog.events)
	return text, os.WriteFile(cluster.path("timeline.txt"), []byte(text), 0o644)
}
