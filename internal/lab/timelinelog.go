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
func (l *cluster) recordEvent(who, format string, args ...any) {
	l.timelineLog.mu.Lock()
	defer l.timelineLog.mu.Unlock()
	l.timelineLog.events = append(l.timelineLog.events,
		timeline.Event{At: time.Since(l.start), Process: who, Text: fmt.Sprintf(format, args...)})
}

// recordChange adds to a column where it has something new to say.
func (l *cluster) recordChange(who, text string) {
	l.timelineLog.mu.Lock()
	changed := l.timelineLog.lastText[who] != text
	l.timelineLog.lastText[who] = text
	l.timelineLog.mu.Unlock()
	if changed {
		l.recordEvent(who, "%s", text)
	}
}

// noteFault records a fault in the report and the timeline.
func (l *cluster) noteFault(kind string, targets ...string) {
	l.recordFault(FaultMark{At: time.Since(l.start).Seconds(), Kind: kind, Target: targets})
	l.recordEvent(timeline.Faults, "%s %s", kind, strings.Join(targets, " "))
}

// drawTimeline draws the timeline into the run's folder, and gives it.
func (l *cluster) drawTimeline(columns []string) (string, error) {
	text := timeline.Draw(columns, l.timelineLog.events)
	return text, os.WriteFile(l.path("timeline.txt"), []byte(text), 0o644)
}
