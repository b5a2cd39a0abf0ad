package balance

import (
	"testing"
	"time"
)

// A cordoned endpoint gets nothing, whatever the lists say, and starts slowly once it is uncordoned.
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
		t.Errorf("out: %v", got)
	}
	now += time.Second
	// A list that names it, even as another process, does not bring it back.
	list[0].StartedAt = now
	b.Handle(now, EndpointsListed{Kind: CompleteList, Endpoints: list}, nil)
	if got := countForwarded(b, now, 100); got[1] != 0 {
		t.Errorf("out, and listed: %v", got)
	}
	if n := b.UnavailableEndpoints(); n != 1 {
		t.Errorf("%d avoided, want 1", n)
	}
	now += time.Second
	b.Handle(now, CordonChanged{Endpoint: 1, At: now}, nil)
	if w := b.slowStartFraction(b.endpoints[1]); w >= 0.5 {
		t.Errorf("warmth %v at once", w)
	}
	if got := countForwarded(b, now, 900); got[1] == 0 || got[1] > got[2]/2 {
		t.Errorf("in slow start: %v", got)
	}
	if n := b.UnavailableEndpoints(); n != 0 {
		t.Errorf("%d avoided, want none", n)
	}
}

// An endpoint that was uncordoned is in slow start from then on where no list has told of its restart, and a list
// that tells of it later changes nothing.
func TestUncordonedEndpointIsInSlowStart(t *testing.T) {
	b, err := New(slowStartConfig(), 1)
	if err != nil {
		t.Fatal(err)
	}
	at := func(e float64) time.Duration { return time.Duration(e * float64(time.Second)) }
	b.Handle(at(100), EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}}, nil)
	b.Handle(at(110), CordonChanged{Endpoint: 1, Cordoned: true, At: at(110)}, nil)
	b.Handle(at(120), CordonChanged{Endpoint: 1, At: at(120)}, nil)
	e := b.endpoints[1]
	if w := b.slowStartFraction(e); w != 0.2 {
		t.Errorf("warmth %v, want 0.2", w)
	}
	e.slowStartCreditSeconds = 0.125
	b.Handle(at(120.5), EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{{ID: 1, StartedAt: at(112)}}}, nil)
	if e.slowStartCreditSeconds != 0.125 {
		t.Errorf("credit %v: it was granted twice", e.slowStartCreditSeconds)
	}
	if w := b.slowStartFraction(e); w <= 0.8 {
		t.Errorf("warmth %v by the list's start", w)
	}
	b.Handle(at(121), EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{{ID: 1, StartedAt: at(121)}}}, nil)
	if w := b.slowStartFraction(e); w != 0.2 {
		t.Errorf("warmth %v after another restart, want 0.2", w)
	}
}
