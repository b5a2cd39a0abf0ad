package balance

import (
	"fmt"
	"testing"
	"time"
)

// The Balancer forgets finished requests; otherwise the memory of a node would grow without bound.
func TestFinishedRequestsAreForgotten(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(20, idempotent, in20ms)
	h.arrive("gone", idempotent)
	to := h.forwardedTo()
	h.handle(ClientDisconnected{Request: "gone"})
	h.endAttempt("gone", 0, to, StatusTimedOut)
	h.arrive("late", nonIdempotent)
	to, deadlineTimer := h.forwardedTo(), h.timerID()
	h.advance(time.Second)
	h.handle(TimerFired{ID: deadlineTimer})
	h.endAttempt("late", 0, to, StatusTimedOut)
	if n := len(h.b.requests); n != 0 {
		t.Errorf("%d finished requests are still stored", n)
	}
}

// While a request is being received, it does not count as in flight and its deadline has not started.
func TestIncompleteRequestCountsFromItsLastByte(t *testing.T) {
	b, e := withIncompleteRequest(t)
	if e.inFlight != 0 || b.unresponsiveSeconds(e) != 0 {
		t.Errorf("in flight %v before the last byte, want 0", e.inFlight)
	}
	at := 9 * time.Second // much longer than the client waits
	const timeLeft = 3 * time.Second
	out := b.Handle(at, RequestReceived{Request: "a", TimeLeft: timeLeft}, nil)
	if e.inFlight != 0 {
		t.Errorf("in flight %v before the last byte is sent, want 0", e.inFlight)
	}
	at += 2 * time.Second // the endpoint takes the body slowly, longer than the latency objective
	b.Handle(at, RequestWritten{Request: "a"}, nil)
	if e.inFlight != 1 {
		t.Errorf("in flight %v after the last byte, want 1", e.inFlight)
	}
	hasTimer := false
	for _, a := range out {
		hasTimer = hasTimer || a.Kind == SetTimer && a.Delay == timeLeft
	}
	if !hasTimer {
		t.Errorf("no timer for the deadline: %+v", out)
	}
	if arrived := b.requests["a"].arrived; arrived != at {
		t.Errorf("the latency counts from %v, want %v, when the last byte was sent", arrived, at)
	}
	budget := b.queueBudget.fraction
	b.Handle(at+20*time.Millisecond, AttemptEnded{Request: "a", Endpoint: e.ID, Elapsed: 20 * time.Millisecond,
		Final: true}, nil)
	if e.inFlight != 0 || b.queueBudget.fraction < budget || e.meanLatencySeconds > 0.2 {
		t.Errorf("in flight %v, queue budget %v, mean latency %v: the client's time was counted as the endpoint's",
			e.inFlight, b.queueBudget.fraction, e.meanLatencySeconds)
	}
}

// The deadline of an incomplete request that is not completely sent ends its attempt. Only the status of the attempt
// tells whether the request may have run, and whether it may be rejected.
func TestDeadlineEndsAnUnsentAttemptFirst(t *testing.T) {
	for status, want := range map[Status]ActionKind{
		StatusNotDelivered: Reject, StatusNotSent: Reject, StatusTimedOut: Fail,
	} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		h.handle(RequestArrived{Request: "x", Class: nonIdempotent, TimeLeft: time.Second, Incomplete: true})
		to := h.forwardedTo()
		timers := ofKind(SetTimer, h.handle(RequestReceived{Request: "x", TimeLeft: time.Second}))
		if len(timers) != 1 || timers[0].Delay != time.Second {
			t.Fatalf("got timers %+v, want one of a second", timers)
		}
		h.advance(time.Second)
		ended := h.handle(TimerFired{ID: timers[0].TimerID})
		if len(ended) != 1 || ended[0].Kind != CancelAttempt || ended[0].Request != "x" || ended[0].Attempt != 0 {
			t.Errorf("got actions %+v at the deadline, want the end of attempt 0", ended)
		}
		final := h.endAttempt("x", 0, to, status)
		if len(ofKind(want, final)) != 1 || len(ofKind(Forward, final)) != 0 {
			t.Errorf("status %v: got actions %+v, want %v", status, final, want)
		}
		if len(h.b.requests) != 0 {
			t.Errorf("status %v: the request is still stored", status)
		}
	}
}

// A request without an answer gets its final answer at its deadline, and only one final answer.
func TestDeadlineEndsEveryRequest(t *testing.T) {
	for class, want := range map[int]ActionKind{idempotent: Reject, nonIdempotent: Fail, keyedZone: Fail} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		var deadlineTimer uint64
		for _, a := range ofKind(SetTimer, h.arrive("x", class)) {
			if a.Delay == time.Second {
				deadlineTimer = a.TimerID
			}
		}
		to := h.forwardedTo()
		h.advance(time.Second)
		acts := h.handle(TimerFired{ID: deadlineTimer})
		if len(ofKind(want, acts)) != 1 {
			t.Errorf("class %d at its deadline: %+v", class, acts)
		}
		if acts = h.endAttempt("x", 0, to, StatusConnectionLost); len(acts) != 0 {
			t.Errorf("class %d: actions after its final answer: %+v", class, acts)
		}
		if acts = h.handle(TimerFired{ID: deadlineTimer}); len(acts) != 0 {
			t.Errorf("actions for a timer that fired twice: %+v", acts)
		}
	}
}

// When an attempt times out at the deadline, the node gives the final answer.
func TestTimeoutAtTheDeadlineIsAnswered(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.arrive("x", nonIdempotent)
	to := h.forwardedTo()
	h.advance(time.Second)
	if acts := h.endAttempt("x", 0, to, StatusTimedOut); len(ofKind(Fail, acts)) != 1 || len(ofKind(Forward, acts)) != 0 {
		t.Fatalf("actions %+v, want one Fail and no Forward", acts)
	}
}

// If the list has no endpoint, every request is rejected immediately.
func TestWithoutEndpointsRequestsAreRejected(t *testing.T) {
	h := newHarness(t, testConfig())
	for class := range testConfig().Classes {
		if acts := h.arrive(fmt.Sprint(class), class); len(ofKind(Reject, acts)) != 1 {
			t.Errorf("class %d: %+v", class, acts)
		}
	}
}

// A stream that has started is not ended at the deadline, and gets no final answer when it breaks.
func TestStreamHasNoDeadlineOnceStarted(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].Stream = true
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	timers := ofKind(SetTimer, h.arrive("x", idempotent))
	to := h.forwardedTo()
	h.handle(StreamStarted{Request: "x", Endpoint: to})
	h.advance(time.Second)
	for _, a := range timers {
		if acts := h.handle(TimerFired{ID: a.TimerID}); len(acts) != 0 {
			t.Fatalf("actions for a timer after the stream has started: %+v, want none", acts)
		}
	}
	acts := h.handle(AttemptEnded{Request: "x", Endpoint: to, Status: StatusConnectionLost, Final: true})
	if len(acts) != 0 {
		t.Fatalf("actions for a broken stream: %+v, want none", acts)
	}
}
