package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Slow answers of an endpoint in slow start must not keep it idle once it is warm.
func TestAnswersInSlowStartCountAsWarm(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), Endpoint{ID: 2, Weight: 1, StartedAt: time.Hour})
	r.serve(100, idempotent, in20ms)
	e := r.b.endpoints[2]
	for range 50 { // a fifth of its capacity is there: 100 ms for what takes 20
		r.b.learnServiceTime(e, r.request(idempotent, 0), &attempt{endpoint: e}, 100*ms)
	}
	if starting, peer := r.b.serviceSeconds(e), r.b.serviceSeconds(r.b.endpoints[1]); starting < 2*peer {
		t.Errorf("service time %v in slow start, %v at a warm endpoint", starting, peer)
	}
	e.StartedAt = 1
	if starting, warm := r.b.serviceSeconds(e), r.b.serviceSeconds(r.b.endpoints[1]); starting > 1.5*warm {
		t.Errorf("service time %v once warm, %v at an endpoint that was always warm", starting, warm)
	}
}

// An endpoint that was slow for a while must be tried again though it has no answers to show.
func TestServiceTimeRecoversWithoutAnswers(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	e := r.b.endpoints[2]
	e.meanLatencySeconds, e.meanQueueAtArrival = 1, 0 // a service time of one second, fifty times that of its peer
	for range 60 {
		r.advance(1500 * ms)
		r.serve(1, idempotent, in20ms)
	}
	if now := r.b.serviceSeconds(e); now > 2*r.b.latency.meanServiceSeconds {
		t.Errorf("service time %v after a minute and a half, peers %v", now, r.b.latency.meanServiceSeconds)
	}
}

// Answers out of a queue do not raise the unloaded latency: overload must not pass for slow endpoints.
func TestUnloadedLatencyIgnoresQueues(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	was := r.b.latency.classes[idempotent].unloadedSeconds
	for i := range 20 {
		id := fmt.Sprint(i)
		r.b.queueBudget.fraction = maxQueueBudget
		r.setOtherNodesLoad(1, 2)
		r.arrive(id, idempotent)
		r.forwardedTo()
		r.advance(100 * ms)
		r.handle(AttemptEnded{Request: id, Endpoint: 1, Elapsed: 100 * ms, Final: true})
	}
	if base := r.b.latency.classes[idempotent].unloadedSeconds; base != was {
		t.Errorf("from %v to %v", was, base)
	}
}

// One unlucky first answer must not pass for the unloaded latency of its class.
func TestFirstAnswersCountByTheirMean(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(1, idempotent, func(EndpointID) time.Duration { return 280 * ms })
	r.serve(9, idempotent, in20ms)
	if base := r.b.latency.classes[idempotent].unloadedSeconds; math.Abs(base-0.046) > 0.001 {
		t.Errorf("%v s, the mean is 0.046", base)
	}
}

// With hundreds of endpoints a node meets each of them now and then: the mean service time is learned from all
// answers, or it stays at a first guess for minutes and queues of any length look short.
func TestMeanServiceTimeIsLearnedFromAnyAnswer(t *testing.T) {
	members := make([]Endpoint, 200)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newHarness(t, testConfig(), members...)
	r.serve(40, idempotent, func(EndpointID) time.Duration { return 100 * ms })
	if r.b.latency.meanServiceSeconds < 0.08 {
		t.Errorf("service time %v after 40 answers of 100 ms", r.b.latency.meanServiceSeconds)
	}
}

// A node that starts among queues must not take its first answers for the unloaded latency.
func TestWorkHintStandsForTheUnloadedLatency(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.b.loads.fleet.mean, r.b.queueBudget.fraction = 5, maxQueueBudget
	r.advance(time.Second)
	r.handle(RequestArrived{Request: "x", ExpectedWork: 20 * ms, TimeLeft: time.Second})
	r.handle(AttemptEnded{Request: "x", Endpoint: 1, Elapsed: 200 * ms, Final: true})
	if base := r.b.latency.classes[idempotent].unloadedSeconds; base < 0.015 || base > 0.025 {
		t.Errorf("unloaded latency %v by an answer of 200 ms behind five others, hinted at 20 ms", base)
	}
}

// Queue estimates are old in a large fleet, and a queue that none shows is met all the same: an answer that took
// many times its work hint must not pass for the work, or the bound on waits grows with the queue until endpoints
// are overloaded. An endpoint that is slower than the hint says still counts, and so does any answer without a hint.
func TestAnswersFarBeyondTheirHintMetAQueue(t *testing.T) {
	for name, tc := range map[string]struct {
		hint, spent time.Duration
		want        float64 // unloaded latency after 200 such answers, seconds
	}{
		"as hinted":          {hint: 20 * ms, spent: 25 * ms, want: 0.025},
		"a slow endpoint":    {hint: 20 * ms, spent: 38 * ms, want: 0.038},
		"out of a queue":     {hint: 20 * ms, spent: 150 * ms, want: 0.020},
		"slow, without hint": {spent: 150 * ms, want: 0.150},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			for i := range 200 {
				r.advance(time.Second)
				id := fmt.Sprint(i)
				r.handle(RequestArrived{Request: id, ExpectedWork: tc.hint, TimeLeft: time.Second})
				r.handle(AttemptEnded{Request: id, Endpoint: 1, Elapsed: tc.spent, Final: true})
			}
			if base := r.b.latency.classes[idempotent].unloadedSeconds; math.Abs(base-tc.want) > 0.1*tc.want {
				t.Errorf("unloaded latency %.4f s, want %.4f", base, tc.want)
			}
		})
	}
}

// An endpoint of many cores answers as fast behind ten others as behind none: a node that met only short queues must
// learn that from the few answers that it gets out of a long one.
func TestAnswersOutOfLongQueuesTellTheServiceTime(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(200, idempotent, in20ms)
	e := r.b.endpoints[1]
	was := r.b.warmServiceSeconds(e)
	req := r.request(idempotent, 0)
	for range 3 {
		r.b.learnServiceTime(e, req, &attempt{endpoint: e, queueAtSend: 12}, 20*ms)
	}
	if is := r.b.warmServiceSeconds(e); is > was/4 {
		t.Errorf("service time %v, then %v after three answers as fast behind twelve others", was, is)
	}
}

// A node of a large fleet has an answer of an endpoint now and then: what it learned of it must not be ten seconds
// old.
func TestRareAnswersCountMore(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(100, idempotent, in20ms)
	e := r.b.endpoints[1]
	was, req := e.meanLatencySeconds, r.request(idempotent, 0)
	for range 6 { // in three seconds
		r.b.now += 500 * ms
		r.b.learnServiceTime(e, req, &attempt{endpoint: e}, 120*ms)
	}
	if e.meanLatencySeconds < was+70e-3 {
		t.Errorf("the time of an answer went from %.3f to %.3f s in three seconds of 0.120 s", was, e.meanLatencySeconds)
	}
}
