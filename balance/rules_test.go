package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// site is a Config with one class of each effect and scope.
func testConfig() Config {
	class := func(e Repeatability, sc KeyScope) Class {
		return Class{LatencyObjective: 300 * ms, Deadline: 1200 * ms, Repeatability: e, KeyScope: sc, KeyWindow: 500 * ms, PriorityWeight: 1}
	}
	return Config{
		Instances: 2,
		Classes: []Class{class(Idempotent, KeyScopeAll), class(NonIdempotent, KeyScopeAll), class(IdempotencyKey, KeyScopeAll),
			class(IdempotencyKey, KeyScopeZone), class(IdempotencyKey, KeyScopeCell)},
		Tenants: []Tenant{{QuotaPerSecond: 100, Share: 1}},
		Limits: Limits{Cancellation: true, HealthChecks: true, HedgedRequests: true, MaxAttempts: 3, RetryAfter: true,
			MaxRetryAfter: time.Second, ConnectTimeout: 100 * ms, StreamsPerConn: 1},
		Prices:      Prices{HealthCheck: 0.01, CrossZone: 0.01},
		LoadReports: HealthCheckLoadReports,
		Rules: Rules{AnswerGrace: 8 * ms, DrainGrace: time.Second, PollInterval: 10 * time.Second, SlowStartFraction: 0.2,
			SlowStartDuration: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * ms},
		Tick: 2 * ms,
	}
}

const (
	idempotent = iota
	nonIdempotent
	keyedAll
	keyedZone
	keyedCell
)

// rig drives a Balancer and keeps what it did.
type rig struct {
	t    testing.TB
	b    *Balancer
	now  time.Duration
	last []Action
	logs []string
}

func newRig(t testing.TB, cfg Config, members ...Endpoint) *rig {
	t.Helper()
	b, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: time.Hour}
	r.handle(EndpointsListed{Kind: CachedList, Endpoints: members})
	return r
}

func (r *rig) handle(ev Event) []Action {
	r.last = r.b.Handle(r.now, ev, nil)
	return r.last
}

func (r *rig) advance(d time.Duration) { r.now += d }

// arrive takes a request to its end or its first send: where it is held for its probes, none of them answers.
func (r *rig) arrive(id string, class int) []Action {
	acts := r.handle(RequestArrived{Request: id, Class: class, TimeLeft: time.Second})
	if len(r.b.awaitingChecks) > 0 {
		r.last = append(acts, r.handle(TimerFired{ID: r.b.timers.lastID})...)
	}
	return r.last
}

func (r *rig) endAttempt(id string, attempt int, endpoint EndpointID, st Status) []Action {
	return r.handle(AttemptEnded{Request: id, Attempt: attempt, Endpoint: endpoint, Status: st,
		Elapsed: 20 * ms, Final: st == StatusSucceeded})
}

func ofKind(kind ActionKind, acts []Action) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

// forwardedTo returns the endpoint of the only Forward.
func (r *rig) forwardedTo() EndpointID {
	r.t.Helper()
	s := ofKind(Forward, r.last)
	if len(s) != 1 {
		r.t.Fatalf("%d forwards, want 1: %+v", len(s), r.last)
	}
	return s[0].Endpoint
}

func listedEndpoint(id EndpointID, zone, cell int) Endpoint {
	return Endpoint{ID: id, Zone: zone, Cell: cell, Weight: 1}
}

