package balance

import (
	"testing"
	"time"
)

// An attempt that took many times as long as its queue explains was lost, if its endpoint answered other attempts in
// the meantime. It counts as a failure. An attempt that a client gave up early does not.
func TestLostAttemptsAreFailures(t *testing.T) {
	for name, tc := range map[string]struct {
		spent       time.Duration
		wait        float64 // expected time in the queue, in seconds
		failureRate float64
	}{
		"lost":          {time.Second, 0.02, failureWeight},
		"given up soon": {30 * ms, 0.02, 0},
		"queued":        {time.Second, 0.5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			h.serve(300, idempotent, in20ms)
			h.arrive("x", idempotent)
			h.b.requests["x"].attempts[0].waitAtSendSeconds = tc.wait
			h.serve(5, idempotent, in20ms) // activity of the endpoint
			h.b.endpoints[1].failureRate = 0
			h.handle(AttemptEnded{Request: "x", Endpoint: 1, Status: StatusTimedOut, Elapsed: tc.spent})
			if f := h.b.endpoints[1].failureRate; f != tc.failureRate {
				t.Errorf("failure rate %v, want %v", f, tc.failureRate)
			}
		})
	}
}

// A lost attempt is no longer in flight and counts as a failure once. An attempt stays in flight if its endpoint has
// shown no activity since it was sent: the cause may be a queue alone.
func TestLostAttemptsAreNotInFlight(t *testing.T) {
	for name, tc := range map[string]struct {
		answers               int
		inFlight, failureRate float64
	}{"answers": {5, 0, failureWeight}, "no answers": {0, 1, 0}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			h.serve(300, idempotent, in20ms)
			var timerIDs []uint64
			for _, a := range ofKind(SetTimer, h.arrive("x", idempotent)) {
				timerIDs = append(timerIDs, a.TimerID)
			}
			h.serve(tc.answers, idempotent, in20ms)
			e := h.b.endpoints[1]
			e.failureRate = 0
			h.advance(400 * ms)
			h.handle(TimerFired{ID: timerIDs[len(timerIDs)-1]})
			if e.inFlight != tc.inFlight || e.failureRate != tc.failureRate {
				t.Errorf("%v in flight and a failure rate of %v, want %v and %v", e.inFlight, e.failureRate, tc.inFlight, tc.failureRate)
			}
			if tc.answers > 0 {
				h.handle(AttemptEnded{Request: "x", Endpoint: 1, Status: StatusTimedOut, Elapsed: time.Second})
				if e.inFlight != 0 || e.failureRate != tc.failureRate {
					t.Errorf("counted twice: %v in flight, a failure rate of %v", e.inFlight, e.failureRate)
				}
			}
		})
	}
}
