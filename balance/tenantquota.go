package balance

import "time"

const (
	// quotaBurstSeconds is the time over which a tenant may use its quota unevenly.
	quotaBurstSeconds = 1.0
	// minQuotaBurst is the number of requests that may come at once: of a quota spread over hundreds of nodes each
	// node sees a request now and then, by chance.
	minQuotaBurst = 4.0
)

// quotaBucket is a token bucket of this node's part of a tenant's quota. Invariant: never below zero, since the quota
// only decides what is rejected first, and requests beyond it are forwarded while there is capacity.
type quotaBucket struct {
	requests  float64 // within the quota now
	updatedAt time.Duration
}

func (q *quotaBucket) refill(now time.Duration, perSecond float64) {
	capacity := max(perSecond*quotaBurstSeconds, minQuotaBurst)
	q.requests = min(q.requests+perSecond*(now-q.updatedAt).Seconds(), capacity)
	q.updatedAt = now
}

func (q *quotaBucket) spend() { q.requests = max(q.requests-1, 0) }

func (q *quotaBucket) exhausted() bool { return q.requests < 1 }

// quota returns the bucket of a request's tenant, refilled, or nil for a tenant without a quota.
func (b *Balancer) quota(r *request) *quotaBucket {
	if r.tenant < 0 || r.tenant >= len(b.quotas) || b.cfg.Tenants[r.tenant].QuotaPerSecond <= 0 {
		return nil
	}
	q := &b.quotas[r.tenant]
	q.refill(b.now, b.quotaPerSecond(r.tenant))
	return q
}

// quotaPerSecond is this node's part of a tenant's quota, in requests a second.
func (b *Balancer) quotaPerSecond(tenant int) float64 {
	return b.cfg.Tenants[tenant].QuotaPerSecond / float64(b.cfg.Instances)
}

// spendQuota counts a forwarded request. Rejected ones don't count: their clients try again, often several times.
func (b *Balancer) spendQuota(r *request) {
	if q := b.quota(r); q != nil {
		q.spend()
	}
}
