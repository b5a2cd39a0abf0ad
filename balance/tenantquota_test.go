package balance

import (
	"testing"
	"time"
)

// The bound on the wait is lower beyond the quota than within.
func TestRequestsBeyondTheQuotaAreRejectedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{QuotaPerSecond: 4, Share: 0.5}, {QuotaPerSecond: 4000, Share: 0.5}}
	cfg.OverQuotaValue = 0.1
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	bound := func(tenant int) float64 {
		return r.b.maxWaitSeconds(r.request(idempotent, tenant))
	}
	if bound(0) >= bound(1) { // the first tenant's quota is long used up
		t.Errorf("bounds %v beyond the quota and %v within", bound(0), bound(1))
	}
}

// A quota spread over hundreds of nodes is less than one request a second at each: two at once are chance.
func TestSmallQuotaAllowsABurst(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.OverQuotaValue = 500, 0.05
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	req := r.request(idempotent, 0)
	r.serve(3, idempotent, in20ms)
	if l := r.b.priorityFactor(req); l != 1 {
		t.Errorf("priority factor %v at the fourth request", l)
	}
	r.serve(3, idempotent, in20ms)
	if l := r.b.priorityFactor(req); l > 0.5 {
		t.Errorf("priority factor %v at the seventh", l)
	}
}

// A tenant's quota may be used unevenly: a node that has seen none of it for long takes one second's worth of its own
// part at once, and four requests where a second's worth is less.
func TestQuotaBurst(t *testing.T) {
	for name, c := range map[string]struct {
		quotaPerSecond float64
		instances      int
		burst          int // requests within the quota
	}{
		"one second of a large quota":   {quotaPerSecond: 100, instances: 2, burst: 50},
		"one second of a medium quota":  {quotaPerSecond: 60, instances: 10, burst: 6},
		"four requests of a small one":  {quotaPerSecond: 100, instances: 500, burst: 4},
		"four requests of less than it": {quotaPerSecond: 7, instances: 2, burst: 4},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Instances, cfg.Tenants[0].QuotaPerSecond = c.instances, c.quotaPerSecond
			r := newHarness(t, cfg, listedEndpoint(1, 0, 0))
			r.advance(time.Hour)
			r.handle(TimerFired{})
			available := &r.b.quota(&request{}).requests
			if got := *available; got != float64(c.burst) {
				t.Errorf("%v requests may come at once, want %d", got, c.burst)
			}
			*available = 0
			r.advance(500 * ms)
			r.handle(TimerFired{})
			want := min(float64(c.burst), 0.5*c.quotaPerSecond/float64(c.instances))
			if got := r.b.quota(&request{}).requests; got < 0.999*want || got > 1.001*want {
				t.Errorf("%v requests half a second after the last one, want %v", got, want)
			}
		})
	}
}