// Which attempts may be retried, and where, by the repeatability of the class.
func TestRetriesByRepeatability(t *testing.T) {
	members := []Endpoint{listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 1), listedEndpoint(3, 1, 2), listedEndpoint(4, 1, 2)}
	zoneOf := map[EndpointID]int{1: 0, 2: 0, 3: 1, 4: 1}
	cellOf := map[EndpointID]int{1: 0, 2: 1, 3: 2, 4: 2}
	for _, c := range []struct {
		name   string
		class  int
		status Status
		after  time.Duration
		resend bool
		final  ActionKind // when nothing is sent
	}{
		{"idempotent after a reset", idempotent, StatusConnectionLost, 0, true, 0},
		{"idempotent after an error", idempotent, StatusApplicationError, 0, true, 0},
		{"non-idempotent after a reset", nonIdempotent, StatusConnectionLost, 0, false, Fail},
		{"non-idempotent after an error", nonIdempotent, StatusApplicationError, 0, false, Fail},
		{"non-idempotent after a time-out", nonIdempotent, StatusTimedOut, 0, false, Fail},
		{"non-idempotent after a cancel", nonIdempotent, StatusCancelled, 0, false, Fail},
		{"non-idempotent, rejected", nonIdempotent, StatusRejected, 0, true, 0},
		{"non-idempotent without a connection", nonIdempotent, StatusConnectFailed, 0, true, 0},
		{"keyed by all in its window", keyedAll, StatusConnectionLost, 0, true, 0},
		{"keyed by all past its window", keyedAll, StatusConnectionLost, 600 * ms, false, Fail},
		{"keyed by all, rejected past its window", keyedAll, StatusRejected, 600 * ms, true, 0},
		{"keyed by zone in its window", keyedZone, StatusConnectionLost, 0, true, 0},
		{"keyed by zone past its window", keyedZone, StatusConnectionLost, 600 * ms, false, Fail},
		{"keyed by cell past its window", keyedCell, StatusConnectionLost, 600 * ms, false, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig(), members...)
			for i := range 40 { // earn a retry budget
				id := fmt.Sprint("warm", i)
				r.arrive(id, idempotent)
				r.endAttempt(id, 0, r.forwardedTo(), StatusSucceeded)
				r.advance(5 * ms)
			}
			r.arrive("x", c.class)
			first := r.forwardedTo()
			r.advance(c.after + ms)
			acts := r.endAttempt("x", 0, first, c.status)
			if !c.resend {
				if len(ofKind(Forward, acts)) != 0 || len(ofKind(c.final, acts)) != 1 {
					t.Fatalf("got %+v", acts)
				}
				return
			}
			again := r.forwardedTo()
			if again == first {
				t.Error("the retry went to the endpoint that had failed")
			}
			if c.class == keyedZone && zoneOf[again] != zoneOf[first] {
				t.Error("the retry left the zone that drops repeats")
			}
			if c.class == keyedCell && cellOf[again] != cellOf[first] {
				t.Error("the retry left the cell that drops repeats")
			}
		})
	}
}

// No other endpoint is in the cell: the request must fail, since a rejection would promise too much.
func TestCellKeyedRequestFailsOnceItMayHaveRun(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 1))
	r.arrive("x", keyedCell)
	acts := r.endAttempt("x", 0, r.forwardedTo(), StatusConnectionLost)
	if len(ofKind(Fail, acts)) != 1 || len(ofKind(Reject, acts)) != 0 || len(ofKind(Forward, acts)) != 0 {
		t.Fatalf("got %+v", acts)
	}
}

// Every request has its final answer at its deadline, exactly once.
func TestDeadlineEndsEveryRequest(t *testing.T) {
	for class, want := range map[int]ActionKind{idempotent: Reject, nonIdempotent: Fail, keyedZone: Fail} {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
		var mark uint64
		for _, a := range ofKind(SetTimer, r.arrive("x", class)) {
			if a.Delay == time.Second {
				mark = a.TimerID
			}
		}
		to := r.forwardedTo()
		r.advance(time.Second)
		acts := r.handle(TimerFired{ID: mark})
		if len(ofKind(want, acts)) != 1 {
			t.Errorf("class %d at its deadline: %+v", class, acts)
		}
		if acts = r.endAttempt("x", 0, to, StatusConnectionLost); len(acts) != 0 {
			t.Errorf("class %d after its answer: %+v", class, acts)
		}
		if acts = r.handle(TimerFired{ID: mark}); len(acts) != 0 {
			t.Errorf("a timer that fired twice: %+v", acts)
		}
	}
}

