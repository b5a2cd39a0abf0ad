package balance

import (
	"slices"
	"testing"
	"time"
)

// Discovery may fail for minutes: one line says so.
func TestFailedDiscoveryIsLoggedOnce(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	for range 10 {
		r.recordLogs(r.handle(DiscoveryFailed{}))
	}
	if len(r.logs) != 1 {
		t.Errorf("%q", r.logs)
	}
}

// Discovery is watched soon after the start, and again after a failure; meanwhile the old list serves.
func TestFailedDiscoveryIsPolledAgain(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	first := ofKind(SetTimer, r.last)
	if len(first) != 1 || first[0].Delay > 100*ms ||
		len(ofKind(WatchEndpoints, r.handle(TimerFired{ID: first[0].TimerID}))) != 1 {
		t.Fatal("no watch at the start of one node of two")
	}
	timers := ofKind(SetTimer, r.handle(DiscoveryFailed{}))
	if len(timers) != 1 || timers[0].Delay <= 0 || timers[0].Delay >= cfg.Rules.PollInterval {
		t.Fatalf("got %+v", r.last)
	}
	if len(ofKind(WatchEndpoints, r.handle(TimerFired{ID: timers[0].TimerID}))) != 1 {
		t.Fatal("not repeated")
	}
	r.arrive("x", idempotent)
	r.forwardedTo() // the old list still serves
}

// A fleet that starts at once, or whose calls fail at once, must not call discovery at once: failed calls have cost
// it their work, and those behind them fail too.
func TestFleetSpreadsItsPolls(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery, cfg.Instances = true, 80
	perSecond := make([][]int, 4) // calls by second: at the start, and after each failure in a row
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
				t.Fatalf("%+v", timers)
			}
			perSecond[i][int(timers[0].Delay/time.Second)]++
			if len(ofKind(WatchEndpoints, b.Handle(time.Hour, TimerFired{ID: timers[0].TimerID}, nil))) != 1 {
				t.Fatal("no call when it is due")
			}
			ev = DiscoveryFailed{}
		}
	}
	for i, calls := range perSecond {
		if most := slices.Max(calls); most > 32 {
			t.Errorf("after %d failures %d of 80 nodes call in one second: %v", i, most, calls)
		}
	}
}

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
