package balance

import (
	"fmt"
	"testing"
	"time"
)

// Retries are at most a tenth of the requests, and not much less while attempts are rejected.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	sends := 0
	for i := range 400 {
		id := fmt.Sprint("r", i)
		h.arrive(id, idempotent)
		for len(ofKind(Forward, h.last)) > 0 {
			a := ofKind(Forward, h.last)[0]
			sends++
			h.advance(5 * ms)
			h.handle(loadReported(a.Endpoint, 0))
			h.endAttempt(id, a.Attempt, a.Endpoint, StatusRejected)
		}
	}
	if sends > 400*11/10+1 || sends < 420 {
		t.Errorf("%d attempts for 400 requests, want 420 to 441", sends)
	}
}

// A request whose attempt fails at the deadline is answered and not retried, because its client stops waiting before a
// retry could end.
func TestNoRetryAtTheDeadline(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.arrive("x", idempotent)
	to := h.forwardedTo()
	h.advance(time.Second)
	acts := h.endAttempt("x", 0, to, StatusRejected)
	if len(ofKind(Forward, acts)) != 0 || len(ofKind(Reject, acts)) != 1 {
		t.Errorf("actions after a rejection at the deadline: %+v, want only a Reject", acts)
	}
}

// A retry goes to an endpoint to which the request has not been sent. If no such endpoint is left, the request is
// answered.
func TestRetriesGoToOtherEndpoints(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.arrive("x", idempotent)
	first := h.forwardedTo()
	h.endAttempt("x", 0, first, StatusRejected)
	second := h.forwardedTo()
	acts := h.endAttempt("x", 1, second, StatusRejected)
	if second == first || len(ofKind(Forward, acts)) != 0 || len(ofKind(Reject, acts)) != 1 {
		t.Errorf("sent to endpoint %d, then to %d, then %+v; want the other endpoint, then a Reject", first, second, acts)
	}
}

// Requests at low load must not save up an unlimited number of retries for an overload.
func TestRetryBudgetIsCapped(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(1000, idempotent, in20ms)
	if h.b.retryBudget.retries != maxRetryBudget {
		t.Errorf("retry budget %v after 1000 requests, want %v", h.b.retryBudget.retries, maxRetryBudget)
	}
}

// An attempt that fails after its stream has started is not retried. The client would get the start of the stream
// twice.
func TestStartedStreamIsNotRetried(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.arrive("x", idempotent)
	to := h.forwardedTo()
	h.handle(StreamStarted{Request: "x", Endpoint: to})
	if acts := h.endAttempt("x", 0, to, StatusConnectionLost); len(acts) != 0 {
		t.Errorf("actions after the connection of a started stream was lost: %+v, want none", acts)
	}
}

// A request whose body is used up is rejected. A request that can be replayed is retried.
func TestRequestThatIsNotReplayableIsNotRetried(t *testing.T) {
	for _, notReplayable := range []bool{false, true} {
		b, e := withIncompleteRequest(t)
		b.retryBudget.retries = maxRetryBudget
		sent, rejected := 0, 0
		for _, a := range b.Handle(2*time.Second, AttemptEnded{Request: "a", Endpoint: e.ID, Status: StatusNotDelivered,
			NotReplayable: notReplayable}, nil) {
			switch a.Kind {
			case Forward:
				sent++
			case Reject:
				rejected++
			}
		}
		if e.inFlight != 0 || (sent == 0) != notReplayable || (rejected == 1) != notReplayable {
			t.Errorf("not replayable %v: sent %d times, rejected %d times, %v attempts in flight", notReplayable, sent, rejected, e.inFlight)
		}
	}
}

