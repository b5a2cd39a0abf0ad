package balance

import (
	"fmt"
	"testing"
	"time"
)

// Requests are forgotten once they are over, or a node's memory grows without a bound.
func TestFinishedRequestsAreForgotten(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(20, idempotent, in20ms)
	r.arrive("gone", idempotent)
	to := r.forwardedTo()
	r.handle(ClientDisconnected{Request: "gone"})
	r.endAttempt("gone", 0, to, StatusTimedOut)
	r.arrive("late", nonIdempotent)
	to, mark := r.forwardedTo(), r.timerID()
	r.advance(time.Second)
	r.handle(TimerFired{ID: mark})
	r.endAttempt("late", 0, to, StatusTimedOut)
	if n := len(r.b.requests); n != 0 {
		t.Errorf("%d requests are remembered", n)
	}
}

// While a request comes in its endpoint has no more to do, and its time has not begun.
func TestIncompleteRequestCountsFromItsLastByte(t *testing.T) {
	b, e := withIncompleteRequest(t)
	if e.inFlight != 0 || b.silenceSeconds(e) != 0 {
		t.Errorf("in flight %v", e.inFlight)
	}
	at := 9 * time.Second // far beyond what its client waits
	out := b.Handle(at, RequestWritten{Request: "a", TimeLeft: time.Second}, nil)
	if e.inFlight != 1 {
		t.Errorf("in flight %v once it is written", e.inFlight)
	}
	ends := false
	for _, a := range out {
		ends = ends || a.Kind == SetTimer && a.Delay == time.Second
	}
	if !ends {
		t.Errorf("nothing ends it at its deadline: %+v", out)
	}
	budget := b.queueBudget.fraction
	b.Handle(at+20*time.Millisecond, AttemptEnded{Request: "a", Endpoint: e.ID, Elapsed: 20 * time.Millisecond,
		Final: true}, nil)
	if e.inFlight != 0 || b.queueBudget.fraction < budget || e.meanLatencySeconds > 0.2 {
		t.Errorf("in flight %v, queue budget %v, mean latency %v: its client's time was taken for the endpoint's",
			e.inFlight, b.queueBudget.fraction, e.meanLatencySeconds)
	}
}

// Every request has its final answer at its deadline, exactly once.
func TestDeadlineEndsEveryRequest(t *testing.T) {
	for class, want := range map[int]ActionKind{idempotent: Reject, nonIdempotent: Fail, keyedZone: Fail} {
		r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		var mark uint64
		for _, a := range ofKind(SetTimer, r.arrive("x", class)) {
			if a.Delay == time.Second {
				mark = a.TimerID
			}
		}
		to := r.forwardedTo()
		r.advance(time.Second)
		acts := r.handle(TimerFired{ID: mark})
		if len(ofKind(want, acts)) != 1 {
			t.Errorf("class %d at its deadline: %+v", class, acts)
		}
		if acts = r.endAttempt("x", 0, to, StatusConnectionLost); len(acts) != 0 {
			t.Errorf("class %d after its answer: %+v", class, acts)
		}
		if acts = r.handle(TimerFired{ID: mark}); len(acts) != 0 {
			t.Errorf("a timer that fired twice: %+v", acts)
		}
	}
}

// An attempt that times out at the deadline leaves the final answer to the node.
func TestTimeoutAtTheDeadlineIsAnswered(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.arrive("x", nonIdempotent)
	to := r.forwardedTo()
	r.advance(time.Second)
	if acts := r.endAttempt("x", 0, to, StatusTimedOut); len(ofKind(Fail, acts)) != 1 || len(ofKind(Forward, acts)) != 0 {
		t.Fatalf("got %+v", acts)
	}
}

// With no endpoint in the list every request is rejected at once.
func TestWithoutEndpointsRequestsAreRejected(t *testing.T) {
	r := newHarness(t, testConfig())
	for class := range testConfig().Classes {
		if acts := r.arrive(fmt.Sprint(class), class); len(ofKind(Reject, acts)) != 1 {
			t.Errorf("class %d: %+v", class, acts)
		}
	}
}

// A started stream is not ended by the deadline, nor answered when it breaks.
func TestStreamHasNoDeadlineOnceStarted(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].Stream = true
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	timers := ofKind(SetTimer, r.arrive("x", idempotent))
	to := r.forwardedTo()
	r.handle(StreamStarted{Request: "x", Endpoint: to})
	r.advance(time.Second)
	for _, a := range timers {
		if acts := r.handle(TimerFired{ID: a.TimerID}); len(acts) != 0 {
			t.Fatalf("got %+v", acts)
		}
	}
	acts := r.handle(AttemptEnded{Request: "x", Endpoint: to, Status: StatusConnectionLost, Final: true})
	if len(acts) != 0 {
		t.Fatalf("a broken stream was answered: %+v", acts)
	}
}