// An attempt that times out at the deadline leaves the final answer to the node.
func TestTimeoutAtTheDeadlineIsAnswered(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.arrive("x", nonIdempotent)
	to := r.forwardedTo()
	r.advance(time.Second)
	if acts := r.endAttempt("x", 0, to, StatusTimedOut); len(ofKind(Fail, acts)) != 1 || len(ofKind(Forward, acts)) != 0 {
		t.Fatalf("got %+v", acts)
	}
}

// A retry after an attempt that may have run has to start before the idempotency key expires; others start at any
// time.
func TestKeyedRetriesStartWithinTheKeyWindow(t *testing.T) {
	for class, want := range map[int]time.Duration{idempotent: 0, keyedAll: 300 * ms} {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		r.b.retryBudget.retries = 5
		first := ofKind(Forward, r.arrive("x", class))
		if len(first) != 1 || first[0].StartWithin != 0 {
			t.Fatalf("the first attempt: %+v", first)
		}
		r.advance(200 * ms)
		r.endAttempt("x", 0, first[0].Endpoint, StatusConnectionLost)
		if again := ofKind(Forward, r.last); len(again) != 1 || again[0].StartWithin != want {
			t.Errorf("class %d, the repeat: %+v", class, r.last)
		}
	}
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.b.retryBudget.retries = 5
	first := ofKind(Forward, r.arrive("x", keyedAll))
	r.advance(200 * ms)
	r.endAttempt("x", 0, first[0].Endpoint, StatusRejected) // it never ran: the window has not begun
	if again := ofKind(Forward, r.last); len(again) != 1 || again[0].StartWithin != 0 {
		t.Errorf("after one that never ran: %+v", r.last)
	}
}

// With no endpoint in the list every request is rejected at once.
func TestWithoutEndpointsRequestsAreRejected(t *testing.T) {
	r := newRig(t, testConfig())
	for class := range testConfig().Classes {
		if acts := r.arrive(fmt.Sprint(class), class); len(ofKind(Reject, acts)) != 1 {
			t.Errorf("class %d: %+v", class, acts)
		}
	}
}

// An endpoint that drains, is removed, or is missing in a complete list gets no requests.
func TestDrainingAndRemovedEndpointsGetNothing(t *testing.T) {
	for _, phase := range []Phase{Draining, Removed} {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		drained := listedEndpoint(1, 0, 0)
		drained.Phase = phase
		r.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{drained}})
		for i := range 20 {
			r.arrive(fmt.Sprint(i), idempotent)
			for _, a := range r.last {
				if a.Kind == Forward && a.Endpoint == 1 {
					t.Fatalf("phase %d: sent to it", phase)
				}
			}
		}
		r.handle(EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{listedEndpoint(3, 0, 0)}})
		r.advance(10 * time.Second)
		r.arrive("last", idempotent)
		if to := r.forwardedTo(); to != 3 {
			t.Fatalf("sent to %d, which the full list does not name", to)
		}
	}
}

// Discovery is watched soon after the start, and again after a failure; meanwhile the old list serves.
func TestFailedDiscoveryIsPolledAgain(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	first := ofKind(SetTimer, r.last)
	if len(first) != 1 || first[0].Delay > 100*ms || len(ofKind(WatchEndpoints, r.handle(TimerFired{ID: first[0].TimerID}))) != 1 {
		t.Fatal("no watch at the start of one node of two")
	}
	timers := ofKind(SetTimer, r.handle(DiscoveryFailed{}))
	if len(timers) != 1 || timers[0].Delay <= 0 || timers[0].Delay >= cfg.Rules.PollInterval {
		t.Fatalf("got %+v", r.last)
	}
	if len(ofKind(WatchEndpoints, r.handle(TimerFired{ID: timers[0].TimerID}))) != 1 {
		t.Fatal("not repeated")
	}
	r.arrive("x", idempotent)
	r.forwardedTo() // the old list still serves
}

