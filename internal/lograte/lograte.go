// Package lograte logs warnings at a limited rate, so that repeated faults of clients, backends or the network can't
// fill the log.
package lograte

import (
	"log/slog"
	"sync"
	"time"
)

// minInterval is the minimum time between two warnings of a Limited.
const minInterval = time.Second

// Limited logs warnings of one kind, at most one per second. Log must be set before use. A Limited may be used by
// several goroutines.
type Limited struct {
	Log *slog.Logger

	mu         sync.Mutex
	lastLogged time.Time
	skipped    int // warnings skipped since lastLogged
}

// Warn logs a warning, or skips it if the last logged warning is less than minInterval old. The attribute "skipped" of
// a logged warning is the number of warnings that were skipped before it.
func (l *Limited) Warn(msg string, args ...any) {
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.lastLogged) < minInterval {
		l.skipped++
		l.mu.Unlock()
		return
	}
	skipped := l.skipped
	l.lastLogged, l.skipped = now, 0
	l.mu.Unlock()
	l.Log.Warn(msg, append(args, "skipped", skipped)...)
}
