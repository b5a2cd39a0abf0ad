package balance

import (
	"testing"
	"time"
)

// An attempt that had many times what its queue takes, at an endpoint that answered others meanwhile, was lost
// there: that is a failure. One that a client gave up early is none.
func TestLostAttemptsAreFailures(t *testing.T) {
	for name, tc := range map[string]struct {
		spent time.Duration
		wait  float64 // what the queue should have taken, in seconds
		fails float64
	}{
		"lost":          {time.Second, 0.02, failureWeight},
		"given up soon": {30 * ms, 0.02, 0},
		"queued":        {time.Second, 0.5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			r.serve(300, idempotent, in20ms)
			r.arrive("x", idempotent)
			r.b.requests["x"].attempts[0].waitAtSendSeconds = tc.wait
			r.serve(5, idempotent, in20ms) // signs of life
			r.b.endpoints[1].failureRate = 0
			r.handle(AttemptEnded{Request: "x", Endpoint: 1, Status: StatusTimedOut, Elapsed: tc.spent})
			if f := r.b.endpoints[1].failureRate; f != tc.fails {
				t.Errorf("failure rate %v, want %v", f, tc.fails)
			}
		})
	}
}

// An attempt that must be lost is no longer in flight, and counts as one failure, once. One at an endpoint that has
// given no sign of life since stays in flight: there a queue may be all.
func TestLostAttemptsAreNotInFlight(t *testing.T) {
	for name, tc := range map[string]struct {
		signs      int
		out, fails float64
	}{"signs": {5, 0, failureWeight}, "none": {0, 1, 0}} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			r.serve(300, idempotent, in20ms)
			var marks []uint64
			for _, a := range ofKind(SetTimer, r.arrive("x", idempotent)) {
				marks = append(marks, a.TimerID)
			}
			r.serve(tc.signs, idempotent, in20ms)
			e := r.b.endpoints[1]
			e.failureRate = 0
			r.advance(400 * ms)
			r.handle(TimerFired{ID: marks[len(marks)-1]})
			if e.inFlight != tc.out || e.failureRate != tc.fails {
				t.Errorf("%v in flight and a failure rate of %v, want %v and %v", e.inFlight, e.failureRate, tc.out, tc.fails)
			}
			if tc.signs > 0 {
				r.handle(AttemptEnded{Request: "x", Endpoint: 1, Status: StatusTimedOut, Elapsed: time.Second})
				if e.inFlight != 0 || e.failureRate != tc.fails {
					t.Errorf("counted twice: %v in flight, a failure rate of %v", e.inFlight, e.failureRate)
				}
			}
		})
	}
}
