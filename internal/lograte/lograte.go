// Package lograte logs warnings at a bounded rate: what comes from outside must not fill the log.
package lograte

import (
	"log/slog"
	"sync"
	"time"
)

// minInterval is the least time between two warnings of one kind.
const minInterval = time.Second

// Limited logs one kind of warning. Set Log before use. It may be used by several goroutines.
type Limited struct {
	Log *slog.Logger

	mu         sync.Mutex
	lastLogged time.Time
	skipped    int
}

// Warn logs a warning with the number of those skipped since the last one, or skips it within minInterval of that.
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