// A fleet that starts at once, or whose calls fail at once, must not call discovery at once: failed calls have cost
// it their work, and those behind them fail too.
func TestFleetSpreadsItsPolls(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery, cfg.Instances = true, 80
	perSecond := make([][]int, 4) // calls by second: at the start, and after each failure in a row
	for i := range perSecond {
		perSecond[i] = make([]int, 16)
	}
	for node := range cfg.Instances {
		b, err := New(cfg, uint64(node))
		if err != nil {
			t.Fatal(err)
		}
		var ev Event = EndpointsListed{Kind: CachedList, Endpoints: []Endpoint{listedEndpoint(1, 0, 0)}}
		for i := range perSecond {
			timers := ofKind(SetTimer, b.Handle(time.Hour, ev, nil))
			if len(timers) != 1 {
				t.Fatalf("%+v", timers)
			}
			perSecond[i][int(timers[0].Delay/time.Second)]++
			if len(ofKind(WatchEndpoints, b.Handle(time.Hour, TimerFired{ID: timers[0].TimerID}, nil))) != 1 {
				t.Fatal("no call when it is due")
			}
			ev = DiscoveryFailed{}
		}
	}
	for i, calls := range perSecond {
		if most := slices.Max(calls); most > 32 {
			t.Errorf("after %d failures %d of 80 nodes call in one second: %v", i, most, calls)
		}
	}
}

// A started stream is not ended by the deadline, nor answered when it breaks.
func TestStreamHasNoDeadlineOnceStarted(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].Stream = true
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	timers := ofKind(SetTimer, r.arrive("x", idempotent))
	to := r.forwardedTo()
	r.handle(StreamStarted{Request: "x", Endpoint: to})
	r.advance(time.Second)
	for _, a := range timers {
		if acts := r.handle(TimerFired{ID: a.TimerID}); len(acts) != 0 {
			t.Fatalf("got %+v", acts)
		}
	}
	acts := r.handle(AttemptEnded{Request: "x", Endpoint: to, Status: StatusConnectionLost, Final: true})
	if len(acts) != 0 {
		t.Fatalf("a broken stream was answered: %+v", acts)
	}
}

// Events that name what the module does not know do nothing.
func TestUnknownNamesAreIgnored(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.arrive("x", idempotent)
	for _, ev := range []Event{
		AttemptEnded{Request: "nobody"},
		AttemptEnded{Request: "x", Attempt: 5},
		AttemptEnded{Request: "x", Attempt: -1},
		ClientDisconnected{Request: "nobody"},
		StreamStarted{Request: "nobody"},
		TimerFired{ID: 999},
		HealthChecked{Endpoint: 77, Load: Load{Has: HasActive, Active: 3}},
		RequestArrived{Request: "y", Class: 99},
		RequestArrived{Request: "y", Class: -1},
		RequestArrived{Request: "x", Class: idempotent},
		PeerMessage{Peer: 1, Payload: []byte{1, 2}},
	} {
		if acts := ofKind(Forward, r.handle(ev)); len(acts) != 0 {
			t.Errorf("%+v: %+v", ev, acts)
		}
	}
	if r.handle(ClientDisconnected{Request: "x"}); len(r.last) != 0 {
		t.Errorf("an answer after the client has disconnected: %+v", r.last)
	}
}

// A Config with negative counts or times is an error; an empty one is not.
func TestNewRejectsNegativeCounts(t *testing.T) {
	for _, cfg := range []Config{{Instances: -1}, {Index: -1}, {Limits: Limits{MaxAttempts: -1}},
		{Classes: []Class{{Deadline: -1}}}} {
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("accepted %+v", cfg)
		}
	}
	if _, err := New(Config{}, 1); err != nil {
		t.Errorf("an empty Config: %v", err)
	}
}

// world plays random events, odd orders included, and asserts the rules at every action.
type world struct {
	*rig
	rng      *rand.Rand
	cfg      Config
	list     map[EndpointID]Endpoint
	requests map[string]*trackedRequest
	pending  []trackedAttempt
	timers   []Action
	due      []time.Duration
	all      []Action
}

