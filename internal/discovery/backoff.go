package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second // much shorter than the 6 s within which a node must learn of a change (see watch.go)
)

// backoff computes the delay after a failed call. A round is one failure at each replica. The delay doubles from
// minBackoff to maxBackoff with each round. Within a round the next replica is called after minBackoff. If the
// doubled delay applied there too, each replica that is down would delay the news of a change by the doubled delay.
type backoff struct {
	replicas int           // 0 if discovery is not replicated
	failures int           // since the last success
	delay    time.Duration // after the next round
}

func newBackoff(replicas int) *backoff { return &backoff{replicas: replicas, delay: minBackoff} }

// reset sets the delay back to minBackoff. It is called after a call has succeeded.
func (b *backoff) reset() {
	b.failures = 0
	b.delay = minBackoff
}

// next counts a failure and returns the delay after it.
func (b *backoff) next() time.Duration {
	b.failures++
	if b.replicas > 0 && b.failures%b.replicas != 0 {
		return minBackoff
	}
	delay := b.delay
	b.delay = min(2*delay, maxBackoff)
	return delay
}

// sleep waits for 0.5 to 1.5 times the delay, drawn at random, so that nodes that lost discovery at the same time don't
// call it again at the same time. It returns early when ctx ends or the address of discovery changes.
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
