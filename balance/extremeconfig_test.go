package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// With extreme settings that pass validation, every request is forwarded or gets its final answer, delays and
// Retry-After stay within bounds, and failed calls to discovery are not repeated immediately without end.
func TestExtremeConfigs(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"nothing set":              func(c *Config) { *c = Config{Classes: []Class{{LatencyObjective: time.Second}}} },
		"no objective":             func(c *Config) { c.Classes[idempotent].LatencyObjective = 0 },
		"no priority":              func(c *Config) { c.Classes[idempotent].PriorityWeight = 0 },
		"no quota":                 func(c *Config) { c.Tenants = []Tenant{{}} },
		"no capacity at the start": func(c *Config) { c.Rules.SlowStartFraction = 0 },
		"endless slow start":       func(c *Config) { c.Rules.SlowStartDuration = math.MaxInt64 },
		"no overload":              func(c *Config) { c.Rules.OverloadWindow, c.Rules.OverloadMultiple = 0, 0 },
		"shortest poll interval":   func(c *Config) { c.PollDiscovery, c.Rules.PollInterval = true, 1 },
		"longest poll interval":    func(c *Config) { c.PollDiscovery, c.Rules.PollInterval = true, math.MaxInt64 },
		"a million nodes":          func(c *Config) { c.PollDiscovery, c.Instances = true, 1_000_000 },
		"unlimited attempts":       func(c *Config) { c.Limits.MaxAttempts = math.MaxInt32 },
		"expensive health checks":  func(c *Config) { c.Prices.HealthCheck = 1e300 },
		"no endpoint in the zone":  func(c *Config) { c.Zone = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			change(&cfg)
			starting := listedEndpoint(2, 0, 0)
			starting.StartedAt = time.Hour
			h := newHarness(t, cfg, listedEndpoint(1, 0, 0), starting)
			check := func(acts []Action) (ended bool) {
				for _, a := range acts {
					if a.Delay < 0 || a.Delay > 80*time.Minute || a.RetryAfter < 0 || a.RetryAfter > 80*time.Minute {
						t.Fatalf("delay or Retry-After out of bounds: %+v", a)
					}
					ended = ended || a.Kind == Reject || a.Kind == Fail || a.Kind == Forward
				}
				return ended
			}
			calls := 0
			for i := range 300 {
				id := fmt.Sprint(i)
				acts := h.arrive(id, idempotent)
				if !check(acts) {
					t.Fatalf("request %s was neither forwarded nor answered: %+v", id, acts)
				}
				for _, a := range ofKind(Forward, acts) {
					h.advance(5 * ms)
					check(h.endAttempt(id, 0, a.Endpoint, StatusSucceeded))
				}
				h.advance(10 * ms)
				for _, a := range ofKind(SetTimer, h.handle(DiscoveryFailed{})) {
					if a.Delay < 10*ms {
						calls++
					}
					check(h.last)
				}
				if st := h.b.Stats(); math.IsNaN(st.ShortestWait) || math.IsNaN(st.UnloadedLatency) || math.IsNaN(st.QueueBudget) {
					t.Fatalf("request %s: %+v", id, st)
				}
			}
			if calls > 30 {
				t.Errorf("%d of 300 failed calls were repeated within 10 ms, want at most 30", calls)
			}
		})
	}
}