type trackedRequest struct {
	class    *Class
	deadline time.Duration
	attempts []trackedAttempt
	finished bool
}

type trackedAttempt struct {
	id      string
	attempt int
	to      Endpoint
	at      time.Duration
	mayRun  bool
	pending bool
}

func (w *world) step(ev Event) {
	w.handle(ev)
	for _, a := range w.last {
		w.all = append(w.all, a)
		w.check(a)
	}
}

func (w *world) check(a Action) {
	t := w.t
	t.Helper()
	r := w.requests[a.Request]
	switch a.Kind {
	case SetTimer:
		w.timers, w.due = append(w.timers, a), append(w.due, w.now+a.Delay)
	case Forward:
		m, known := w.list[a.Endpoint]
		if !known || m.Phase != Ready {
			t.Fatalf("sent to %d, which is not ready", a.Endpoint)
		}
		if r == nil || r.finished {
			t.Fatal("sent for a request that is over")
		}
		if a.Attempt != len(r.attempts) || a.Attempt >= w.cfg.Limits.MaxAttempts {
			t.Fatalf("attempt %d after %d", a.Attempt, len(r.attempts))
		}
		for _, s := range r.attempts {
			if s.pending && !w.cfg.Limits.HedgedRequests {
				t.Fatal("two attempts at once")
			}
			if !s.mayRun || r.class.Repeatability == Idempotent {
				continue
			}
			if r.class.Repeatability == NonIdempotent {
				t.Fatal("an unsafe request that may have run was sent again")
			}
			if w.now-s.at >= r.class.KeyWindow || r.class.KeyScope == KeyScopeZone && m.Zone != s.to.Zone ||
				r.class.KeyScope == KeyScopeCell && m.Cell != s.to.Cell {
				t.Fatal("a keyed request was sent outside its window or group")
			}
		}
		s := trackedAttempt{a.Request, a.Attempt, m, w.now, true, true}
		r.attempts, w.pending = append(r.attempts, s), append(w.pending, s)
	case Reject, Fail:
		if r == nil || r.finished {
			t.Fatal("answered twice")
		}
		r.finished = true
		for _, s := range r.attempts {
			if a.Kind == Reject && s.mayRun && r.class.Repeatability != Idempotent &&
				(r.class.Repeatability == NonIdempotent || r.class.KeyScope != KeyScopeAll) {
				t.Fatal("rejected though it may have run")
			}
		}
	}
}

func (w *world) fireTimers() {
	for i := 0; i < len(w.timers); i++ {
		if w.due[i] <= w.now {
			a := w.timers[i]
			w.timers = append(w.timers[:i:i], w.timers[i+1:]...)
			w.due = append(w.due[:i:i], w.due[i+1:]...)
			w.step(TimerFired{ID: a.TimerID})
			i = -1
		}
	}
}

// finish gives a random open attempt its outcome.
func (w *world) finish() {
	if len(w.pending) == 0 {
		return
	}
	i := w.rng.IntN(len(w.pending))
	s := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	st := Status(w.rng.IntN(int(StatusNotSent) + 1))
	if w.rng.IntN(4) > 0 {
		st = StatusSucceeded
	}
	r := w.requests[s.id]
	r.attempts[s.attempt].pending, r.attempts[s.attempt].mayRun = false, !st.NeverRan()
	if st == StatusSucceeded {
		r.finished = true
	}
	w.step(AttemptEnded{Request: s.id, Attempt: s.attempt, Endpoint: s.to.ID, Status: st,
		Elapsed: w.now - s.at, Final: r.finished, Load: w.load()})
}

func (w *world) load() Load {
	return Load{Has: LoadField(w.rng.IntN(64)), Active: w.rng.Float64() * 2, Waiting: w.rng.Float64()}
}

