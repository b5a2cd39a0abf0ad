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
		"nothing told":        func(c *Config) { *c = Config{Classes: []Class{{Aim: time.Second}}} },
		"no aim":              func(c *Config) { c.Classes[safe].Aim = 0 },
		"no points":           func(c *Config) { c.Classes[safe].Points = 0 },
		"no share":            func(c *Config) { c.Tenants = []Tenant{{}} },
		"nothing when cold":   func(c *Config) { c.Rules.ColdShare = 0 },
		"cold for ever":       func(c *Config) { c.Rules.WarmWithin = math.MaxInt64 },
		"no overload":         func(c *Config) { c.Rules.OverloadFor, c.Rules.FallMultiple = 0, 0 },
		"asks all the time":   func(c *Config) { c.AskDiscovery, c.Rules.AskEvery = true, 1 },
		"asks never":          func(c *Config) { c.AskDiscovery, c.Rules.AskEvery = true, math.MaxInt64 },
		"a million nodes":     func(c *Config) { c.AskDiscovery, c.Instances = true, 1_000_000 },
		"attempts for ever":   func(c *Config) { c.Limits.MaxAttempts = math.MaxInt32 },
		"probes beyond price": func(c *Config) { c.Prices.Probe = 1e300 },
		"a zone of its own":   func(c *Config) { c.Zone = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := site()
			change(&cfg)
			cold := member(2, 0, 0)
			cold.Launched = time.Hour
			r := newRig(t, cfg, member(1, 0, 0), cold)
			check := func(acts []Action) (ended bool) {
				for _, a := range acts {
					if a.In < 0 || a.In > 80*time.Minute || a.RetryIn < 0 || a.RetryIn > 80*time.Minute {
						t.Fatalf("%+v", a)
					}
					ended = ended || a.Kind == Refuse || a.Kind == Fail || a.Kind == Send
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
				for _, a := range of(Send, acts) {
					r.wait(5 * ms)
					check(r.outcome(id, 0, a.Backend, Delivered))
				}
				r.wait(10 * ms)
				for _, a := range of(SetTimer, r.do(Event{Kind: MembersRefused})) {
					if a.In < 10*ms {
						calls++
					}
					check(r.last)
				}
				if st := r.b.State(); math.IsNaN(st.LeastWait) || math.IsNaN(st.Base) || math.IsNaN(st.Part) {
					t.Fatalf("request %s: %+v", id, st)
				}
			}
			if calls > 30 {
				t.Errorf("%d of 300 refused calls were repeated at once", calls)
			}
		})
	}
}
