package balance

import (
	"testing"
	"time"
)

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
			r := newRig(t, cfg, listedEndpoint(1, 0, 0))
			r.advance(time.Hour)
			r.handle(TimerFired{})
			left := &r.b.quota(&request{}).requests
			if got := *left; got != float64(c.burst) {
				t.Errorf("%v requests may come at once, want %d", got, c.burst)
			}
			*left = 0
			r.advance(500 * ms)
			r.handle(TimerFired{})
			want := min(float64(c.burst), 0.5*c.quotaPerSecond/float64(c.instances))
			if got := r.b.quota(&request{}).requests; got < 0.999*want || got > 1.001*want {
				t.Errorf("%v requests half a second after the last one, want %v", got, want)
			}
		})
	}
}
