package node

import (
	"context"
	"time"
)

// pause waits until d has passed or ctx ends. It returns immediately if d is zero or negative.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
