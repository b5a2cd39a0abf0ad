package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Requests are rejected when queues are long: in a full queue every answer is late, and only rejecting shortens it.
func TestRequestsAreRejectedWhenQueuesAreLong(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	sent, rejected := 0, 0
	for i := range 200 {
		r.arrive(fmt.Sprint("flood", i), nonIdempotent)
		sent += len(ofKind(Forward, r.last))
		rejected += len(ofKind(Reject, r.last))
	}
	if sent+rejected != 200 || rejected < 100 || sent < 8 {
		t.Errorf("%d forwarded, %d rejected of 200 requests at the same time", sent, rejected)
	}
}

// No setting says how much load is too much. The limit on the wait follows the measured lateness of answers.
func TestLateAnswersLowerTheQueueBudget(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(1000, idempotent, in20ms)
	if r.b.queueBudget.fraction < 2*initialQueueBudget || r.b.queueBudget.fraction > maxQueueBudget {
		t.Fatalf("queue budget %v while all answers are in time", r.b.queueBudget.fraction)
	}
	r.answerLate(200)
	if r.b.queueBudget.fraction != minQueueBudget {
		t.Errorf("queue budget %v after 200 late answers", r.b.queueBudget.fraction)
	}
	r.serve(3000, idempotent, in20ms)
	if r.b.queueBudget.fraction < initialQueueBudget {
		t.Errorf("queue budget %v after 3000 answers in time", r.b.queueBudget.fraction)
	}
}

// Timeouts at an endpoint that hangs are no sign of overload. They must not make the node reject requests for the other
// endpoints.
func TestTimeoutsAtUnresponsiveEndpointsLeaveTheQueueBudget(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(300, idempotent, in20ms)
	was := r.b.queueBudget.fraction
	for i := range 5 {
		r.arrive(fmt.Sprint(i), nonIdempotent)
	}
	r.advance(time.Second)
	for i := range 5 {
		r.endAttempt(fmt.Sprint(i), 0, 1, StatusTimedOut)
	}
	if r.b.queueBudget.fraction != was {
		t.Errorf("queue budget went from %v to %v", was, r.b.queueBudget.fraction)
	}
}

// When not all requests can be served, those with more priority for their work may wait longer.
func TestMaxWaitFollowsPriority(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		cfg := testConfig()
		cfg.PriorityPerWork = byWork
		cfg.Classes[idempotent].PriorityWeight, cfg.Classes[nonIdempotent].PriorityWeight = 4, 1
		r := newHarness(t, cfg, listedEndpoint(1, 0, 0))
		r.serve(100, idempotent, in20ms)
		r.serve(100, nonIdempotent, in20ms)
		high := r.b.maxWaitSeconds(r.request(idempotent, -1))
		low := r.b.maxWaitSeconds(r.request(nonIdempotent, -1))
		if high < 2*low {
			t.Errorf("by work %v: maximum wait %v s at a high priority, %v s at a low one", byWork, high, low)
		}
		heavyRequest := r.request(idempotent, -1)
		heavyRequest.workHint = time.Second
		heavy := r.b.maxWaitSeconds(heavyRequest)
		if byWork != (heavy == high) {
			t.Errorf("by work %v: maximum wait %v s for a heavy request, %v s for a usual one", byWork, heavy, high)
		}
	}
}

// The effect of priority on the maximum wait is bounded: a request with almost no priority weight is still served while
// there is capacity.
func TestPriorityFactorIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].PriorityWeight, cfg.Classes[nonIdempotent].PriorityWeight = 1000, 0.001
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(50, nonIdempotent, in20ms)
	usual := r.b.queueBudget.fraction * max(r.b.slackSeconds(), r.b.latency.meanUnloadedSeconds())
	bounds := map[int]float64{idempotent: maxPriorityFactor * usual, nonIdempotent: usual / maxPriorityFactor}
	for class, want := range bounds {
		got := r.b.maxWaitSeconds(r.request(class, -1))
		if math.Abs(got-want) > 1e-9 && class == nonIdempotent || got > want+1e-9 {
			t.Errorf("class %d: maximum wait %v s, want %v s", class, got, want)
		}
	}
}

// With all endpoints slower than the latency objective there is no slack. The maximum wait stays above zero, because
// rejecting all requests would leave the endpoints idle.
func TestSlowEndpointsStillGetRequests(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(200, idempotent, func(EndpointID) time.Duration { return 600 * ms })
	got := r.b.maxWaitSeconds(r.request(idempotent, -1))
	if r.b.slackSeconds() != 0 || got < minQueueBudget*0.5 {
		t.Errorf("slack %v, maximum wait %v s when answers take 0.6 s", r.b.slackSeconds(), got)
	}
}

