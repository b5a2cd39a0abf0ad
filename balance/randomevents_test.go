package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// world plays random events, odd orders included, and asserts the rules at every action.
type world struct {
	*harness
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
	request    string
	attempt    int
	endpoint   Endpoint
	sentAt     time.Duration
	mayHaveRun bool
	pending    bool
}

func (w *world) step(ev Event) {
	w.handle(ev)
	for _, a := range w.last {
		w.all = append(w.all, a)
		w.check(a)
	}
}

// check asserts the rules on one action, and notes what it begins or ends.
func (w *world) check(a Action) {
	w.t.Helper()
	switch a.Kind {
	case SetTimer:
		w.timers, w.due = append(w.timers, a), append(w.due, w.now+a.Delay)
	case Forward:
		w.checkForward(a)
	case Reject, Fail:
		w.checkFinalAnswer(a)
	}
}

func (w *world) checkForward(a Action) {
	w.t.Helper()
	endpoint, known := w.list[a.Endpoint]
	if !known || endpoint.Phase != Ready {
		w.t.Fatalf("forwarded to %d, which is not ready", a.Endpoint)
	}
	r := w.requests[a.Request]
	if r == nil || r.finished {
		w.t.Fatal("forwarded for a request that is over")
	}
	if a.Attempt != len(r.attempts) || a.Attempt >= w.cfg.Limits.MaxAttempts {
		w.t.Fatalf("attempt %d after %d", a.Attempt, len(r.attempts))
	}
	for _, earlier := range r.attempts {
		if earlier.pending && !w.cfg.Limits.HedgedRequests {
			w.t.Fatal("two attempts at once")
		}
		if earlier.mayHaveRun {
			w.checkRepeat(r.class, &earlier, endpoint)
		}
	}
	next := trackedAttempt{
		request:    a.Request,
		attempt:    a.Attempt,
		endpoint:   endpoint,
		sentAt:     w.now,
		mayHaveRun: true,
		pending:    true,
	}
	r.attempts, w.pending = append(r.attempts, next), append(w.pending, next)
}

// checkRepeat asserts that a request may go to an endpoint after an attempt that may have run.
func (w *world) checkRepeat(class *Class, earlier *trackedAttempt, endpoint Endpoint) {
	w.t.Helper()
	if class.Repeatability == Idempotent {
		return
	}
	if class.Repeatability == NonIdempotent {
		w.t.Fatal("a non-idempotent request that may have run was forwarded again")
	}
	if w.now-earlier.sentAt >= class.KeyWindow ||
		class.KeyScope == KeyScopeZone && endpoint.Zone != earlier.endpoint.Zone ||
		class.KeyScope == KeyScopeCell && endpoint.Cell != earlier.endpoint.Cell {
		w.t.Fatal("a keyed request was forwarded outside its window or scope")
	}
}

func (w *world) checkFinalAnswer(a Action) {
	w.t.Helper()
	r := w.requests[a.Request]
	if r == nil || r.finished {
		w.t.Fatal("answered twice")
	}
	r.finished = true
	for _, earlier := range r.attempts {
		if a.Kind == Reject && earlier.mayHaveRun && r.class.Repeatability != Idempotent &&
			(r.class.Repeatability == NonIdempotent || r.class.KeyScope != KeyScopeAll) {
			w.t.Fatal("rejected though it may have run")
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
	r := w.requests[s.request]
	r.attempts[s.attempt].pending, r.attempts[s.attempt].mayHaveRun = false, !st.NeverRan()
	if st == StatusSucceeded {
		r.finished = true
	}
	w.step(AttemptEnded{Request: s.request, Attempt: s.attempt, Endpoint: s.endpoint.ID, Status: st,
		Elapsed: w.now - s.sentAt, Final: r.finished, Load: w.load()})
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
	w := &world{harness: newHarness(t, cfg, members...), rng: rng, cfg: cfg, list: map[EndpointID]Endpoint{},
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
				Tenant: rng.IntN(3) - 1, ExpectedWork: time.Duration(rng.IntN(50)) * ms,
				RoutingKey: rng.Uint64N(9), HasRoutingKey: true})
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
			id := w.pending[rng.IntN(len(w.pending))].request
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
