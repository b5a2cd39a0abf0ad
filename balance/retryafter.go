package balance

import (
	"math"
	"time"
)

// retryAfter is the Retry-After of a rejection: when the shortest queue will have fallen to the length that an average
// request may join. Where no queue is the reason it is the time of one place in a queue; without a usable endpoint it
// is the latency objective. Never above Limits.MaxRetryAfter, beyond which clients don't heed it.
func (b *Balancer) retryAfter() time.Duration {
	bound := b.meanMaxWaitSeconds()
	seconds := math.Inf(1)
	for _, e := range b.usable {
		seconds = min(seconds, b.expectedWaitSeconds(e)-bound)
	}
	if math.IsInf(seconds, 1) {
		seconds = b.latency.meanObjectiveSeconds
	}
	seconds = max(seconds, b.latency.meanServiceSeconds)
	if most := b.cfg.Limits.MaxRetryAfter.Seconds(); most > 0 {
		seconds = min(seconds, most)
	}
	return time.Duration(seconds * float64(time.Second))
}
