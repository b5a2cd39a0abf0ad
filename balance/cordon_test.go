package balance

import (
	"testing"
	"time"
)

// A cordoned endpoint gets no requests, even if a list shows it as ready. Once uncordoned it is in slow start.
func TestCordonedEndpointGetsNothingUntilUncordoned(t *testing.T) {
	cfg := slowStartConfig()
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	list := []Endpoint{{ID: 1}, {ID: 2}}
	now := 100 * time.Second
	b.Handle(now, EndpointsListed{Kind: CompleteList, Endpoints: list}, nil)
	countForwarded(b, now, 3000) // so that the warm throughput is known
	now += 4 * time.Second
	for range 2 {
		b.Handle(now, CordonChanged{Endpoint: 1, Cordoned: true, At: now}, nil)
	}
	if got := countForwarded(b, now, 100); got[1] != 0 || got[2] == 0 {
		t.Errorf("endpoint 1 cordoned: attempts by endpoint %v, want none at endpoint 1", got)
	}
	now += time.Second
	// A list that shows the endpoint as ready, even with a new process, does not end the cordon.
	list[0].StartedAt = now
	b.Handle(now, EndpointsListed{Kind: CompleteList, Endpoints: list}, nil)
	if got := countForwarded(b, now, 100); got[1] != 0 {
		t.Errorf("endpoint 1 cordoned and listed as ready: attempts by endpoint %v, want none at endpoint 1", got)
	}
	if n := b.UnavailableEndpoints(); n != 1 {
		t.Errorf("%d endpoints unavailable, want 1", n)
	}
	now += time.Second
	b.Handle(now, CordonChanged{Endpoint: 1, At: now}, nil)
	if w := b.slowStartFraction(b.endpoints[1]); w >= 0.5 {
		t.Errorf("slow start fraction %v when uncordoned, want less than 0.5", w)
	}
	if got := countForwarded(b, now, 900); got[1] == 0 || got[1] > got[2]/2 {
		t.Errorf("endpoint 1 in slow start: attempts by endpoint %v, want some, at most half as many as at endpoint 2", got)
	}
	if n := b.UnavailableEndpoints(); n != 0 {
		t.Errorf("%d endpoints unavailable, want 0", n)
	}
}

// An uncordoned endpoint is in slow start even if no list has shown its restart yet. A later list that shows a restart
// within the cordon grants no second credit.
func TestUncordonedEndpointIsInSlowStart(t *testing.T) {
	b, err := New(slowStartConfig(), 1)
	if err != nil {
		t.Fatal(err)
	}
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	b.Handle(at(100), EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}}, nil)
	b.Handle(at(110), CordonChanged{Endpoint: 1, Cordoned: true, At: at(110)}, nil)
	b.Handle(at(120), CordonChanged{Endpoint: 1, At: at(120)}, nil)
	e := b.endpoints[1]
	if w := b.slowStartFraction(e); w != 0.2 {
		t.Errorf("slow start fraction %v, want 0.2", w)
	}
	e.slowStartCreditSeconds = 0.125
	b.Handle(at(120.5), EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{{ID: 1, StartedAt: at(112)}}}, nil)
	if e.slowStartCreditSeconds != 0.125 {
		t.Errorf("slow start credit %v, want 0.125: it was granted again", e.slowStartCreditSeconds)
	}
	if w := b.slowStartFraction(e); w <= 0.8 {
		t.Errorf("slow start fraction %v with the start time of the list, want more than 0.8", w)
	}
	b.Handle(at(121), EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{{ID: 1, StartedAt: at(121)}}}, nil)
	if w := b.slowStartFraction(e); w != 0.2 {
		t.Errorf("slow start fraction %v after another restart, want 0.2", w)
	}
}
