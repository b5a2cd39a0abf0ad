package balance

import (
	"testing"
	"time"
)

// An answer without a load report returns the queue estimate to its value before the request was forwarded.
func TestAnswerRestoresTheQueueEstimate(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(5, idempotent, in20ms)
	if e := h.b.queueEstimate(h.b.endpoints[1]); e != 0 {
		t.Errorf("queue estimate %v after all requests were answered, want 0", e)
	}
	h.arrive("x", idempotent)
	if e := h.b.queueEstimate(h.b.endpoints[1]); e != 1 {
		t.Errorf("queue estimate %v with one request in flight, want 1", e)
	}
}

// An endpoint that fails fast looks idle. The attempts that it did not accept stay counted until it reports its load.
func TestUnacceptedAttemptsStayCountedUntilAReport(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.arrive("x", idempotent)
	h.endAttempt("x", 0, 1, StatusRejected)
	if e := h.b.queueEstimate(h.b.endpoints[1]); e != 1 {
		t.Errorf("queue estimate %v after an attempt that was not accepted, want 1", e)
	}
	h.handle(loadReported(1, 0))
	if e := h.b.queueEstimate(h.b.endpoints[1]); e != 0 {
		t.Errorf("queue estimate %v after a report of 0, want 0", e)
	}
}

// An old load report has less weight than a new one. With full weight, every node would send to the endpoint that was
// idle at the time of the report.
func TestOldReportsHaveLessWeight(t *testing.T) {
	for _, c := range []struct {
		gap, serviceTime time.Duration
		staysHigh        bool
	}{{2 * time.Second, 20 * ms, true}, {10 * ms, time.Second, false}} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		h.serve(50, idempotent, in20ms)
		e := h.b.endpoints[1]
		for i := range 300 { // the interval between reports is learned from these
			h.advance(c.gap)
			h.handle(loadReported(1, float64(10+i%2)))
			h.handle(loadReported(2, 10))
		}
		h.setOtherNodesLoad(1, 10)
		e.meanLatencySeconds, e.meanQueueAtArrival = c.serviceTime.Seconds(), 0
		h.advance(c.gap)
		h.handle(loadReported(2, 10))
		h.handle(loadReported(1, 0))
		if staysHigh := h.b.queueEstimate(e) > 5; staysHigh != c.staysHigh {
			t.Errorf("reports every %v, service time %v: the queue estimate of 10 became %v, want it above 5: %v",
				c.gap, c.serviceTime, h.b.queueEstimate(e), c.staysHigh)
		}
	}
}

// On a site without health checks no report clears the unaccepted attempts, so their count must decay.
func TestUnacceptedAttemptsDecayWithoutHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.HealthChecks = false
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	h.arrive("x", idempotent)
	h.endAttempt("x", 0, 1, StatusRejected)
	for range 20 {
		h.advance(1500 * ms)
		h.handle(ClientDisconnected{})
	}
	if e := h.b.queueEstimate(h.b.endpoints[1]); e > 0.1 {
		t.Errorf("queue estimate %v after 20 windows without a report, want at most 0.1", e)
	}
}

// As the queue turns over, the estimate moves from the reported load to the expected load of the endpoint.
func TestOldReportedLoadApproachesTheExpectedLoad(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	e := h.b.endpoints[1]
	h.setOtherNodesLoad(1, 2)
	e.reportedLoad, e.reportedAt = 10, h.now
	h.handle(TimerFired{})
	if estimate := h.b.queueEstimate(e); estimate != 10 {
		t.Errorf("queue estimate %v just after a report of 10, want 10", estimate)
	}
	h.advance(10 * time.Second)
	h.handle(TimerFired{})
	if estimate := h.b.queueEstimate(e); estimate > 2.2 {
		t.Errorf("queue estimate %v ten seconds after the report, want at most 2.2 with an expected load of 2", estimate)
	}
}

// An unaccepted attempt counts as queued at its endpoint until the next load report, or until its count has decayed. If
// health checks are few and some are lost, a count without decay would keep an idle endpoint without requests forever.
// An attempt that was never sent gives no information about the endpoint and is not counted. Another test covers
// abandoned attempts.
func TestUnacceptedAttemptsFade(t *testing.T) {
	for status, want := range map[Status]float64{
		StatusNotDelivered:     1,
		StatusConnectionLost:   1,
		StatusApplicationError: 1,
		StatusRejected:         1,
		StatusNotSent:          0,
	} {
		cfg := testConfig()
		h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
		h.serve(50, idempotent, in20ms)
		e := h.b.endpoints[1]
		e.unaccepted = 0
		h.arrive("x", nonIdempotent)
		if e.unaccepted = 0; e.inFlight != 1 {
			t.Fatalf("status %d: %v attempts in flight, want 1", status, e.inFlight)
		}
		h.endAttempt("x", 0, 1, status)
		if e.unaccepted != want {
			t.Errorf("status %d: %v attempts are counted, want %v", status, e.unaccepted, want)
		}
		for range 4 {
			h.advance(max(cfg.Rules.OverloadWindow, time.Second))
			h.handle(EndpointsListed{Kind: ListChanges})
		}
		if e.unaccepted > 0.1 {
			t.Errorf("status %d: %v attempts are counted after four windows without a report", status, e.unaccepted)
		}
	}
}

// The count of abandoned attempts decays more slowly than that of unaccepted ones. The work of an attempt that timed
// out, or whose client disconnected, may still be in the endpoint's queue. If its count decayed as fast as that of an
// attempt that was never accepted, the node would send more requests there. In a large fleet under a burst the queues
// would then grow until answers are late and a third fewer requests are served.
func TestAbandonedAttemptsFadeMoreSlowly(t *testing.T) {
	for _, status := range []Status{StatusTimedOut, StatusCancelled} {
		cfg := testConfig()
		h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
		h.serve(50, idempotent, in20ms)
		e := h.b.endpoints[1]
		before := h.b.queueEstimate(e)
		h.arrive("x", nonIdempotent)
		h.endAttempt("x", 0, 1, status)
		if counted := h.b.queueEstimate(e) - before; counted < 0.9 {
			t.Errorf("status %d: %v attempts are counted, want 1", status, counted)
		}
		for _, want := range []struct{ least, most float64 }{{0.25, 0.45}, {0, 0.15}} {
			for range 2 {
				h.advance(max(cfg.Rules.OverloadWindow, time.Second))
				h.handle(EndpointsListed{Kind: ListChanges})
			}
			counted := h.b.queueEstimate(e) - h.b.otherNodesLoad(e) - e.inFlight
			if counted < want.least || counted > want.most {
				t.Errorf("status %d: %v attempts are counted, want %v to %v", status, counted, want.least, want.most)
			}
		}
	}
}

// A lost attempt counts as unaccepted, even if it is cancelled later.
func TestLostAttemptCountsAsUnaccepted(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	e := h.b.endpoints[1]
	e.unaccepted, e.abandoned = 0, 0
	h.arrive("x", nonIdempotent)
	h.b.requests["x"].attempts[0].lost = true
	e.inFlight--
	h.endAttempt("x", 0, 1, StatusCancelled)
	if e.unaccepted != 1 || e.abandoned != 0 {
		t.Errorf("%v unaccepted attempts, want 1; %v abandoned attempts, want 0", e.unaccepted, e.abandoned)
	}
}
