package balance

import "time"

const (
	// quotaBurstSeconds is the time over which a tenant may use its quota unevenly.
	quotaBurstSeconds = 1.0
	// minQuotaBurst is the least number of requests within the quota that may arrive at the same time. If a quota is
	// spread over hundreds of nodes, each node gets few of the tenant's requests, at random times.
	minQuotaBurst = 4.0
)

// quotaBucket is a token bucket of this node's part of a tenant's quota. It does not limit requests: the quota only
// decides which requests are rejected first, and requests beyond it are forwarded while there is capacity. Invariant:
// requests is never below zero.
type quotaBucket struct {
	requests  float64 // number of requests that are within the quota now
	updatedAt time.Duration
}

func (q *quotaBucket) refill(now time.Duration, perSecond float64) {
	capacity := max(perSecond*quotaBurstSeconds, minQuotaBurst)
	q.requests = min(q.requests+perSecond*(now-q.updatedAt).Seconds(), capacity)
	q.updatedAt = now
}

func (q *quotaBucket) spend() { q.requests = max(q.requests-1, 0) }

func (q *quotaBucket) exhausted() bool { return q.requests < 1 }

// quota returns the refilled bucket of a request's tenant, or nil for a tenant without a quota.
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

// spendQuota counts a forwarded request. Rejected requests don't count, because their clients try again, often several
// times.
func (b *Balancer) spendQuota(r *request) {
	if q := b.quota(r); q != nil {
		q.spend()
	}
}
