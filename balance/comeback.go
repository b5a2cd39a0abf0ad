package balance

import (
	"math"
	"time"
)

// comeBack is the advice that goes with a refusal: when the shortest queue will have fallen to what is sent to
// now. Where a queue is not the reason it is the time of one place in a queue, and with no server an aim.
func (b *Balancer) retryAfter() time.Duration {
	in, bound := math.Inf(1), b.queueBudget*max(b.slackSeconds(), b.meanUnloadedSeconds()) // for a request of mean worth
	for _, s := range b.usable {
		in = min(in, b.expectedWaitSeconds(s)-bound)
	}
	if math.IsInf(in, 1) {
		in = b.meanObjectiveSeconds
	}
	in = max(in, b.meanServiceSeconds)
	if most := b.cfg.Limits.MaxRetryAfter.Seconds(); most > 0 {
		in = min(in, most)
	}
	return time.Duration(in * float64(time.Second))
}

// shareLeft returns how many requests this node's part of a tenant's share still holds, brought up to
// now, or nil where there are no shares.
func (b *Balancer) remainingQuota(r *request) *float64 {
	if r.tenant < 0 || r.tenant >= len(b.quotas) || b.cfg.Tenants[r.tenant].QuotaPerSecond <= 0 {
		return nil
	}
	share := &b.quotas[r.tenant]
	rate := b.cfg.Tenants[r.tenant].QuotaPerSecond / float64(b.cfg.Instances)
	share.requests = min(share.requests+rate*(b.now-share.updatedAt).Seconds(), max(rate*quotaBurstSeconds, minQuotaBurst))
	share.updatedAt = b.now
	return &share.requests
}
