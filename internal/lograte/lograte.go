// Package lograte logs complaints at a bounded rate: what comes from outside must not fill the log.
package lograte

import (
	"log/slog"
	"sync"
	"time"
)

// every is the least time between two complaints of one kind.
const every = time.Second

// Limited logs one kind of complaint. Set Log before use. It may be used by several goroutines.
type Limited struct {
	Log *slog.Logger

	mu      sync.Mutex
	at      time.Time
	skipped int
}

// Warn logs a complaint with the number of those skipped since the last one, or skips it if one was logged just now.
func (l *Limited) Warn(msg string, args ...any) {
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.at) < every {
		l.skipped++
		l.mu.Unlock()
		return
	}
	skipped := l.skipped
	l.at, l.skipped = now, 0
	l.mu.Unlock()
	l.Log.Warn(msg, append(args, "skipped", skipped)...)
}
