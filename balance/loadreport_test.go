package balance

import (
	"fmt"
	"testing"
	"time"
)

// A load report is old. It must not hide the requests sent since then, nor count this node's own requests twice.
func TestReportsKeepAttemptsInFlight(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		report float64
	}{{0, 0}, {5 * time.Second, 3}} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		for i := range 3 {
			h.arrive(fmt.Sprint(i), idempotent)
		}
		h.advance(c.wait)
		h.handle(loadReported(1, c.report))
		if e := h.b.queueEstimate(h.b.endpoints[1]); e < 3 || e > 3.1 {
			t.Errorf("queue estimate %v with three attempts in flight since %v and a report of %v, want 3 to 3.1",
				e, c.wait, c.report)
		}
	}
}

// An idle endpoint reports 0 each time. If these reports counted as repeats, its queue estimate would stay high.
func TestEqualReportsAfterTheIntervalAreNew(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(5, idempotent, in20ms)
	// The endpoint is so slow that its reports are still valid when they arrive.
	h.b.endpoints[1].meanLatencySeconds, h.b.endpoints[1].meanQueueAtArrival = 1, 0
	for _, q := range []float64{5, 9, 0} {
		h.advance(200 * ms)
		h.handle(loadReported(1, q))
	}
	before := 4.0
	h.setOtherNodesLoad(1, before)
	for range 20 {
		h.advance(time.Second)
		h.handle(loadReported(1, 0))
	}
	if after := h.b.queueEstimate(h.b.endpoints[1]); after > before/4 {
		t.Errorf("queue estimate %v, then %v after 20 reports of 0; want at most a quarter", before, after)
	}
}

// A report that is repeated within the interval has no new information and must not change the expected load.
func TestRepeatedReportsDoNotCountAgain(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	for i := range 20 {
		h.advance(500 * ms)
		h.handle(loadReported(1, float64(i%2)))
	}
	h.handle(loadReported(1, 9))
	before := h.b.expectedLoad(h.b.endpoints[1])
	for range 20 {
		h.advance(ms)
		h.handle(loadReported(1, 9))
	}
	if after := h.b.expectedLoad(h.b.endpoints[1]); after != before {
		t.Errorf("repeated reports moved the expected load from %v to %v, want no change", before, after)
	}
}

// Health checks that are seconds apart cannot show how often an endpoint reports, and each report would count as
// seconds old. Therefore the same endpoint is checked again soon after a check.
func TestReportIntervalIsLearnedByRepeatedChecks(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	repeats := 0.0
	for i := range 60 {
		h.advance(3 * time.Second)
		h.handle(loadReported(1, 3+float64(i%2)))
		for timers := ofKind(SetTimer, h.last); len(timers) > 0; timers = ofKind(SetTimer, h.last) {
			h.advance(timers[0].Delay)
			if h.handle(TimerFired{ID: timers[0].TimerID}); len(ofKind(HealthCheck, h.last)) != 1 {
				t.Fatal("the health check was not repeated")
			}
			repeats++
			h.handle(loadReported(1, 3+float64(int(repeats)%2)))
		}
	}
	if repeats == 0 || repeats > maxRepeatChecks || h.b.reportInterval.seconds > 0.1 {
		t.Errorf("%v repeated checks, want 1 to %v; learned report interval %v s, want at most 0.1", repeats,
			maxRepeatChecks, h.b.reportInterval.seconds)
	}
}
