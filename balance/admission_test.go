package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Requests are rejected when queues are long: in a full queue every answer is late, and only rejecting shortens it.
func TestRequestsAreRejectedWhenQueuesAreLong(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	sent, rejected := 0, 0
	for i := range 200 {
		h.arrive(fmt.Sprint("flood", i), nonIdempotent)
		sent += len(ofKind(Forward, h.last))
		rejected += len(ofKind(Reject, h.last))
	}
	if sent+rejected != 200 || rejected < 100 || sent < 8 {
		t.Errorf("of 200 requests at the same time %d forwarded, want at least 8; %d rejected, want at least 100",
			sent, rejected)
	}
}

// No setting says how much load is too much. The limit on the wait follows the measured lateness of answers.
func TestLateAnswersLowerTheQueueBudget(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(1000, idempotent, in20ms)
	if h.b.queueBudget.fraction < 2*initialQueueBudget || h.b.queueBudget.fraction > maxQueueBudget {
		t.Fatalf("queue budget %v while all answers are in time, want %v to %v", h.b.queueBudget.fraction,
			2*initialQueueBudget, maxQueueBudget)
	}
	h.answerLate(200)
	if h.b.queueBudget.fraction != minQueueBudget {
		t.Errorf("queue budget %v after 200 late answers, want %v", h.b.queueBudget.fraction, minQueueBudget)
	}
	h.serve(3000, idempotent, in20ms)
	if h.b.queueBudget.fraction < initialQueueBudget {
		t.Errorf("queue budget %v after 3000 answers in time, want at least %v", h.b.queueBudget.fraction, initialQueueBudget)
	}
}

// Timeouts at an endpoint that hangs are no sign of overload. They must not make the node reject requests for the other
// endpoints.
func TestTimeoutsAtUnresponsiveEndpointsDoNotChangeTheQueueBudget(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(300, idempotent, in20ms)
	was := h.b.queueBudget.fraction
	for i := range 5 {
		h.arrive(fmt.Sprint(i), nonIdempotent)
	}
	h.advance(time.Second)
	for i := range 5 {
		h.endAttempt(fmt.Sprint(i), 0, 1, StatusTimedOut)
	}
	if h.b.queueBudget.fraction != was {
		t.Errorf("queue budget went from %v to %v, want no change", was, h.b.queueBudget.fraction)
	}
}

// When not all requests can be served, those with more priority for their work may wait longer.
func TestMaxWaitFollowsPriority(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		cfg := testConfig()
		cfg.PriorityPerWork = byWork
		cfg.Classes[idempotent].PriorityWeight, cfg.Classes[nonIdempotent].PriorityWeight = 4, 1
		h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
		h.serve(100, idempotent, in20ms)
		h.serve(100, nonIdempotent, in20ms)
		high := h.b.maxWaitSeconds(h.request(idempotent, -1))
		low := h.b.maxWaitSeconds(h.request(nonIdempotent, -1))
		if high < 2*low {
			t.Errorf("by work %v: maximum wait %v s at a high priority, want at least twice the %v s at a low priority",
				byWork, high, low)
		}
		heavyRequest := h.request(idempotent, -1)
		heavyRequest.workHint = time.Second
		heavy := h.b.maxWaitSeconds(heavyRequest)
		if byWork != (heavy == high) {
			t.Errorf("by work %v: maximum wait %v s for a heavy request, %v s for a usual one, want equal waits: %v",
				byWork, heavy, high, byWork)
		}
	}
}

// The effect of priority on the maximum wait is bounded: a request with almost no priority weight is still served while
// there is capacity.
func TestPriorityFactorIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].PriorityWeight, cfg.Classes[nonIdempotent].PriorityWeight = 1000, 0.001
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.serve(50, nonIdempotent, in20ms)
	usual := h.b.queueBudget.fraction * max(h.b.slackSeconds(), h.b.latency.meanUnloadedSeconds())
	bounds := map[int]float64{idempotent: maxPriorityFactor * usual, nonIdempotent: usual / maxPriorityFactor}
	for class, want := range bounds {
		got := h.b.maxWaitSeconds(h.request(class, -1))
		if math.Abs(got-want) > 1e-9 && class == nonIdempotent || got > want+1e-9 {
			t.Errorf("class %d: maximum wait %v s, want %v s", class, got, want)
		}
	}
}

// With all endpoints slower than the latency objective there is no slack. The maximum wait stays above zero, because
// rejecting all requests would leave the endpoints idle.
func TestSlowEndpointsStillGetRequests(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(200, idempotent, func(EndpointID) time.Duration { return 600 * ms })
	got := h.b.maxWaitSeconds(h.request(idempotent, -1))
	if h.b.slackSeconds() != 0 || got < minQueueBudget*0.5 {
		t.Errorf("slack %v s when answers take 0.6 s, want 0; maximum wait %v s, want at least %v", h.b.slackSeconds(), got,
			minQueueBudget*0.5)
	}
}

