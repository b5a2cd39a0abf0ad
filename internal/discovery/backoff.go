package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second // short against the 6 s after which a change counts as notified
)

// backoff is the delay after failed calls: it doubles from minBackoff to maxBackoff with each round of failures, where
// a round is one failure at each replica. Within a round the next replica is tried after minBackoff, or a change would
// be late by a delay for each replica that is down.
type backoff struct {
	replicas int // 0: one discovery
	failures int
	delay    time.Duration
}

func newBackoff(replicas int) *backoff { return &backoff{replicas: replicas, delay: minBackoff} }

// reset starts over after a call that succeeded.
func (b *backoff) reset() {
	b.failures = 0
	b.delay = minBackoff
}

// next returns the delay after one more failure.
func (b *backoff) next() time.Duration {
	b.failures++
	if b.replicas > 0 && b.failures%b.replicas != 0 {
		return minBackoff
	}
	delay := b.delay
	b.delay = min(2*delay, maxBackoff)
	return delay
}

// sleep waits between half and one and a half of a delay, as nodes that lost discovery together must not come back to
// it in step. It ends early when discovery moves.
func (c *Client) sleep(ctx context.Context, delay time.Duration) {
	_, addressChanged := c.location()
	timer := time.NewTimer(delay/2 + rand.N(delay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-addressChanged:
	case <-timer.C:
	}
}
