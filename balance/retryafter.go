package balance

import (
	"math"
	"time"
)

// retryAfter is the Retry-After of a rejection: the time until the shortest queue has fallen to the length that an
// average request may join. It is at least the mean service time, which applies when no queue is the reason for the
// rejection. Without a usable endpoint it is the mean latency objective. It never exceeds Limits.MaxRetryAfter, beyond
// which clients ignore it.
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
	if limit := b.cfg.Limits.MaxRetryAfter.Seconds(); limit > 0 {
		seconds = min(seconds, limit)
	}
	return time.Duration(seconds * float64(time.Second))
}