func (w *world) change() {
	m := listedEndpoint(EndpointID(1+w.rng.IntN(8)), w.rng.IntN(2), w.rng.IntN(3))
	if old, ok := w.list[m.ID]; ok {
		m.Zone, m.Cell, m.StartedAt = old.Zone, old.Cell, old.StartedAt
	}
	m.Phase = Phase(max(0, w.rng.IntN(6)-3))
	if w.rng.IntN(3) == 0 {
		m.StartedAt = w.now
	}
	kind := ListChanges
	switch w.rng.IntN(4) {
	case 2: // all but one, the absent one counting as removed
		kind = CompleteList
		delete(w.list, EndpointID(1+w.rng.IntN(8)))
	case 3:
		w.step(DiscoveryFailed{})
		return
	}
	w.list[m.ID] = m
	members := []Endpoint{m}
	for id := range EndpointID(9) {
		if old, ok := w.list[id]; ok && kind == CompleteList && id != m.ID {
			members = append(members, old)
		}
	}
	w.step(EndpointsListed{Kind: kind, Endpoints: members})
}

func playRandomEvents(t testing.TB, seed uint64, cfg Config, steps int) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	var members []Endpoint
	for id := range EndpointID(6) {
		members = append(members, listedEndpoint(id+1, int(id)%2, int(id)%3))
	}
	w := &world{rig: newRig(t, cfg, members...), rng: rng, cfg: cfg, list: map[EndpointID]Endpoint{},
		requests: map[string]*trackedRequest{}}
	for _, m := range members {
		w.list[m.ID] = m
	}
	for i := range steps {
		w.advance(time.Duration(rng.IntN(8)) * ms)
		w.fireTimers()
		switch k := rng.IntN(20); {
		case k < 7:
			id := fmt.Sprint("r", i)
			class := rng.IntN(len(cfg.Classes))
			budget := time.Duration(50+rng.IntN(1000)) * ms
			w.requests[id] = &trackedRequest{class: &cfg.Classes[class], deadline: w.now + budget}
			w.step(RequestArrived{Request: id, Class: class, TimeLeft: budget,
				Tenant: rng.IntN(3) - 1, ExpectedWork: time.Duration(rng.IntN(50)) * ms, RoutingKey: rng.Uint64N(9), HasRoutingKey: true})
		case k < 17:
			w.finish()
		case k == 17:
			w.step(HealthChecked{Endpoint: EndpointID(rng.IntN(9)), Status: Status(rng.IntN(8)), Load: w.load()})
		case k == 18 && rng.IntN(4) == 0:
			w.change()
		case k == 19 && rng.IntN(10) == 0:
			if len(w.pending) == 0 {
				continue
			}
			id := w.pending[rng.IntN(len(w.pending))].id
			w.requests[id].finished = true
			w.step(ClientDisconnected{Request: id})
		}
		for id, r := range w.requests {
			if !r.finished && w.now > r.deadline+cfg.Rules.AnswerGrace {
				t.Fatalf("seed %d: %s has no answer", seed, id)
			}
		}
	}
	return w.all
}

func configVariants() []Config {
	var out []Config
	for i := range 8 {
		cfg := testConfig()
		cfg.PollDiscovery = i&1 != 0
		cfg.Limits.HedgedRequests = i&2 == 0
		cfg.Limits.HealthChecks = i&4 == 0
		cfg.WarmKeys = i&4 != 0
		cfg.PriorityPerWork = i&1 != 0
		cfg.LoadReports = LoadReportSource(i % 3)
		out = append(out, cfg)
	}
	return out
}

// The rules on forwarding and answering hold over random events.
func TestRulesHoldOverRandomEvents(t *testing.T) {
	for i, cfg := range configVariants() {
		for seed := range uint64(6) {
			if acts := playRandomEvents(t, seed*8+uint64(i), cfg, 2000); len(ofKind(Forward, acts)) < 20 {
				t.Errorf("config %d: only %d sends", i, len(ofKind(Forward, acts)))
			}
		}
	}
}

// The same events with the same seed give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	for i, cfg := range configVariants() {
		if !reflect.DeepEqual(playRandomEvents(t, uint64(i), cfg, 2000), playRandomEvents(t, uint64(i), cfg, 2000)) {
			t.Errorf("config %d: two runs differ", i)
		}
	}
}
