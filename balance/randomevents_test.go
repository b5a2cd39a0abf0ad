package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// eventPlayer passes random events to a Balancer, also in unusual orders, and checks the rules at every action.
type eventPlayer struct {
	*harness
	rng       *rand.Rand
	cfg       Config
	list      map[EndpointID]Endpoint
	requests  map[string]*trackedRequest
	pending   []trackedAttempt
	timers    []Action
	timersDue []time.Duration
	actions   []Action
}

// trackedRequest is the test's own record of a request.
type trackedRequest struct {
	class    *Class
	deadline time.Duration
	attempts []trackedAttempt
	finished bool
}

// trackedAttempt is the test's own record of an attempt.
type trackedAttempt struct {
	request    string
	attempt    int
	endpoint   Endpoint
	sentAt     time.Duration
	mayHaveRun bool
	pending    bool
}

// step passes an event to the Balancer and checks each action.
func (p *eventPlayer) step(ev Event) {
	p.handle(ev)
	for _, a := range p.last {
		p.actions = append(p.actions, a)
		p.check(a)
	}
}

// check checks the rules for one action, and records the timer, the attempt or the final answer that the action
// creates.
func (p *eventPlayer) check(a Action) {
	p.t.Helper()
	switch a.Kind {
	case SetTimer:
		p.timers, p.timersDue = append(p.timers, a), append(p.timersDue, p.now+a.Delay)
	case Forward:
		p.checkForward(a)
	case Reject, Fail:
		p.checkFinalAnswer(a)
	}
}

func (p *eventPlayer) checkForward(a Action) {
	p.t.Helper()
	endpoint, known := p.list[a.Endpoint]
	if !known || endpoint.Phase != Ready {
		p.t.Fatalf("forwarded to %d, which is not ready", a.Endpoint)
	}
	r := p.requests[a.Request]
	if r == nil || r.finished {
		p.t.Fatal("forwarded a request that is unknown or finished")
	}
	if a.Attempt != len(r.attempts) || a.Attempt >= p.cfg.Limits.MaxAttempts {
		p.t.Fatalf("attempt number %d after %d attempts", a.Attempt, len(r.attempts))
	}
	for _, earlier := range r.attempts {
		if earlier.pending && !p.cfg.Limits.HedgedRequests {
			p.t.Fatal("two attempts at the same time without permission for hedged requests")
		}
		if earlier.mayHaveRun {
			p.checkRepeat(r.class, &earlier, endpoint)
		}
	}
	next := trackedAttempt{
		request:    a.Request,
		attempt:    a.Attempt,
		endpoint:   endpoint,
		sentAt:     p.now,
		mayHaveRun: true,
		pending:    true,
	}
	r.attempts, p.pending = append(r.attempts, next), append(p.pending, next)
}

// checkRepeat checks that a request may be forwarded to an endpoint after an earlier attempt that may have run.
func (p *eventPlayer) checkRepeat(class *Class, earlier *trackedAttempt, endpoint Endpoint) {
	p.t.Helper()
	if class.Repeatability == Idempotent {
		return
	}
	if class.Repeatability == NonIdempotent {
		p.t.Fatal("a non-idempotent request that may have run was forwarded again")
	}
	if p.now-earlier.sentAt >= class.KeyWindow ||
		class.KeyScope == KeyScopeZone && endpoint.Zone != earlier.endpoint.Zone ||
		class.KeyScope == KeyScopeCell && endpoint.Cell != earlier.endpoint.Cell {
		p.t.Fatal("a keyed request was forwarded outside its window or scope")
	}
}

func (p *eventPlayer) checkFinalAnswer(a Action) {
	p.t.Helper()
	r := p.requests[a.Request]
	if r == nil || r.finished {
		p.t.Fatal("final answer for a request that is unknown or finished")
	}
	r.finished = true
	for _, earlier := range r.attempts {
		if a.Kind == Reject && earlier.mayHaveRun && r.class.Repeatability != Idempotent &&
			(r.class.Repeatability == NonIdempotent || r.class.KeyScope != KeyScopeAll) {
			p.t.Fatal("rejected a request that may have run and that the client may not repeat")
		}
	}
}

// fireTimers fires all timers that are due, also those that a fired timer sets.
func (p *eventPlayer) fireTimers() {
	for i := 0; i < len(p.timers); i++ {
		if p.timersDue[i] <= p.now {
			a := p.timers[i]
			p.timers = append(p.timers[:i:i], p.timers[i+1:]...)
			p.timersDue = append(p.timersDue[:i:i], p.timersDue[i+1:]...)
			p.step(TimerFired{ID: a.TimerID})
			i = -1
		}
	}
}

