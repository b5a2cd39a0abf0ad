package balance

import (
	"testing"
	"time"
)

// An endpoint that answers only with errors gets few requests. Once it succeeds it gets as many as the other endpoint.
func TestOutliersAreAvoidedAndRecover(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	failing := func(id EndpointID) time.Duration { return time.Duration(2-id) * 20 * ms } // endpoint 2 answers only with errors
	r.serve(40, idempotent, failing)
	if n := r.serve(50, idempotent, failing); n[2] > 5 {
		t.Errorf("%d of 50 requests went to the failing endpoint", n[2])
	}
	r.advance(30 * time.Second)
	for range 20 {
		r.advance(1500 * ms)
		r.serve(2, idempotent, in20ms)
	}
	r.arrive("a", idempotent)
	first := r.forwardedTo()
	r.arrive("b", idempotent)
	if second := r.forwardedTo(); first+second != 3 {
		t.Errorf("with a request in flight at endpoint %d the next one went to %d", first, second)
	}
}

// A failure rate that all endpoints have in common adds no cost to any of them.
func TestSharedFailuresCostNothing(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(400, nonIdempotent, func(EndpointID) time.Duration { return 0 })
	e := r.b.endpoints[1]
	cost := r.b.costSeconds(e) - (r.b.queueEstimate(e)+1)*r.b.serviceSeconds(e)
	alone := e.failureRate * failureCostObjectives * r.b.latency.meanObjectiveSeconds // if the other endpoint did not fail
	if e.failureRate < 0.3 || cost > alone/2 {
		t.Errorf("failure rate %v, mean failure rate %v, cost %v s", e.failureRate, r.b.outliers.meanFailureRate, cost)
	}
}

// When all endpoints fail alike, requests are still forwarded.
func TestRequestsAreForwardedWhenAllEndpointsFail(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 0 // load reports clear the unaccepted attempts; the failure rates remain
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(60, nonIdempotent, func(EndpointID) time.Duration { return 0 })
	if n := r.serve(40, idempotent, in20ms); n[1]+n[2] < 20 {
		t.Errorf("only %v of 40 requests were sent", n)
	}
}

// An endpoint that hangs gets no more requests, although its queue is tolerable while it takes every request sent to
// it.
func TestUnresponsiveEndpointsGetNoRequests(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	answered := ""
	for _, id := range []string{"one", "two"} { // one at each endpoint; only endpoint 1 answers
		r.arrive(id, nonIdempotent)
		if to := r.forwardedTo(); to == 1 {
			answered = id
		}
	}
	if r.b.endpoints[1].inFlight != 1 || r.b.endpoints[2].inFlight != 1 {
		t.Fatal("both attempts went to one endpoint")
	}
	r.endAttempt(answered, 0, 1, StatusSucceeded)
	r.advance(300 * ms)
	if n := r.serve(30, idempotent, in20ms); n[2] != 0 {
		t.Errorf("%d of 30 requests went to the unresponsive endpoint", n[2])
	}
}

// An endpoint without attempts in flight is not unresponsive. Otherwise a healthy endpoint would get no more requests
// for good after an attempt times out that was sent before the endpoint's last activity.
func TestEndpointWithoutAttemptsIsNotUnresponsive(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("lost", idempotent)
	r.serve(1, idempotent, in20ms)
	r.endAttempt("lost", 0, 1, StatusTimedOut)
	r.advance(time.Minute)
	if s := r.b.unresponsiveSeconds(r.b.endpoints[1]); s != 0 {
		t.Errorf("unresponsive for %v s without an attempt in flight", s)
	}
}

// Clients give up attempts early. A timeout while the endpoint answers other attempts says little about the endpoint.
func TestTimeoutsAmongAnswersAreNoFailures(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.arrive("slow", idempotent)
	r.serve(5, idempotent, in20ms)
	r.endAttempt("slow", 0, 1, StatusTimedOut)
	if f := r.b.endpoints[1].failureRate; f != 0 {
		t.Errorf("failure rate %v, want 0", f)
	}
}

// An endpoint that has lost every request looks idle. If its last attempt in flight times out and it has shown no
// activity since that attempt was sent, the timeout counts as a failure.
func TestTimeoutWithoutAnyActivityIsAFailure(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("lost", nonIdempotent)
	r.advance(time.Second)
	r.endAttempt("lost", 0, 1, StatusTimedOut)
	if f := r.b.endpoints[1].failureRate; f != 1 {
		t.Errorf("failure rate %v, want 1", f)
	}
}

// The time for which an endpoint with attempts in flight is unresponsive raises its cost, beyond what the queue
// explains.
func TestUnresponsiveTimeRaisesTheCost(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("x", idempotent)
	e := r.b.endpoints[1]
	was := r.b.costSeconds(e)
	r.advance(10 * ms)
	r.handle(TimerFired{})
	if c := r.b.costSeconds(e); c != was {
		t.Errorf("cost %v s after 10 ms, %v s immediately", c, was)
	}
	r.advance(time.Second)
	r.handle(TimerFired{})
	if c := r.b.costSeconds(e); c < was+0.9 {
		t.Errorf("cost %v s after a second without activity, %v s immediately", c, was)
	}
}
