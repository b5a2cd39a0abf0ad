package balance

import (
	"testing"
	"time"
)

// Calls to discovery are drawn evenly from a span: that of the fleet's calls after a list, a twentieth of the poll
// interval or the fleet's span where that is longer, doubled with each failure in a row, and never over 3.75 s. A site
// that tells no poll interval has one of 10 s.
func TestSpansOfCallsToDiscovery(t *testing.T) {
	for name, c := range map[string]struct {
		interval  time.Duration
		instances int
		failures  int // in a row before the call; 0: after a list
		span      time.Duration
	}{
		"after a list":                       {10 * time.Second, 2, 0, 100 * ms},
		"after a list, fleet of 40":          {10 * time.Second, 40, 0, 2 * time.Second},
		"after a list, fleet of 1000":        {10 * time.Second, 1000, 0, 3750 * ms},
		"after a list, no interval set":      {0, 2, 0, 100 * ms},
		"after a failure":                    {10 * time.Second, 2, 1, time.Second},
		"after a failure, short interval":    {2 * time.Second, 2, 1, 200 * ms},
		"after a failure, no interval set":   {0, 2, 1, time.Second},
		"after a failure, fleet of 30":       {10 * time.Second, 30, 1, 3 * time.Second},
		"after two failures":                 {10 * time.Second, 2, 2, 2 * time.Second},
		"after three failures":               {10 * time.Second, 2, 3, 3750 * ms},
		"after twenty failures":              {10 * time.Second, 2, 20, 3750 * ms},
		"after ten failures, short interval": {time.Second, 2, 10, 3750 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			var longest, sum time.Duration
			const nodes = 2000
			for seed := range uint64(nodes) {
				cfg := testConfig()
				cfg.PollDiscovery, cfg.Instances, cfg.Rules.PollInterval = true, c.instances, c.interval
				b, err := New(cfg, seed)
				if err != nil {
					t.Fatal(err)
				}
				acts := b.Handle(time.Hour, EndpointsListed{Kind: CachedList}, nil)
				for range c.failures {
					acts = b.Handle(time.Hour, DiscoveryFailed{}, nil)
				}
				timers := ofKind(SetTimer, acts)
				if len(timers) != 1 {
					t.Fatalf("%+v", acts)
				}
				longest = max(longest, timers[0].Delay)
				sum += timers[0].Delay
			}
			if longest > c.span || longest < c.span*98/100 {
				t.Errorf("the longest of %d delays is %v, want just under %v", nodes, longest, c.span)
			}
			if mean := sum / nodes; mean < c.span*46/100 || mean > c.span*54/100 {
				t.Errorf("mean delay %v, want half of %v", mean, c.span)
			}
		})
	}
}
