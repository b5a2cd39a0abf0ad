package balance

import (
	"testing"
	"time"
)

// An endpoint with nothing but errors gets little, and as much as its peer once it answers.
func TestOutliersAreAvoidedAndRecover(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	bad := func(b EndpointID) time.Duration { return time.Duration(2-b) * 20 * ms } // 2 has errors only
	r.serve(40, idempotent, bad)
	if n := r.serve(50, idempotent, bad); n[2] > 5 {
		t.Errorf("%d of 50 went to the failing endpoint", n[2])
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
		t.Errorf("with %d busy the next went to %d", first, second)
	}
}

// A failure rate that all endpoints share costs none of them anything.
func TestSharedFailuresCostNothing(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(400, nonIdempotent, func(EndpointID) time.Duration { return 0 })
	e := r.b.endpoints[1]
	cost := r.b.costSeconds(e) - (r.b.queueEstimate(e)+1)*r.b.serviceSeconds(e)
	alone := e.failureRate * failureCostObjectives * r.b.latency.meanObjectiveSeconds // if its peer did not fail
	if e.failureRate < 0.3 || cost > alone/2 {
		t.Errorf("rate %v, of all %v, charged %v", e.failureRate, r.b.outliers.meanFailureRate, cost)
	}
}

// When all fail alike none is an outlier, and requests are still forwarded.
func TestNoOutlierWhenAllFail(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 0 // reports clear what was not accepted; the failures remain
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(60, nonIdempotent, func(EndpointID) time.Duration { return 0 })
	if n := r.serve(40, idempotent, in20ms); n[1]+n[2] < 20 {
		t.Errorf("only %v of 40 were sent", n)
	}
}

// An endpoint that hangs has a bearable queue while it takes everything sent to it.
func TestSilentEndpointsGetNothing(t *testing.T) {
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
		t.Errorf("%d of 30 went to the silent endpoint", n[2])
	}
}

// With nothing in flight there is no silence: else a sign of life after the last attempt was sent, and then that
// attempt's time-out, would leave a healthy endpoint without traffic for good.
func TestSilenceEndsWithTheLastAttempt(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("lost", idempotent)
	r.serve(1, idempotent, in20ms)
	r.endAttempt("lost", 0, 1, StatusTimedOut)
	r.advance(time.Minute)
	if s := r.b.silenceSeconds(r.b.endpoints[1]); s != 0 {
		t.Errorf("%v s of silence with nothing out", s)
	}
}

// Clients give up attempts early: a time-out among answers says little about the endpoint.
func TestTimeoutsAmongAnswersAreNoFailures(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.arrive("slow", idempotent)
	r.serve(5, idempotent, in20ms)
	r.endAttempt("slow", 0, 1, StatusTimedOut)
	if f := r.b.endpoints[1].failureRate; f != 0 {
		t.Errorf("failure rate %v", f)
	}
}

// An endpoint that lost everything it was sent looks idle: with nothing in flight and no sign since, that is a
// failure.
func TestTimeoutWithoutAnySignIsAFailure(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("lost", nonIdempotent)
	r.advance(time.Second)
	r.endAttempt("lost", 0, 1, StatusTimedOut)
	if f := r.b.endpoints[1].failureRate; f != 1 {
		t.Errorf("failure rate %v", f)
	}
}

// Silence counts while something is in flight, beyond what the queue explains.
func TestSilenceRaisesTheCost(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("x", idempotent)
	e := r.b.endpoints[1]
	was := r.b.costSeconds(e)
	r.advance(10 * ms)
	r.handle(TimerFired{})
	if c := r.b.costSeconds(e); c != was {
		t.Errorf("cost %v after 10 ms, %v at once", c, was)
	}
	r.advance(time.Second)
	r.handle(TimerFired{})
	if c := r.b.costSeconds(e); c < was+0.9 {
		t.Errorf("cost %v after a second of silence, %v at once", c, was)
	}
}
