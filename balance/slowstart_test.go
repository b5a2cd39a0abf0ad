package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// In any OverloadWindow an endpoint in slow start gets less work than this node's part of the work that the endpoint
// can do. The load is counted as work, so a heavy request counts as much as many light ones.
func TestEndpointsInSlowStartAreNotOverloaded(t *testing.T) {
	for _, heavy := range []bool{false, true} {
		cfg := testConfig()
		h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		hint, busy := 20*ms, false
		spent := map[EndpointID]time.Duration{1: 20 * ms, 2: 20 * ms}
		send := func(id string) EndpointID {
			h.handle(RequestArrived{Request: id, ExpectedWork: hint, TimeLeft: time.Second})
			h.advance(10 * ms)
			s := ofKind(Forward, h.last)
			if len(s) == 0 {
				return 0
			}
			if busy && s[0].Endpoint == 1 {
				h.handle(AttemptEnded{Request: id, Endpoint: 1, Status: StatusRejected}) // endpoint 1 is as full as estimated
				return 1
			}
			h.handle(AttemptEnded{Request: id, Endpoint: s[0].Endpoint, Elapsed: spent[s[0].Endpoint], Final: true})
			return s[0].Endpoint
		}
		for i := range 1000 {
			send(fmt.Sprint("warm", i))
		}
		busy = true
		h.b.endpoints[1].loadBias = 500 // so that all requests would go to the starting endpoint
		starting := listedEndpoint(2, 0, 0)
		starting.StartedAt = h.now
		h.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{starting}})
		if heavy {
			hint = 200 * ms
		}
		rate := 0.5 * 20.0 / 10.0 // work per second that each warm endpoint did
		var at []time.Duration
		for i := range 1500 {
			if send(fmt.Sprint("slow start", i)) == 2 {
				at = append(at, h.now-10*ms)
			}
		}
		for i := range at {
			work := 0.0
			for j := i; j < len(at) && at[j] < at[i]+cfg.Rules.OverloadWindow; j++ {
				work += hint.Seconds()
			}
			end := min((at[i]+cfg.Rules.OverloadWindow-starting.StartedAt).Seconds()/cfg.Rules.SlowStartDuration.Seconds(), 1)
			fraction := cfg.Rules.SlowStartFraction + (1-cfg.Rules.SlowStartFraction)*end
			capacity := fraction * rate * cfg.Rules.OverloadWindow.Seconds()
			lastStart := starting.StartedAt + cfg.Rules.SlowStartDuration - cfg.Rules.OverloadWindow
			if at[i] < lastStart && work > 0.5*cfg.Rules.OverloadMultiple*capacity {
				t.Fatalf("heavy %v: %.2f s of work in a window, in which the endpoint can do %.2f s", heavy, work, capacity)
			}
		}
		if len(at) < 10 {
			t.Errorf("heavy %v: the endpoint in slow start got %d requests, want at least 10", heavy, len(at))
		}
	}
}

// The warm throughput counts only endpoints that were warm and known for the entire window. It decays while there is
// little work.
func TestWarmThroughput(t *testing.T) {
	starting := listedEndpoint(1, 0, 0)
	starting.StartedAt = time.Hour
	h := newHarness(t, testConfig(), starting, listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	endWindow := func(work float64) float64 {
		for _, s := range h.b.endpoints {
			s.servedWorkSeconds = work
		}
		h.b.endpoints[1].servedWorkSeconds = 1000 * work
		h.b.endpoints[3].servedWorkSeconds, h.b.endpoints[3].knownSince = 1000*work, h.now+ms // listed during the window
		h.advance(1500 * ms)
		h.handle(TimerFired{})
		return h.b.slowStart.warmThroughput
	}
	h.advance(1500 * ms)
	h.handle(TimerFired{})
	high := endWindow(3)
	if math.Abs(high-2) > 0.01 {
		t.Errorf("warm throughput %v, want 3 s of work in 1.5 s", high)
	}
	if low := endWindow(0); low != warmThroughputDecay*high {
		t.Errorf("warm throughput %v after a window without work, %v before", low, high)
	}
}

// A fleet can overload an endpoint in slow start even if each node sends only one request. In any window all nodes
// together must stay within the endpoint's budget, and some of them must still send requests.
func TestManyNodesShareTheSlowStartBudget(t *testing.T) {
	for _, known := range []bool{false, true} { // before and after the first answers
		cfg := testConfig()
		cfg.Instances = 200
		cfg.Rules.SlowStartFraction = 0.9 // so that its capacity is almost constant
		got := make([]int, 4)
		for node := range cfg.Instances {
			b, _ := New(cfg, uint64(node))
			h := &harness{t: t, b: b, now: time.Hour}
			h.handle(EndpointsListed{Kind: CachedList, Endpoints: []Endpoint{listedEndpoint(2, 0, 0)}})
			if known {
				h.serve(20, idempotent, in20ms)
			}
			b.slowStart.warmThroughput = 0 // a warm endpoint does little work for each of so many nodes
			starting := listedEndpoint(1, 0, 0)
			starting.StartedAt = h.now
			h.handle(EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{starting}})
			for i := range 200 * len(got) {
				if acts := ofKind(Forward, h.arrive(fmt.Sprint("c", i), idempotent)); len(acts) > 0 {
					got[i/200]++
					h.endAttempt(fmt.Sprint("c", i), 0, 1, StatusSucceeded)
				}
				h.advance(1500 * ms / 200)
			}
		}
		// The endpoint does one second of work per second, one request at a time. A request takes 20 ms, or is taken to take
		// 30 ms while no answer is known.
		for window, n := range got {
			if n == 0 || float64(n)*0.02 > 0.6*cfg.Rules.OverloadMultiple*1.5 {
				t.Errorf("window %d, answers known %v: %d requests", window, known, n)
			}
		}
	}
}

// The credit of an endpoint in slow start is used when warm endpoints have a queue, although the endpoint is slower.
// Without requests it would not warm up. A request that it would answer too late goes to a warm endpoint.
func TestSlowStartCreditIsUsed(t *testing.T) {
	for hint, want := range map[time.Duration]EndpointID{10 * ms: 2, 100 * ms: 1} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		h.serve(100, idempotent, in20ms)
		h.advance(3 * time.Second)
		h.serve(100, idempotent, in20ms)
		h.setOtherNodesLoad(1, 1) // the usual load
		starting := listedEndpoint(2, 0, 0)
		starting.StartedAt = h.now - h.b.cfg.Rules.SlowStartDuration/4
		h.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{starting}})
		h.b.endpoints[2].slowStartCreditSeconds = 1
		h.handle(RequestArrived{Request: "x", Class: idempotent, TimeLeft: time.Second, ExpectedWork: hint})
		if len(h.b.awaitingChecks) > 0 {
			h.handle(TimerFired{ID: h.b.timers.lastID})
		}
		if to := h.forwardedTo(); to != want {
			t.Errorf("a request with work of %v went to endpoint %d, want %d", hint, to, want)
		}
	}
}
