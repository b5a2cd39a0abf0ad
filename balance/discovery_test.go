package balance

import (
	"slices"
	"testing"
	"time"
)

// Discovery may fail for minutes. Only the first failure is logged.
func TestFailedDiscoveryIsLoggedOnce(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	for range 10 {
		h.recordLogs(h.handle(DiscoveryFailed{}))
	}
	if len(h.logs) != 1 {
		t.Errorf("log lines %q, want one", h.logs)
	}
}

// The node subscribes to discovery soon after its start, and again after a failure. Meanwhile it uses the old list.
func TestFailedDiscoveryIsPolledAgain(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	first := ofKind(SetTimer, h.last)
	if len(first) != 1 || first[0].Delay > 100*ms ||
		len(ofKind(WatchEndpoints, h.handle(TimerFired{ID: first[0].TimerID}))) != 1 {
		t.Fatal("no subscription within 100 ms of the start, in a fleet of two nodes")
	}
	timers := ofKind(SetTimer, h.handle(DiscoveryFailed{}))
	if len(timers) != 1 || timers[0].Delay <= 0 || timers[0].Delay >= cfg.Rules.PollInterval {
		t.Fatalf("actions after a failure: %+v, want one timer within the poll interval", h.last)
	}
	if len(ofKind(WatchEndpoints, h.handle(TimerFired{ID: timers[0].TimerID}))) != 1 {
		t.Fatal("no subscription when the timer fired")
	}
	h.arrive("x", idempotent)
	h.forwardedTo() // the old list is still used
}

// Nodes that start at the same time, or whose calls fail at the same time, must not call discovery at the same time.
// Calls that fail still cost the discovery service work, and then the calls queued behind them fail too.
func TestFleetSpreadsItsPolls(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery, cfg.Instances = true, 80
	perSecond := make([][]int, 4) // calls in each second: at the start, and after each consecutive failure
	for i := range perSecond {
		perSecond[i] = make([]int, 16)
	}
	for node := range cfg.Instances {
		b, err := New(cfg, uint64(node))
		if err != nil {
			t.Fatal(err)
		}
		var ev Event = EndpointsListed{Kind: CachedList, Endpoints: []Endpoint{listedEndpoint(1, 0, 0)}}
		for i := range perSecond {
			timers := ofKind(SetTimer, b.Handle(time.Hour, ev, nil))
			if len(timers) != 1 {
				t.Fatalf("timers %+v after a list, want one", timers)
			}
			perSecond[i][int(timers[0].Delay/time.Second)]++
			if len(ofKind(WatchEndpoints, b.Handle(time.Hour, TimerFired{ID: timers[0].TimerID}, nil))) != 1 {
				t.Fatal("no subscription when the timer fired")
			}
			ev = DiscoveryFailed{}
		}
	}
	for i, calls := range perSecond {
		if most := slices.Max(calls); most > 32 {
			t.Errorf("after %d failures %d of 80 nodes call in the same second, want at most 32: %v", i, most, calls)
		}
	}
}

// The delay of a call to discovery is uniformly distributed over a span. After a list the span follows from the size of
// the fleet. After a failure it is a twentieth of the poll interval, or the span of the fleet if that is longer,
// doubled for each consecutive failure including the first one. It is never longer than 3.75 s. The default poll
// interval is 10 s.
func TestSpansOfCallsToDiscovery(t *testing.T) {
	for name, c := range map[string]struct {
		interval  time.Duration
		instances int
		failures  int // consecutive failures before the call; 0: after a list
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
					t.Fatalf("actions %+v, want one SetTimer", acts)
				}
				longest = max(longest, timers[0].Delay)
				sum += timers[0].Delay
			}
			if longest > c.span || longest < c.span*98/100 {
				t.Errorf("the longest of %d delays is %v, want between 98 %% and 100 %% of %v", nodes, longest, c.span)
			}
			if mean := sum / nodes; mean < c.span*46/100 || mean > c.span*54/100 {
				t.Errorf("mean delay %v, want between 46 %% and 54 %% of %v", mean, c.span)
			}
		})
	}
}
