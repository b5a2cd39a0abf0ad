package balance

import (
	"fmt"
	"testing"
	"time"
)

// A report is old: it must not wipe out what was sent since, nor count this node's own requests twice.
func TestReportsKeepAttemptsInFlight(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		report float64
	}{{0, 0}, {5 * time.Second, 3}} {
		r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		for i := range 3 {
			r.arrive(fmt.Sprint(i), idempotent)
		}
		r.advance(c.wait)
		r.handle(loadReported(1, c.report))
		if e := r.b.queueEstimate(r.b.endpoints[1]); e < 3 || e > 3.1 {
			t.Errorf("queue estimate %v with three in flight since %v and a report of %v", e, c.wait, c.report)
		}
	}
}

// An idle endpoint reports 0 again and again; taken for a repeat, that would keep its queue estimate high for good.
func TestEqualReportsPastTheIntervalAreNews(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(5, idempotent, in20ms)
	// So slow that its reports still hold when they come.
	r.b.endpoints[1].meanLatencySeconds, r.b.endpoints[1].meanQueueAtArrival = 1, 0
	for _, q := range []float64{5, 9, 0} {
		r.advance(200 * ms)
		r.handle(loadReported(1, q))
	}
	was := 4.0
	r.setOtherNodesLoad(1, was)
	for range 20 {
		r.advance(time.Second)
		r.handle(loadReported(1, 0))
	}
	if is := r.b.queueEstimate(r.b.endpoints[1]); is > was/4 {
		t.Errorf("queue estimate %v, then %v after many reports of 0", was, is)
	}
}

// A report that is repeated within the interval tells nothing new, and must not weigh again.
func TestRepeatedReportsAreNotNews(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	for i := range 20 {
		r.advance(500 * ms)
		r.handle(loadReported(1, float64(i%2)))
	}
	r.handle(loadReported(1, 9))
	was := r.b.expectedLoad(r.b.endpoints[1])
	for range 20 {
		r.advance(ms)
		r.handle(loadReported(1, 9))
	}
	if o := r.b.expectedLoad(r.b.endpoints[1]); o != was {
		t.Errorf("usual went from %v to %v by repeats", was, o)
	}
}

// Health checks a few seconds apart can't tell how often an endpoint reports: the same one is checked again at once,
// or every report passes for seconds old and counts for little.
func TestReportIntervalIsLearnedByRepeatedChecks(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	next := 0.0
	for i := range 60 {
		r.advance(3 * time.Second)
		r.handle(loadReported(1, 3+float64(i%2)))
		for marks := ofKind(SetTimer, r.last); len(marks) > 0; marks = ofKind(SetTimer, r.last) {
			r.advance(marks[0].Delay)
			if r.handle(TimerFired{ID: marks[0].TimerID}); len(ofKind(HealthCheck, r.last)) != 1 {
				t.Fatal("not repeated")
			}
			next++
			r.handle(loadReported(1, 3+float64(int(next)%2)))
		}
	}
	if next == 0 || next > maxRepeatChecks || r.b.reportInterval.seconds > 0.1 {
		t.Errorf("checked again %v times, reports taken to be %v s apart", next, r.b.reportInterval.seconds)
	}
}
