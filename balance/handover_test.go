package balance

import (
	"encoding/json"
	"testing"
	"time"
)

// The successor has the state that its predecessor has learned. Both processes share one slow start credit and one
// retry budget.
func TestStateIsHandedOver(t *testing.T) {
	cfg := slowStartConfig()
	now := 100 * time.Second
	list := []Endpoint{{ID: 1}, {ID: 2}, {ID: 3, StartedAt: now}, {ID: 4}}
	start := func(endpoints []Endpoint) *Balancer {
		b, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(now, EndpointsListed{Kind: CompleteList, Endpoints: endpoints}, nil)
		return b
	}
	predecessor := start(list)
	countForwarded(predecessor, now, 2500)
	now += 2600 * time.Millisecond
	predecessor.endpoints[3].slowStartCreditSeconds = 0.125
	text, err := json.Marshal(predecessor.HandoverState())
	if err != nil {
		t.Fatal(err)
	}
	var state HandoverState
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	retries := predecessor.retryBudget.retries
	predecessor.Handle(now, HandoverChanged{HandedOver: true}, nil)
	list[3].StartedAt = now // this endpoint has restarted since the state was handed over
	successor := start(list)
	successor.Handle(now, TookOver{State: &state}, nil)
	for id := EndpointID(1); id <= 2; id++ {
		got, want := successor.serviceSeconds(successor.endpoints[id]), predecessor.serviceSeconds(predecessor.endpoints[id])
		if got != want || want == 0 {
			t.Errorf("endpoint %d: service time %v, want %v", id, got, want)
		}
	}
	if successor.endpoints[4].meanLatencySeconds != 0 {
		t.Error("the state of the old process was restored for the new process")
	}
	if successor.latency.meanUnloadedSeconds() != predecessor.latency.meanUnloadedSeconds() ||
		successor.queueBudget.fraction != predecessor.queueBudget.fraction ||
		successor.slowStart.warmThroughput != predecessor.slowStart.warmThroughput ||
		successor.windowStart != state.WindowStart {
		t.Errorf("unloaded latency %v, queue budget %v, warm throughput %v",
			successor.latency.meanUnloadedSeconds(), successor.queueBudget.fraction, successor.slowStart.warmThroughput)
	}
	if predecessor.endpoints[3].slowStartCreditSeconds != 0 || successor.endpoints[3].slowStartCreditSeconds != 0.125 {
		t.Errorf("slow start credits %v and %v, want 0 and 0.125",
			predecessor.endpoints[3].slowStartCreditSeconds, successor.endpoints[3].slowStartCreditSeconds)
	}
	if sum := predecessor.retryBudget.retries + successor.retryBudget.retries; retries == 0 || sum != retries {
		t.Errorf("retry budget of both processes %v, want %v", sum, retries)
	}
	now += 2 * time.Second
	predecessor.Handle(now, TimerFired{}, nil)
	if c := predecessor.endpoints[3].slowStartCreditSeconds; c > 0 {
		t.Errorf("the predecessor has a credit of %v, want none", c)
	}
	// A process that takes the new requests again gets credit again.
	predecessor.Handle(now, HandoverChanged{}, nil)
	now += 2 * time.Second
	predecessor.Handle(now, TimerFired{}, nil)
	if c := predecessor.endpoints[3].slowStartCreditSeconds; c <= 0 {
		t.Errorf("credit %v after the process takes new requests again, want more than 0", c)
	}
}

// A process that takes over without its predecessor's state sends nothing to an endpoint in slow start while the window
// of the predecessor's last credit lasts.
func TestTakeoverWithoutState(t *testing.T) {
	b, err := New(slowStartConfig(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * time.Second
	b.Handle(now, EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{{ID: 1, StartedAt: now}}}, nil)
	b.Handle(now, TookOver{}, nil)
	for _, at := range []time.Duration{0, 900 * time.Millisecond} {
		b.Handle(now+at, TimerFired{}, nil)
		if c := b.endpoints[1].slowStartCreditSeconds; c > 0 {
			t.Errorf("credit %v after %v, want none", c, at)
		}
	}
	b.Handle(now+1100*time.Millisecond, TimerFired{}, nil)
	if c := b.endpoints[1].slowStartCreditSeconds; c <= 0 {
		t.Errorf("credit %v after the window, want more than 0", c)
	}
}
