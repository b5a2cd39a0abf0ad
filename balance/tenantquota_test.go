package balance

import (
	"testing"
	"time"
)

// The maximum wait is shorter for a request beyond the quota than for one within it.
func TestRequestsBeyondTheQuotaAreRejectedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{QuotaPerSecond: 4, Share: 0.5}, {QuotaPerSecond: 4000, Share: 0.5}}
	cfg.OverQuotaValue = 0.1
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	maxWait := func(tenant int) float64 {
		return h.b.maxWaitSeconds(h.request(idempotent, tenant))
	}
	if maxWait(0) >= maxWait(1) { // the first tenant has used up its quota
		t.Errorf("maximum wait %v s beyond the quota and %v s within it, want less beyond the quota", maxWait(0), maxWait(1))
	}
}

// If a quota is spread over hundreds of nodes, each node has less than one request a second of it. A node may get a few
// requests at the same time by chance, and these are within the quota.
func TestSmallQuotaAllowsABurst(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.OverQuotaValue = 500, 0.05
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	req := h.request(idempotent, 0)
	h.serve(3, idempotent, in20ms)
	if factor := h.b.priorityFactor(req); factor != 1 {
		t.Errorf("priority factor %v at the fourth request, want 1", factor)
	}
	h.serve(3, idempotent, in20ms)
	if factor := h.b.priorityFactor(req); factor > 0.5 {
		t.Errorf("priority factor %v at the seventh request, want at most 0.5", factor)
	}
}

// A tenant may use its quota unevenly. A node that has had no request of the tenant for a long time counts a burst as
// within the quota if it has at most four requests, or at most one second of the node's part of the quota.
func TestQuotaBurst(t *testing.T) {
	for name, c := range map[string]struct {
		quotaPerSecond float64
		instances      int
		burst          int // requests within the quota
	}{
		"one second of a large quota":          {quotaPerSecond: 100, instances: 2, burst: 50},
		"one second of a medium quota":         {quotaPerSecond: 60, instances: 10, burst: 6},
		"four requests of a small quota":       {quotaPerSecond: 100, instances: 500, burst: 4},
		"four requests when a second has less": {quotaPerSecond: 7, instances: 2, burst: 4},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Instances, cfg.Tenants[0].QuotaPerSecond = c.instances, c.quotaPerSecond
			h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
			h.advance(time.Hour)
			h.handle(TimerFired{})
			available := &h.b.quota(&request{}).requests
			if got := *available; got != float64(c.burst) {
				t.Errorf("%v requests are within the quota at the same time, want %d", got, c.burst)
			}
			*available = 0
			h.advance(500 * ms)
			h.handle(TimerFired{})
			want := min(float64(c.burst), 0.5*c.quotaPerSecond/float64(c.instances))
			if got := h.b.quota(&request{}).requests; got < 0.999*want || got > 1.001*want {
				t.Errorf("%v requests are within the quota half a second after it was used up, want %v", got, want)
			}
		})
	}
}
