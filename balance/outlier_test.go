package balance

import (
	"testing"
	"time"
)

// An endpoint that answers only with errors gets few requests. Once it succeeds it gets as many as the other endpoint.
func TestOutliersAreAvoidedAndRecover(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	failing := func(id EndpointID) time.Duration { return time.Duration(2-id) * 20 * ms } // endpoint 2 answers only with errors
	h.serve(40, idempotent, failing)
	if n := h.serve(50, idempotent, failing); n[2] > 5 {
		t.Errorf("%d of 50 requests went to the failing endpoint", n[2])
	}
	h.advance(30 * time.Second)
	for range 20 {
		h.advance(1500 * ms)
		h.serve(2, idempotent, in20ms)
	}
	h.arrive("a", idempotent)
	first := h.forwardedTo()
	h.arrive("b", idempotent)
	if second := h.forwardedTo(); first+second != 3 {
		t.Errorf("with a request in flight at endpoint %d the next request went to %d, want the other endpoint",
			first, second)
	}
}

// A failure rate that all endpoints have in common adds no cost to any of them.
func TestSharedFailuresAddNoCost(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.serve(400, nonIdempotent, func(EndpointID) time.Duration { return 0 })
	e := h.b.endpoints[1]
	cost := h.b.costSeconds(e) - (h.b.queueEstimate(e)+1)*h.b.serviceSeconds(e)
	alone := e.failureRate * failureCostObjectives * h.b.latency.meanObjectiveSeconds // if the other endpoint did not fail
	if e.failureRate < 0.3 || cost > alone/2 {
		t.Errorf("failure rate %v, mean failure rate %v, cost %v s", e.failureRate, h.b.outliers.meanFailureRate, cost)
	}
}

// When all endpoints fail alike, requests are still forwarded.
func TestRequestsAreForwardedWhenAllEndpointsFail(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 0 // load reports clear the unaccepted attempts; the failure rates remain
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.serve(60, nonIdempotent, func(EndpointID) time.Duration { return 0 })
	if n := h.serve(40, idempotent, in20ms); n[1]+n[2] < 20 {
		t.Errorf("endpoints got %v of 40 requests, want at least 20 in total", n)
	}
}

// An endpoint that hangs gets no more requests, although it accepts every request and its queue is short enough for
// more.
func TestUnresponsiveEndpointsGetNoRequests(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	answered := ""
	for _, id := range []string{"one", "two"} { // one at each endpoint; only endpoint 1 answers
		h.arrive(id, nonIdempotent)
		if to := h.forwardedTo(); to == 1 {
			answered = id
		}
	}
	if h.b.endpoints[1].inFlight != 1 || h.b.endpoints[2].inFlight != 1 {
		t.Fatal("both attempts went to one endpoint, want one attempt at each endpoint")
	}
	h.endAttempt(answered, 0, 1, StatusSucceeded)
	h.advance(300 * ms)
	if n := h.serve(30, idempotent, in20ms); n[2] != 0 {
		t.Errorf("%d of 30 requests went to the unresponsive endpoint, want none", n[2])
	}
}

// An endpoint without attempts in flight is not unresponsive. Otherwise, after the timeout of an attempt that was sent
// before the endpoint's last activity, a healthy endpoint would never get requests again.
func TestEndpointWithoutAttemptsIsNotUnresponsive(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.arrive("lost", idempotent)
	h.serve(1, idempotent, in20ms)
	h.endAttempt("lost", 0, 1, StatusTimedOut)
	h.advance(time.Minute)
	if s := h.b.unresponsiveSeconds(h.b.endpoints[1]); s != 0 {
		t.Errorf("unresponsive for %v s without an attempt in flight", s)
	}
}

// Clients give up attempts early. A timeout while the endpoint answers other attempts says little about the endpoint.
func TestTimeoutsAmongAnswersAreNoFailures(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.arrive("slow", idempotent)
	h.serve(5, idempotent, in20ms)
	h.endAttempt("slow", 0, 1, StatusTimedOut)
	if f := h.b.endpoints[1].failureRate; f != 0 {
		t.Errorf("failure rate %v, want 0", f)
	}
}

// An endpoint that has lost every request looks idle. If its last attempt in flight times out and it has shown no
// activity since that attempt was sent, the timeout counts as a failure.
func TestTimeoutWithoutAnyActivityIsAFailure(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.arrive("lost", nonIdempotent)
	h.advance(time.Second)
	h.endAttempt("lost", 0, 1, StatusTimedOut)
	if f := h.b.endpoints[1].failureRate; f != 1 {
		t.Errorf("failure rate %v, want 1", f)
	}
}

// The time for which an endpoint with attempts in flight is unresponsive raises its cost, beyond what the queue
// explains.
func TestUnresponsiveTimeRaisesTheCost(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.arrive("x", idempotent)
	e := h.b.endpoints[1]
	was := h.b.costSeconds(e)
	h.advance(10 * ms)
	h.handle(TimerFired{})
	if c := h.b.costSeconds(e); c != was {
		t.Errorf("cost %v s after 10 ms, want the %v s from before", c, was)
	}
	h.advance(time.Second)
	h.handle(TimerFired{})
	if c := h.b.costSeconds(e); c < was+0.9 {
		t.Errorf("cost %v s after a second without activity, %v s immediately", c, was)
	}
}
