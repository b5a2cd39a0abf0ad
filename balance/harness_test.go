package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig has one class of each repeatability and key scope.
func testConfig() Config {
	class := func(repeatability Repeatability, scope KeyScope) Class {
		return Class{
			LatencyObjective: 300 * ms,
			Deadline:         1200 * ms,
			Repeatability:    repeatability,
			KeyScope:         scope,
			KeyWindow:        500 * ms,
			PriorityWeight:   1,
		}
	}
	return Config{
		Instances: 2,
		Classes: []Class{
			idempotent:    class(Idempotent, KeyScopeAll),
			nonIdempotent: class(NonIdempotent, KeyScopeAll),
			keyedAll:      class(IdempotencyKey, KeyScopeAll),
			keyedZone:     class(IdempotencyKey, KeyScopeZone),
			keyedCell:     class(IdempotencyKey, KeyScopeCell),
		},
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

// Classes of testConfig.
const (
	idempotent = iota
	nonIdempotent
	keyedAll
	keyedZone
	keyedCell
)

// harness drives a Balancer and records what it did.
type harness struct {
	t    testing.TB
	b    *Balancer
	now  time.Duration
	last []Action // of the last event
	logs []string
}

func newHarness(t testing.TB, cfg Config, members ...Endpoint) *harness {
	t.Helper()
	b, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, b: b, now: time.Hour}
	r.handle(EndpointsListed{Kind: CachedList, Endpoints: members})
	return r
}

func (r *harness) handle(ev Event) []Action {
	r.last = r.b.Handle(r.now, ev, nil)
	return r.last
}

func (r *harness) advance(d time.Duration) { r.now += d }

// arrive takes a request to its final answer or its first attempt; health checks that it waits for have no result.
func (r *harness) arrive(id string, class int) []Action {
	acts := r.handle(RequestArrived{Request: id, Class: class, TimeLeft: time.Second})
	if len(r.b.awaitingChecks) > 0 {
		r.last = append(acts, r.handle(TimerFired{ID: r.b.timers.lastID})...)
	}
	return r.last
}

func (r *harness) endAttempt(id string, attempt int, endpoint EndpointID, st Status) []Action {
	return r.handle(AttemptEnded{Request: id, Attempt: attempt, Endpoint: endpoint, Status: st,
		Elapsed: 20 * ms, Final: st == StatusSucceeded})
}

// request returns a request that the Balancer does not know, for rules that judge one; tenant -1 has no quota.
func (r *harness) request(class, tenant int) *request {
	return &request{class: &r.b.cfg.Classes[class], stats: &r.b.latency.classes[class], tenant: tenant}
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
func (r *harness) forwardedTo() EndpointID {
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

// countForwarded counts what each endpoint gets of n requests, each answered at once.
func countForwarded(b *Balancer, from time.Duration, n int) map[EndpointID]int {
	got := map[EndpointID]int{}
	for i := range n {
		now := from + time.Duration(i)*time.Millisecond
		id := fmt.Sprint(now)
		for _, a := range b.Handle(now, RequestArrived{Request: id, TimeLeft: time.Second}, nil) {
			if a.Kind == Forward {
				got[a.Endpoint]++
				b.Handle(now, AttemptEnded{Request: id, Endpoint: a.Endpoint, Elapsed: 10 * time.Millisecond,
					Final: true}, nil)
			}
		}
	}
	return got
}

// serve sends n requests of a class one after the other and answers each after what took says; it
// returns how many went to each endpoint. A took of 0 means an error, below 0 no answer at all.
func (r *harness) serve(n, class int, took func(EndpointID) time.Duration) map[EndpointID]int {
	r.t.Helper()
	count := map[EndpointID]int{}
	for i := range n {
		id := fmt.Sprint("serve", r.now, i)
		r.arrive(id, class)
		sends, checks := ofKind(Forward, r.last), ofKind(HealthCheck, r.last)
		r.advance(10 * ms)
		for len(sends) > 0 {
			a := sends[0]
			count[a.Endpoint]++
			ev := AttemptEnded{Request: id, Attempt: a.Attempt, Endpoint: a.Endpoint}
			switch d := took(a.Endpoint); {
			case d > 0:
				ev.Elapsed, ev.Final = d, true
			case d == 0:
				ev.Status = StatusApplicationError
			default:
				r.advance(500 * ms)
				ev.Status = StatusTimedOut
			}
			r.recordLogs(r.handle(ev))
			sends = ofKind(Forward, r.last)
		}
		for _, a := range checks {
			r.handle(loadReported(a.Endpoint, r.b.endpoints[a.Endpoint].inFlight))
		}
	}
	return count
}

func (r *harness) recordLogs(acts []Action) {
	for _, a := range ofKind(Log, acts) {
		r.logs = append(r.logs, a.Text)
	}
}

func (r *harness) logged(text string) bool {
	for _, l := range r.logs {
		if strings.Contains(l, text) {
			return true
		}
	}
	return false
}

// setOtherNodesLoad makes the node believe that other nodes have so much at an endpoint, now and usually.
func (r *harness) setOtherNodesLoad(id EndpointID, queue float64) {
	e := r.b.endpoints[id]
	e.reportedLoad, e.loadBias = queue, 0
	r.b.loads.zones[e.Zone] = loadAverage{mean: queue, reports: 1e9, updatedAt: r.now}
}

func in20ms(EndpointID) time.Duration { return 20 * ms }

func loadReported(endpoint EndpointID, active float64) Event {
	return HealthChecked{Endpoint: endpoint, Load: Load{Has: HasActive, Active: active}}
}

// answerLate plays answers that all come after their latency objective.
func (r *harness) answerLate(n int) {
	for i := range n {
		id := fmt.Sprint("late", r.now, i)
		r.arrive(id, idempotent)
		if len(ofKind(Forward, r.last)) == 0 {
			continue
		}
		to := r.forwardedTo()
		r.b.requests[id].attempts[0].waitAtSendSeconds = 0.4 // what made it late
		r.advance(400 * ms)
		r.recordLogs(r.handle(AttemptEnded{Request: id, Endpoint: to, Elapsed: 400 * ms, Final: true}))
	}
}

// timerID returns the id of the first timer that the last actions set.
func (r *harness) timerID() uint64 {
	r.t.Helper()
	s := ofKind(SetTimer, r.last)
	if len(s) == 0 {
		r.t.Fatalf("no timer in %+v", r.last)
	}
	return s[0].TimerID
}

// withIncompleteRequest returns a Balancer with an incomplete request, and the endpoint that has it.
func withIncompleteRequest(t *testing.T) (*Balancer, *endpointState) {
	t.Helper()
	b, err := New(Config{
		Classes: []Class{{LatencyObjective: time.Second, Deadline: time.Second}},
		Limits:  Limits{MaxAttempts: 3},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(time.Second, EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}}, nil)
	out := b.Handle(time.Second, RequestArrived{Request: "a", TimeLeft: time.Second, Incomplete: true}, nil)
	for _, a := range out {
		if a.Kind == Forward {
			return b, b.endpoints[a.Endpoint]
		}
	}
	t.Fatal("not sent")
	return nil, nil
}

// slowStartConfig has one class, and a slow start of ten seconds from a fifth of the capacity.
func slowStartConfig() Config {
	return Config{
		Instances: 1,
		Classes:   []Class{{LatencyObjective: time.Second, Deadline: time.Second}},
		Rules: Rules{
			SlowStartFraction: 0.2,
			SlowStartDuration: 10 * time.Second,
			OverloadMultiple:  3,
			OverloadWindow:    time.Second,
		},
	}
}
