package balance

import (
	"fmt"
	"testing"
	"time"
)

// The number of health checks follows their price. A tick has at most maxHealthChecksPerTick checks, of distinct
// endpoints.
func TestHealthChecksAreDistinctAndFollowTheirPrice(t *testing.T) {
	for _, price := range []float64{0, 0.001, 0.01, 0.08} {
		cfg := testConfig()
		cfg.Prices.HealthCheck = price
		h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
		seen, checks := map[EndpointID]bool{}, 0
		for i := range 1000 {
			h.advance(2 * ms)
			h.arrive(fmt.Sprint(i), idempotent)
			for _, a := range ofKind(HealthCheck, h.last) {
				seen[a.Endpoint], checks = true, checks+1
			}
			h.arrive(fmt.Sprint("same tick", i), idempotent)
			if len(ofKind(HealthCheck, h.last)) != 0 {
				t.Fatal("two rounds of checks in one tick")
			}
		}
		// Two arrivals in each of 1000 ticks, and at most maxHealthChecksPerTick checks in each.
		want := int(min(1000*maxHealthChecksPerTick, 2000*healthCheckBudgetPerArrival/max(price, 1e-9)))
		if checks < want*9/10 || checks > want*11/10+1 || len(seen) != 3 {
			t.Errorf("price %v: %d checks of %d endpoints, want %d", price, checks, len(seen), want)
		}
	}
}

// Without permission no endpoint is checked. The credit for checks is limited.
func TestHealthChecksNeedPermissionAndTheirCreditIsLimited(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.HealthChecks = false
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for i := range 50 {
		h.advance(time.Second)
		if p := ofKind(HealthCheck, h.arrive(fmt.Sprint(i), idempotent)); len(p) != 0 {
			t.Fatalf("checked without permission: %+v", p)
		}
	}
	h = newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for i := range 100 { // one tick
		h.arrive(fmt.Sprint("burst", i), nonIdempotent)
	}
	if h.b.healthChecks.credit > 2*maxHealthChecksPerTick {
		t.Errorf("a credit of %v checks, want at most %v", h.b.healthChecks.credit, 2*maxHealthChecksPerTick)
	}
}

// A request that waits for health checks is not forwarded if its client has disconnected. The next waiting request is
// forwarded.
func TestWaitingRequestOfADisconnectedClientIsNotForwarded(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 0 // each arrival may check several endpoints
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	h.handle(RequestArrived{Request: "left", Class: idempotent, TimeLeft: time.Second})
	h.handle(RequestArrived{Request: "stays", Class: idempotent, TimeLeft: time.Second})
	if len(h.b.awaitingChecks) != 2 {
		t.Fatalf("%d requests are waiting, want 2", len(h.b.awaitingChecks))
	}
	h.handle(ClientDisconnected{Request: "left"})
	if sent := ofKind(Forward, h.handle(TimerFired{ID: h.b.timers.lastID})); len(sent) != 1 || sent[0].Request != "stays" {
		t.Errorf("forwarded %+v, want only the request of the client that stays", sent)
	}
	if len(h.b.requests) != 1 {
		t.Errorf("%d requests are kept, want 1", len(h.b.requests))
	}
}

// A node that has just started knows no loads. If all nodes of a large fleet start at the same time, they would fill
// the endpoints before the first health check is due at a high price. Therefore each arrival sends a check until the
// node has sent as many checks as it has endpoints.
func TestNewNodeChecksAtEachArrival(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 1000 * healthCheckBudgetPerArrival
	endpoints := make([]Endpoint, 5)
	for i := range endpoints {
		endpoints[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	h := newHarness(t, cfg, endpoints...)
	checks := 0
	for i := range 100 {
		h.advance(10 * ms)
		checks += len(ofKind(HealthCheck, h.arrive(fmt.Sprint(i), idempotent)))
	}
	if checks < 5 || checks > 6 {
		t.Errorf("%d checks for 5 endpoints, want 5 or 6", checks)
	}
}

// If health checks are cheap and fresh, a request waits for the health checks of its own tick. In a large fleet all
// older queue estimates are out of date, and the smallest estimate is the most outdated one.
func TestArrivalsWaitForTheirHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 0
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	h.handle(RequestArrived{Request: "x", TimeLeft: time.Second})
	checks := ofKind(HealthCheck, h.last)
	if len(checks) != maxHealthChecksPerTick || len(ofKind(Forward, h.last)) != 0 {
		t.Fatalf("%d checks and %d forwards at the arrival, want %d and 0", len(checks), len(ofKind(Forward, h.last)),
			maxHealthChecksPerTick)
	}
	h.advance(ms)
	for _, id := range []EndpointID{1, 3} {
		if h.handle(loadReported(id, 4)); len(ofKind(Forward, h.last)) != 0 {
			t.Fatal("forwarded before all checks had a result")
		}
	}
	if h.handle(loadReported(2, 0)); h.forwardedTo() != 2 {
		t.Errorf("sent to endpoint %d, but endpoint 2 is idle", h.forwardedTo())
	}
	// A check without a result must not delay a request for long, and not past its deadline.
	h.advance(time.Second)
	h.handle(RequestArrived{Request: "y", TimeLeft: time.Second})
	timers := ofKind(SetTimer, h.last)
	if wait := timers[len(timers)-1]; wait.Delay > 15*ms {
		t.Errorf("the request is delayed for %v, want at most 15ms", wait.Delay)
	} else if h.handle(TimerFired{ID: wait.TimerID}); len(ofKind(Forward, h.last)) != 1 {
		t.Error("not forwarded when the wait ended")
	}
	h.handle(RequestArrived{Request: "z", TimeLeft: time.Second})
	h.handle(ClientDisconnected{Request: "z"})
	for _, id := range []EndpointID{1, 2, 3} {
		if h.handle(loadReported(id, 0)); len(ofKind(Forward, h.last)) != 0 {
			t.Error("forwarded for a client that has disconnected")
		}
	}
}

// A successful health check counts as activity. An endpoint with few other requests to answer must not lose its traffic
// after one lost request while its health checks succeed. An endpoint that answers neither requests nor health checks
// loses its traffic.
func TestHealthChecksCountAsActivity(t *testing.T) {
	for name, tc := range map[string]struct {
		check       Status
		failureRate float64
	}{
		"answered":  {StatusSucceeded, 0},
		"rejected":  {StatusRejected, 1},
		"no answer": {StatusTimedOut, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			h.serve(50, idempotent, in20ms)
			e := h.b.endpoints[1]
			e.failureRate = 0
			h.arrive("lost", idempotent)
			h.advance(300 * ms)
			h.handle(HealthChecked{Endpoint: 1, Status: tc.check, Elapsed: 10 * ms})
			h.advance(700 * ms)
			h.endAttempt("lost", 0, 1, StatusTimedOut)
			if e.failureRate != tc.failureRate {
				t.Errorf("failure rate %v, want %v", e.failureRate, tc.failureRate)
			}
		})
	}
}