// A heavy request is late behind any queue. A late answer lowers the queue budget only if its queue made it late.
func TestOnlyLatenessByTheQueueLowersTheQueueBudget(t *testing.T) {
	for queue, lowers := range map[float64]bool{0: false, 12: true} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		h.serve(100, idempotent, in20ms)
		e := h.b.endpoints[1]
		e.meanLatencySeconds, e.meanQueueAtArrival = 0.02*(queue+1), queue
		h.arrive("x", idempotent)
		h.forwardedTo()
		h.b.requests["x"].attempts[0].waitAtSendSeconds = queue * h.b.serviceSeconds(e)
		h.b.queueBudget.fraction = 0.3
		h.advance(400 * ms)
		h.handle(AttemptEnded{Request: "x", Endpoint: 1, Elapsed: 400 * ms, Final: true})
		if got := h.b.queueBudget.fraction < 0.3; got != lowers || h.b.queueBudget.fraction > 0.3 {
			t.Errorf("queue at arrival %v: queue budget from 0.3 to %v, want it lowered: %v",
				queue, h.b.queueBudget.fraction, lowers)
		}
	}
}

// A node that has no answers yet limits waits too. Otherwise all nodes that start at the same time would fill every
// endpoint.
func TestNewNodeBoundsWaits(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	if s := h.b.slackSeconds(); math.IsInf(s, 1) {
		t.Errorf("slack %v without an answer", s)
	}
}

// A node of a large fleet gets few answers a second, and must notice overload in as many seconds as a busy node.
func TestQueueBudgetFollowsTimeNotTheNumberOfAnswers(t *testing.T) {
	after := func(gap time.Duration) float64 {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		h.b.queueBudget.answerGapSeconds = gap.Seconds()
		for range int(time.Second / gap) {
			h.advance(gap)
			h.handle(TimerFired{})
			h.b.adjustQueueBudget(StatusSucceeded, ms, 1)
		}
		return h.b.queueBudget.fraction
	}
	if busy, idle := after(20*ms), after(50*ms); busy > 0.2 || idle > busy*1.1 {
		t.Errorf("after a second of late answers: queue budget %v with 50 answers a second, want at most 0.2; "+
			"%v with 20, want at most 10 %% more", busy, idle)
	}
}

// A class whose latency objective is no longer than its work has no slack. It must not reduce the slack of the other
// classes.
func TestClassWithoutSlackDoesNotReduceTheSlackOfOthers(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[nonIdempotent].LatencyObjective = 20 * ms
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	h.serve(50, nonIdempotent, func(EndpointID) time.Duration { return 30 * ms })
	if s := h.b.slackSeconds(); s < 0.1 {
		t.Errorf("slack %v s, want at least 0.1", s)
	}
}

// The clock may start at any value. The time before the first answer is no gap between answers.
func TestFirstAnswerHasNoGap(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(20, idempotent, in20ms)
	if h.b.queueBudget.answerGapSeconds > 0.5 {
		t.Errorf("mean gap of %v s after answers every 10 ms, want at most 0.5", h.b.queueBudget.answerGapSeconds)
	}
}

// An attempt that an endpoint lost while it answered others says nothing about queues. Only a timeout that the queue
// explains may make the node reject earlier.
func TestLostAttemptsDoNotChangeTheQueueBudget(t *testing.T) {
	for name, tc := range map[string]struct {
		wait float64 // expected time in the queue, in seconds
		less bool
	}{
		"lost":   {0.02, false},
		"queued": {0.9, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			h.serve(300, idempotent, in20ms)
			h.arrive("x", idempotent)
			h.b.requests["x"].attempts[0].waitAtSendSeconds = tc.wait
			h.serve(5, idempotent, in20ms) // activity of the endpoint
			h.advance(time.Second)
			was := h.b.queueBudget.fraction
			h.handle(AttemptEnded{Request: "x", Endpoint: 1, Status: StatusTimedOut, Elapsed: time.Second})
			if less := h.b.queueBudget.fraction < was; less != tc.less {
				t.Errorf("the queue budget went from %v to %v, want it lowered: %v", was, h.b.queueBudget.fraction, tc.less)
			}
		})
	}
}

// A request is not sent to a queue that takes longer than the slack, even if answers have been in time for a long
// period. The request would be late, and so would all requests queued after it.
func TestMaxWaitNeverExceedsTheSlack(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(20000, idempotent, in20ms)
	if h.b.queueBudget.fraction <= initialQueueBudget {
		t.Fatalf("queue budget %v after many answers in time, want more than %v", h.b.queueBudget.fraction,
			initialQueueBudget)
	}
	e := h.b.endpoints[1]
	h.setOtherNodesLoad(1, 1.5*h.b.slackSeconds()/h.b.serviceSeconds(e))
	e.reportedAt, h.b.probeAdmission.rejected = h.now, 1 // no probe admission
	if acts := h.arrive("x", idempotent); len(ofKind(Reject, acts)) != 1 {
		t.Errorf("with a wait of %.3f s and a slack of %.3f s: actions %+v, want a Reject", h.b.expectedWaitSeconds(e),
			h.b.slackSeconds(), acts)
	}
}
