package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Slow answers of an endpoint in slow start must not keep it idle once it is warm.
func TestAnswersInSlowStartDoNotRaiseTheWarmServiceTime(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), Endpoint{ID: 2, Weight: 1, StartedAt: time.Hour})
	h.serve(100, idempotent, in20ms)
	e := h.b.endpoints[2]
	for range 50 { // with a fifth of its capacity, a request of 20 ms takes 100 ms
		h.b.updateServiceTime(e, h.request(idempotent, 0), &attempt{endpoint: e}, 100*ms)
	}
	if starting, peer := h.b.serviceSeconds(e), h.b.serviceSeconds(h.b.endpoints[1]); starting < 2*peer {
		t.Errorf("service time %v in slow start, want at least twice the %v at a warm endpoint", starting, peer)
	}
	e.StartedAt = 1
	if starting, warm := h.b.serviceSeconds(e), h.b.serviceSeconds(h.b.endpoints[1]); starting > 1.5*warm {
		t.Errorf("service time %v once warm, want at most 1.5 times the %v at an endpoint that was always warm",
			starting, warm)
	}
}

// An endpoint that was slow for a while must be tried again, although it has no new answers.
func TestServiceTimeRecoversWithoutAnswers(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	e := h.b.endpoints[2]
	e.meanLatencySeconds, e.meanQueueAtArrival = 1, 0 // a service time of one second, fifty times that of the other endpoint
	for range 60 {
		h.advance(1500 * ms)
		h.serve(1, idempotent, in20ms)
	}
	if now := h.b.serviceSeconds(e); now > 2*h.b.latency.meanServiceSeconds {
		t.Errorf("service time %v s after a minute and a half, want at most twice the mean of %v s", now,
			h.b.latency.meanServiceSeconds)
	}
}

// Answers to requests that waited in a queue do not raise the unloaded latency. Otherwise overload would look like slow
// endpoints.
func TestUnloadedLatencyIgnoresQueues(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(50, idempotent, in20ms)
	was := h.b.latency.classes[idempotent].unloadedSeconds
	for i := range 20 {
		id := fmt.Sprint(i)
		h.b.queueBudget.fraction = maxQueueBudget
		h.setOtherNodesLoad(1, 2)
		h.arrive(id, idempotent)
		h.forwardedTo()
		h.advance(100 * ms)
		h.handle(AttemptEnded{Request: id, Endpoint: 1, Elapsed: 100 * ms, Final: true})
	}
	if unloaded := h.b.latency.classes[idempotent].unloadedSeconds; unloaded != was {
		t.Errorf("unloaded latency went from %v to %v s, want no change", was, unloaded)
	}
}

// A single slow first answer must not set the unloaded latency of its class: the mean of the first answers is used.
func TestFirstAnswersAreAveraged(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(1, idempotent, func(EndpointID) time.Duration { return 280 * ms })
	h.serve(9, idempotent, in20ms)
	if unloaded := h.b.latency.classes[idempotent].unloadedSeconds; math.Abs(unloaded-0.046) > 0.001 {
		t.Errorf("unloaded latency %v s, want the mean of the answers, 0.046", unloaded)
	}
}

