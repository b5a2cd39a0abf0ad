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
	old := start(list)
	countForwarded(old, now, 2500)
	now += 2600 * time.Millisecond
	old.endpoints[3].slowStartCreditSeconds = 0.125
	text, err := json.Marshal(old.HandoverState())
	if err != nil {
		t.Fatal(err)
	}
	var m HandoverState
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	retries := old.retryBudget.retries
	old.Handle(now, HandoverChanged{HandedOver: true}, nil)
	list[3].StartedAt = now // this endpoint has restarted since the state was handed over
	next := start(list)
	next.Handle(now, TookOver{State: &m}, nil)
	for id := EndpointID(1); id <= 2; id++ {
		got, want := next.serviceSeconds(next.endpoints[id]), old.serviceSeconds(old.endpoints[id])
		if got != want || want == 0 {
			t.Errorf("endpoint %d: service time %v, want %v", id, got, want)
		}
	}
	if next.endpoints[4].meanLatencySeconds != 0 {
		t.Error("the state of the old process was restored for the new process")
	}
	if next.latency.meanUnloadedSeconds() != old.latency.meanUnloadedSeconds() ||
		next.queueBudget.fraction != old.queueBudget.fraction ||
		next.slowStart.warmThroughput != old.slowStart.warmThroughput || next.windowStart != m.WindowStart {
		t.Errorf("unloaded latency %v, queue budget %v, warm throughput %v",
			next.latency.meanUnloadedSeconds(), next.queueBudget.fraction, next.slowStart.warmThroughput)
	}
	if old.endpoints[3].slowStartCreditSeconds != 0 || next.endpoints[3].slowStartCreditSeconds != 0.125 {
		t.Errorf("slow start credits %v and %v, want 0 and 0.125",
			old.endpoints[3].slowStartCreditSeconds, next.endpoints[3].slowStartCreditSeconds)
	}
	if sum := old.retryBudget.retries + next.retryBudget.retries; retries == 0 || sum != retries {
		t.Errorf("retry budget of both processes %v, want %v", sum, retries)
	}
	now += 2 * time.Second
	old.Handle(now, TimerFired{}, nil)
	if c := old.endpoints[3].slowStartCreditSeconds; c > 0 {
		t.Errorf("the old process has a credit of %v, want none", c)
	}
	// A process that takes the new requests again gets credit again.
	old.Handle(now, HandoverChanged{}, nil)
	now += 2 * time.Second
	old.Handle(now, TimerFired{}, nil)
	if c := old.endpoints[3].slowStartCreditSeconds; c <= 0 {
		t.Errorf("credit %v after the process takes new requests again", c)
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
			t.Errorf("credit %v after %v", c, at)
		}
	}
	b.Handle(now+1100*time.Millisecond, TimerFired{}, nil)
	if c := b.endpoints[1].slowStartCreditSeconds; c <= 0 {
		t.Errorf("credit %v after the window, want more than 0", c)
	}
}
