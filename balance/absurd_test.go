package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Settings that no customer should have, but that pass for settings: a node works by them. Every request is ended, nothing
// it says is out of all bounds, and no timer comes at once for ever.
func TestAbsurdSettingsAreWorkedBy(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"nothing told":        func(c *Config) { *c = Config{Classes: []Class{{LatencyObjective: time.Second}}} },
		"no aim":              func(c *Config) { c.Classes[safe].LatencyObjective = 0 },
		"no points":           func(c *Config) { c.Classes[safe].PriorityWeight = 0 },
		"no share":            func(c *Config) { c.Tenants = []Tenant{{}} },
		"nothing when cold":   func(c *Config) { c.Rules.SlowStartFraction = 0 },
		"cold for ever":       func(c *Config) { c.Rules.SlowStartDuration = math.MaxInt64 },
		"no overload":         func(c *Config) { c.Rules.OverloadWindow, c.Rules.OverloadMultiple = 0, 0 },
		"asks all the time":   func(c *Config) { c.PollDiscovery, c.Rules.PollInterval = true, 1 },
		"asks never":          func(c *Config) { c.PollDiscovery, c.Rules.PollInterval = true, math.MaxInt64 },
		"a million nodes":     func(c *Config) { c.PollDiscovery, c.Instances = true, 1_000_000 },
		"attempts for ever":   func(c *Config) { c.Limits.MaxAttempts = math.MaxInt32 },
		"probes beyond price": func(c *Config) { c.Prices.HealthCheck = 1e300 },
		"a zone of its own":   func(c *Config) { c.Zone = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := site()
			change(&cfg)
			cold := listedEndpoint(2, 0, 0)
			cold.StartedAt = time.Hour
			r := newRig(t, cfg, listedEndpoint(1, 0, 0), cold)
			check := func(acts []Action) (ended bool) {
				for _, a := range acts {
					if a.Delay < 0 || a.Delay > 80*time.Minute || a.RetryAfter < 0 || a.RetryAfter > 80*time.Minute {
						t.Fatalf("%+v", a)
					}
					ended = ended || a.Kind == Reject || a.Kind == Fail || a.Kind == Forward
				}
				return ended
			}
			calls := 0
			for i := range 300 {
				id := fmt.Sprint(i)
				acts := r.arrive(id, safe)
				if !check(acts) {
					t.Fatalf("request %s got nothing: %+v", id, acts)
				}
				for _, a := range of(Forward, acts) {
					r.wait(5 * ms)
					check(r.outcome(id, 0, a.Endpoint, StatusSucceeded))
				}
				r.wait(10 * ms)
				for _, a := range of(SetTimer, r.do(DiscoveryFailed{})) {
					if a.Delay < 10*ms {
						calls++
					}
					check(r.last)
				}
				if st := r.b.Stats(); math.IsNaN(st.ShortestWait) || math.IsNaN(st.UnloadedLatency) || math.IsNaN(st.QueueBudget) {
					t.Fatalf("request %s: %+v", id, st)
				}
			}
			if calls > 30 {
				t.Errorf("%d of 300 refused calls were repeated at once", calls)
			}
		})
	}
}
