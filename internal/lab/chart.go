package lab

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"hitchvale/internal/timeline"
)

// chart is what a run takes down for its timeline.
type chart struct {
	mu     sync.Mutex
	events []timeline.Event
	said   map[string]string // by column: what say put there last
}

// note adds to a column of the timeline.
func (l *cluster) note(who, format string, args ...any) {
	l.chart.mu.Lock()
	defer l.chart.mu.Unlock()
	l.chart.events = append(l.chart.events, timeline.Event{At: time.Since(l.start), Process: who, Text: fmt.Sprintf(format, args...)})
}

// say adds to a column where it has something new to say.
func (l *cluster) say(who, text string) {
	l.chart.mu.Lock()
	changed := l.chart.said[who] != text
	l.chart.said[who] = text
	l.chart.mu.Unlock()
	if changed {
		l.note(who, "%s", text)
	}
}

// fault records a fault in the report and the timeline.
func (l *cluster) fault(kind string, targets ...string) {
	l.mark(FaultMark{At: time.Since(l.start).Seconds(), Kind: kind, Target: targets})
	l.note(timeline.Faults, "%s %s", kind, strings.Join(targets, " "))
}

// drawTimeline draws the timeline into the run's folder, and gives it.
func (l *cluster) drawTimeline(columns []string) (string, error) {
	text := timeline.Draw(columns, l.chart.events)
	return text, os.WriteFile(l.path("timeline.txt"), []byte(text), 0o644)
}