// endRandomAttempt passes a random outcome for a random pending attempt.
func (p *eventPlayer) endRandomAttempt() {
	if len(p.pending) == 0 {
		return
	}
	i := p.rng.IntN(len(p.pending))
	s := p.pending[i]
	p.pending = append(p.pending[:i:i], p.pending[i+1:]...)
	status := Status(p.rng.IntN(int(StatusNotSent) + 1))
	if p.rng.IntN(4) > 0 {
		status = StatusSucceeded
	}
	r := p.requests[s.request]
	r.attempts[s.attempt].pending, r.attempts[s.attempt].mayHaveRun = false, !status.NeverRan()
	if status == StatusSucceeded {
		r.finished = true
	}
	p.step(AttemptEnded{Request: s.request, Attempt: s.attempt, Endpoint: s.endpoint.ID, Status: status,
		Elapsed: p.now - s.sentAt, Final: r.finished, Load: p.randomLoad()})
}

func (p *eventPlayer) randomLoad() Load {
	return Load{Has: LoadField(p.rng.IntN(64)), Active: p.rng.Float64() * 2, Waiting: p.rng.Float64()}
}

// changeEndpoints changes a random endpoint by a new list, or lets a call to discovery fail.
func (p *eventPlayer) changeEndpoints() {
	listed := listedEndpoint(EndpointID(1+p.rng.IntN(8)), p.rng.IntN(2), p.rng.IntN(3))
	if old, ok := p.list[listed.ID]; ok {
		listed.Zone, listed.Cell, listed.StartedAt = old.Zone, old.Cell, old.StartedAt
	}
	listed.Phase = Phase(max(0, p.rng.IntN(6)-3))
	if p.rng.IntN(3) == 0 {
		listed.StartedAt = p.now
	}
	kind := ListChanges
	switch p.rng.IntN(4) {
	case 2: // a complete list without one endpoint, which counts as removed
		kind = CompleteList
		delete(p.list, EndpointID(1+p.rng.IntN(8)))
	case 3:
		p.step(DiscoveryFailed{})
		return
	}
	p.list[listed.ID] = listed
	endpoints := []Endpoint{listed}
	for id := range EndpointID(9) {
		if old, ok := p.list[id]; ok && kind == CompleteList && id != listed.ID {
			endpoints = append(endpoints, old)
		}
	}
	p.step(EndpointsListed{Kind: kind, Endpoints: endpoints})
}

// playRandomEvents passes random events to a Balancer, checks the rules and returns all actions.
func playRandomEvents(t testing.TB, seed uint64, cfg Config, steps int) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	var endpoints []Endpoint
	for id := range EndpointID(6) {
		endpoints = append(endpoints, listedEndpoint(id+1, int(id)%2, int(id)%3))
	}
	p := &eventPlayer{harness: newHarness(t, cfg, endpoints...), rng: rng, cfg: cfg, list: map[EndpointID]Endpoint{},
		requests: map[string]*trackedRequest{}}
	for _, listed := range endpoints {
		p.list[listed.ID] = listed
	}
	for i := range steps {
		p.advance(time.Duration(rng.IntN(8)) * ms)
		p.fireTimers()
		switch k := rng.IntN(20); {
		case k < 7:
			id := fmt.Sprint("r", i)
			class := rng.IntN(len(cfg.Classes))
			budget := time.Duration(50+rng.IntN(1000)) * ms
			p.requests[id] = &trackedRequest{class: &cfg.Classes[class], deadline: p.now + budget}
			p.step(RequestArrived{Request: id, Class: class, TimeLeft: budget,
				Tenant: rng.IntN(3) - 1, ExpectedWork: time.Duration(rng.IntN(50)) * ms,
				RoutingKey: rng.Uint64N(9), HasRoutingKey: true})
		case k < 17:
			p.endRandomAttempt()
		case k == 17:
			p.step(HealthChecked{Endpoint: EndpointID(rng.IntN(9)), Status: Status(rng.IntN(8)), Load: p.randomLoad()})
		case k == 18 && rng.IntN(4) == 0:
			p.changeEndpoints()
		case k == 19 && rng.IntN(10) == 0:
			if len(p.pending) == 0 {
				continue
			}
			id := p.pending[rng.IntN(len(p.pending))].request
			p.requests[id].finished = true
			p.step(ClientDisconnected{Request: id})
		}
		for id, r := range p.requests {
			if !r.finished && p.now > r.deadline+cfg.Rules.AnswerGrace {
				t.Fatalf("seed %d: %s has no final answer at its deadline", seed, id)
			}
		}
	}
	return p.actions
}

// configVariants returns settings that differ in the permissions and options that the Balancer reads.
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

// The rules for forwarding and for final answers hold for random events.
func TestRulesHoldOverRandomEvents(t *testing.T) {
	for i, cfg := range configVariants() {
		for seed := range uint64(6) {
			if acts := playRandomEvents(t, seed*8+uint64(i), cfg, 2000); len(ofKind(Forward, acts)) < 20 {
				t.Errorf("config %d: only %d attempts, want at least 20", i, len(ofKind(Forward, acts)))
			}
		}
	}
}

// The same events with the same seed give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	for i, cfg := range configVariants() {
		if !reflect.DeepEqual(playRandomEvents(t, uint64(i), cfg, 2000), playRandomEvents(t, uint64(i), cfg, 2000)) {
			t.Errorf("config %d: two runs with the same seed differ", i)
		}
	}
}