// The repeatability of the class decides which attempts may be retried, and at which endpoints.
func TestRetriesByRepeatability(t *testing.T) {
	endpoints := []Endpoint{
		listedEndpoint(1, 0, 0),
		listedEndpoint(2, 0, 1),
		listedEndpoint(3, 1, 2),
		listedEndpoint(4, 1, 2),
	}
	zoneOf := map[EndpointID]int{1: 0, 2: 0, 3: 1, 4: 1}
	cellOf := map[EndpointID]int{1: 0, 2: 1, 3: 2, 4: 2}
	for _, c := range []struct {
		name   string
		class  int
		status Status
		after  time.Duration
		resend bool
		final  ActionKind // of the answer if the request is not retried
	}{
		{"idempotent after a reset", idempotent, StatusConnectionLost, 0, true, 0},
		{"idempotent after an error", idempotent, StatusApplicationError, 0, true, 0},
		{"non-idempotent after a reset", nonIdempotent, StatusConnectionLost, 0, false, Fail},
		{"non-idempotent after an error", nonIdempotent, StatusApplicationError, 0, false, Fail},
		{"non-idempotent after a timeout", nonIdempotent, StatusTimedOut, 0, false, Fail},
		{"non-idempotent after a cancel", nonIdempotent, StatusCancelled, 0, false, Fail},
		{"non-idempotent, rejected", nonIdempotent, StatusRejected, 0, true, 0},
		{"non-idempotent without a connection", nonIdempotent, StatusNotDelivered, 0, true, 0},
		{"keyed by all in its window", keyedAll, StatusConnectionLost, 0, true, 0},
		{"keyed by all past its window", keyedAll, StatusConnectionLost, 600 * ms, false, Fail},
		{"keyed by all, rejected past its window", keyedAll, StatusRejected, 600 * ms, true, 0},
		{"keyed by zone in its window", keyedZone, StatusConnectionLost, 0, true, 0},
		{"keyed by zone past its window", keyedZone, StatusConnectionLost, 600 * ms, false, Fail},
		{"keyed by cell past its window", keyedCell, StatusConnectionLost, 600 * ms, false, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testConfig(), endpoints...)
			for i := range 40 { // earn a retry budget
				id := fmt.Sprint("warm", i)
				h.arrive(id, idempotent)
				h.endAttempt(id, 0, h.forwardedTo(), StatusSucceeded)
				h.advance(5 * ms)
			}
			h.arrive("x", c.class)
			first := h.forwardedTo()
			h.advance(c.after + ms)
			acts := h.endAttempt("x", 0, first, c.status)
			if !c.resend {
				if len(ofKind(Forward, acts)) != 0 || len(ofKind(c.final, acts)) != 1 {
					t.Fatalf("actions: %+v", acts)
				}
				return
			}
			again := h.forwardedTo()
			if again == first {
				t.Error("the retry went to the endpoint of the first attempt")
			}
			if c.class == keyedZone && zoneOf[again] != zoneOf[first] {
				t.Error("the retry left the zone that drops repeats")
			}
			if c.class == keyedCell && cellOf[again] != cellOf[first] {
				t.Error("the retry left the cell that drops repeats")
			}
		})
	}
}

// If no other endpoint is in the cell, the request must fail. A rejection would promise that trying again is harmless.
func TestCellKeyedRequestFailsOnceItMayHaveRun(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 1))
	h.arrive("x", keyedCell)
	acts := h.endAttempt("x", 0, h.forwardedTo(), StatusConnectionLost)
	if len(ofKind(Fail, acts)) != 1 || len(ofKind(Reject, acts)) != 0 || len(ofKind(Forward, acts)) != 0 {
		t.Fatalf("actions: %+v", acts)
	}
}

// A retry after an attempt that may have run has to start before the idempotency key expires. Other attempts may start
// at any time.
func TestKeyedRetriesStartWithinTheKeyWindow(t *testing.T) {
	for class, want := range map[int]time.Duration{idempotent: 0, keyedAll: 300 * ms} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		h.b.retryBudget.retries = 5
		first := ofKind(Forward, h.arrive("x", class))
		if len(first) != 1 || first[0].StartWithin != 0 {
			t.Fatalf("first attempt: %+v, want one Forward without StartWithin", first)
		}
		h.advance(200 * ms)
		h.endAttempt("x", 0, first[0].Endpoint, StatusConnectionLost)
		if again := ofKind(Forward, h.last); len(again) != 1 || again[0].StartWithin != want {
			t.Errorf("class %d: actions %+v, want a retry with StartWithin %v", class, h.last, want)
		}
	}
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.b.retryBudget.retries = 5
	first := ofKind(Forward, h.arrive("x", keyedAll))
	h.advance(200 * ms)
	h.endAttempt("x", 0, first[0].Endpoint, StatusRejected) // the attempt never ran, so the key window has not begun
	if again := ofKind(Forward, h.last); len(again) != 1 || again[0].StartWithin != 0 {
		t.Errorf("after an attempt that never ran: actions %+v, want a retry without StartWithin", h.last)
	}
}