// With hundreds of endpoints a node sends to each of them rarely. The mean service time is therefore learned from all
// answers. Otherwise it would stay at its initial value for minutes, and queues of any length would look short.
func TestMeanServiceTimeIsLearnedFromAnyAnswer(t *testing.T) {
	endpoints := make([]Endpoint, 200)
	for i := range endpoints {
		endpoints[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	h := newHarness(t, testConfig(), endpoints...)
	h.serve(40, idempotent, func(EndpointID) time.Duration { return 100 * ms })
	if h.b.latency.meanServiceSeconds < 0.08 {
		t.Errorf("mean service time %v s after 40 answers of 100 ms, want at least 0.08", h.b.latency.meanServiceSeconds)
	}
}

// A node that starts when queues are long must not take its first answers for the unloaded latency. It uses the work
// hint instead.
func TestWorkHintIsUsedUntilAnAnswerWithoutAQueue(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.b.loads.overall.mean, h.b.queueBudget.fraction = 5, maxQueueBudget
	h.advance(time.Second)
	h.handle(RequestArrived{Request: "x", ExpectedWork: 20 * ms, TimeLeft: time.Second})
	h.handle(AttemptEnded{Request: "x", Endpoint: 1, Elapsed: 200 * ms, Final: true})
	if unloaded := h.b.latency.classes[idempotent].unloadedSeconds; unloaded < 0.015 || unloaded > 0.025 {
		t.Errorf("unloaded latency %v s after an answer of 200 ms behind five requests, want about the work hint of 0.020",
			unloaded)
	}
}

// Queue estimates are old in a large fleet, so a request may have waited in a queue that no estimate shows. An answer
// that took many times its work hint must not count as unloaded. Otherwise the limit on waits would grow with the queue
// until endpoints are overloaded. An answer that took somewhat longer than its hint still counts as unloaded, and so
// does any answer without a hint.
func TestAnswersFarBeyondTheirHintDoNotCountAsUnloaded(t *testing.T) {
	for name, tc := range map[string]struct {
		hint, spent time.Duration
		want        float64 // unloaded latency after 200 such answers, seconds
	}{
		"as hinted":            {hint: 20 * ms, spent: 25 * ms, want: 0.025},
		"a slow endpoint":      {hint: 20 * ms, spent: 38 * ms, want: 0.038},
		"after a queue":        {hint: 20 * ms, spent: 150 * ms, want: 0.020},
		"slow, without a hint": {spent: 150 * ms, want: 0.150},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
			for i := range 200 {
				h.advance(time.Second)
				id := fmt.Sprint(i)
				h.handle(RequestArrived{Request: id, ExpectedWork: tc.hint, TimeLeft: time.Second})
				h.handle(AttemptEnded{Request: id, Endpoint: 1, Elapsed: tc.spent, Final: true})
			}
			if unloaded := h.b.latency.classes[idempotent].unloadedSeconds; math.Abs(unloaded-tc.want) > 0.1*tc.want {
				t.Errorf("unloaded latency %.4f s, want %.4f", unloaded, tc.want)
			}
		})
	}
}

// An endpoint with many cores answers as fast behind ten requests as behind none. A node that has sent requests only to
// short queues must learn this from the few answers that it gets after a long queue.
func TestAnswersAfterLongQueuesUpdateTheServiceTime(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
	h.serve(200, idempotent, in20ms)
	e := h.b.endpoints[1]
	was := h.b.warmServiceSeconds(e)
	req := h.request(idempotent, 0)
	for range 3 {
		h.b.updateServiceTime(e, req, &attempt{endpoint: e, queueAtSend: 12}, 20*ms)
	}
	if is := h.b.warmServiceSeconds(e); is > was/4 {
		t.Errorf("service time went from %v to %v s after three equally fast answers behind twelve requests, "+
			"want at most a quarter", was, is)
	}
}

// A node of a large fleet rarely gets an answer from a given endpoint. A few answers must therefore change the mean
// latency of the endpoint within seconds. Otherwise the estimate would be ten seconds old.
func TestMeanLatencyFollowsRareAnswers(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(100, idempotent, in20ms)
	e := h.b.endpoints[1]
	was, req := e.meanLatencySeconds, h.request(idempotent, 0)
	for range 6 { // in three seconds
		h.b.now += 500 * ms
		h.b.updateServiceTime(e, req, &attempt{endpoint: e}, 120*ms)
	}
	if e.meanLatencySeconds < was+70e-3 {
		t.Errorf("the mean latency went from %.3f to %.3f s in three seconds with answers of 0.120 s, "+
			"want a rise of at least 0.070", was, e.meanLatencySeconds)
	}
}
