package balance

import (
	"encoding/json"
	"testing"
	"time"
)

// The process that takes over knows what the old one has learned, and the two have one grant and one retry budget.
func TestMemoryIsHandedOn(t *testing.T) {
	cfg := Config{Instances: 1, Classes: []Class{{Aim: time.Second, Deadline: time.Second}}, Rules: Rules{
		ColdShare: 0.2, WarmWithin: 10 * time.Second, FallMultiple: 3, OverloadFor: time.Second}}
	now := 100 * time.Second
	list := []Member{{Backend: 1}, {Backend: 2}, {Backend: 3, Launched: now}, {Backend: 4}}
	start := func(members []Member) *Balancer {
		b, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(now, Event{Kind: MembersAll, Members: members}, nil)
		return b
	}
	old := start(list)
	picks(old, now, 2500)
	now += 2600 * time.Millisecond
	old.servers[3].credit = 0.125
	text, err := json.Marshal(old.Remember())
	if err != nil {
		t.Fatal(err)
	}
	var m Memory
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	retries := old.retries
	old.Handle(now, Event{Kind: HandedOver, Out: true}, nil)
	list[3].Launched = now // it has been restarted since
	next := start(list)
	next.Handle(now, Event{Kind: TookOver, Memory: &m}, nil)
	for id := BackendID(1); id <= 2; id++ {
		if got, want := next.pace(next.servers[id]), old.pace(old.servers[id]); got != want || want == 0 {
			t.Errorf("backend %d: pace %v, want %v", id, got, want)
		}
	}
	if next.servers[4].time != 0 {
		t.Error("what was known of the old start is taken for the new one")
	}
	if next.meanBase() != old.meanBase() || next.part != old.part || next.warmRate != old.warmRate || next.rolledAt != m.RolledAt {
		t.Errorf("base %v, part %v, warm rate %v", next.meanBase(), next.part, next.warmRate)
	}
	if old.servers[3].credit != 0 || next.servers[3].credit != 0.125 {
		t.Errorf("credits %v and %v", old.servers[3].credit, next.servers[3].credit)
	}
	if sum := old.retries + next.retries; retries == 0 || sum != retries {
		t.Errorf("retry budget %v, was %v", sum, retries)
	}
	now += 2 * time.Second
	old.Handle(now, Event{Kind: Timer}, nil)
	if c := old.servers[3].credit; c > 0 {
		t.Errorf("the old process is granted %v more", c)
	}
	// A process that gets the node back is granted as before.
	old.Handle(now, Event{Kind: HandedOver}, nil)
	now += 2 * time.Second
	old.Handle(now, Event{Kind: Timer}, nil)
	if c := old.servers[3].credit; c <= 0 {
		t.Errorf("credit %v after the node came back", c)
	}
}

// A process that is told nothing gives no cold server anything in the window of the old one's last grant.
func TestTakeOverWithoutMemory(t *testing.T) {
	b, err := New(Config{Instances: 1, Classes: []Class{{Aim: time.Second}}, Rules: Rules{ColdShare: 0.2,
		WarmWithin: 10 * time.Second, FallMultiple: 3, OverloadFor: time.Second}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * time.Second
	b.Handle(now, Event{Kind: MembersAll, Members: []Member{{Backend: 1, Launched: now}}}, nil)
	b.Handle(now, Event{Kind: TookOver}, nil)
	for _, at := range []time.Duration{0, 900 * time.Millisecond} {
		b.Handle(now+at, Event{Kind: Timer}, nil)
		if c := b.servers[1].credit; c > 0 {
			t.Errorf("credit %v after %v", c, at)
		}
	}
	b.Handle(now+1100*time.Millisecond, Event{Kind: Timer}, nil)
	if c := b.servers[1].credit; c <= 0 {
		t.Errorf("credit %v once the window has passed", c)
	}
}