// A heavy request is late behind any queue. A late answer lowers the queue budget only if its queue made it late.
func TestOnlyLatenessByTheQueueLowersTheQueueBudget(t *testing.T) {
	for queue, lowers := range map[float64]bool{0: false, 12: true} {
		r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		r.serve(100, idempotent, in20ms)
		e := r.b.endpoints[1]
		e.meanLatencySeconds, e.meanQueueAtArrival = 0.02*(queue+1), queue
		r.arrive("x", idempotent)
		r.forwardedTo()
		r.b.requests["x"].attempts[0].waitAtSendSeconds = queue * r.b.serviceSeconds(e)
		r.b.queueBudget.fraction = 0.3
		r.advance(400 * ms)
		r.handle(AttemptEnded{Request: "x", Endpoint: 1, Elapsed: 400 * ms, Final: true})
		if got := r.b.queueBudget.fraction < 0.3; got != lowers || r.b.queueBudget.fraction > 0.3 {
			t.Errorf("queue at arrival %v: queue budget from 0.3 to %v", queue, r.b.queueBudget.fraction)
		}
	}
}

// A node that has no answers yet limits waits too. Otherwise all nodes that start at the same time would fill every
// endpoint.
func TestNewNodeBoundsWaits(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	if s := r.b.slackSeconds(); math.IsInf(s, 1) {
		t.Errorf("slack %v without an answer", s)
	}
}

// A node of a large fleet gets few answers a second, and must notice overload in as many seconds as a busy node.
func TestQueueBudgetFollowsTimeNotTheNumberOfAnswers(t *testing.T) {
	after := func(gap time.Duration) float64 {
		r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		r.b.queueBudget.answerGapSeconds = gap.Seconds()
		for range int(time.Second / gap) {
			r.advance(gap)
			r.handle(TimerFired{})
			r.b.adjustQueueBudget(StatusSucceeded, ms, 1)
		}
		return r.b.queueBudget.fraction
	}
	if busy, idle := after(20*ms), after(50*ms); busy > 0.2 || idle > busy*1.1 {
		t.Errorf("after a second of late answers: queue budget %v with 50 answers a second, %v with 20", busy, idle)
	}
}

// A class whose latency objective is no longer than its work has no slack of its own. It must not take the slack of the
// other classes.
func TestOneTightClassDoesNotRejectAll(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[nonIdempotent].LatencyObjective = 20 * ms
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(50, nonIdempotent, func(EndpointID) time.Duration { return 30 * ms })
	if s := r.b.slackSeconds(); s < 0.1 {
		t.Errorf("slack %v s, want at least 0.1", s)
	}
}

// The clock may start at any value. The time before the first answer is no gap between answers.
func TestFirstAnswerHasNoGap(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(20, idempotent, in20ms)
	if r.b.queueBudget.answerGapSeconds > 0.5 {
		t.Errorf("mean gap of %v s after answers every 10 ms", r.b.queueBudget.answerGapSeconds)
	}
}

// A request that an endpoint lost while it answered others shows nothing about queues. Only a timeout that the queue
// explains may make the node reject earlier.
func TestLostAttemptsLeaveTheQueueBudget(t *testing.T) {
	for name, tc := range map[string]struct {
		wait float64 // expected time in the queue, in seconds
		less bool
	}{
		"lost":   {0.02, false},
		"queued": {0.9, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			r.serve(300, idempotent, in20ms)
			r.arrive("x", idempotent)
			r.b.requests["x"].attempts[0].waitAtSendSeconds = tc.wait
			r.serve(5, idempotent, in20ms) // activity of the endpoint
			r.advance(time.Second)
			was := r.b.queueBudget.fraction
			r.handle(AttemptEnded{Request: "x", Endpoint: 1, Status: StatusTimedOut, Elapsed: time.Second})
			if less := r.b.queueBudget.fraction < was; less != tc.less {
				t.Errorf("the queue budget went from %v to %v", was, r.b.queueBudget.fraction)
			}
		})
	}
}

// A request does not join a queue that takes longer than the slack, however long answers have been in time. It would be
// late, and so would all requests behind it.
func TestMaxWaitNeverExceedsTheSlack(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(20000, idempotent, in20ms)
	if r.b.queueBudget.fraction <= initialQueueBudget {
		t.Fatalf("the queue budget is %v after many answers in time", r.b.queueBudget.fraction)
	}
	e := r.b.endpoints[1]
	r.setOtherNodesLoad(1, 1.5*r.b.slackSeconds()/r.b.serviceSeconds(e))
	e.reportedAt, r.b.probeAdmission.rejected = r.now, 1 // no probe admission
	if acts := r.arrive("x", idempotent); len(ofKind(Reject, acts)) != 1 {
		t.Errorf("with a wait of %.3f s and a slack of %.3f s: %+v", r.b.expectedWaitSeconds(e), r.b.slackSeconds(), acts)
	}
}
