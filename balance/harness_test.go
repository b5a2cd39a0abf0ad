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

// harness passes events to a Balancer and records its actions.
type harness struct {
	t    testing.TB
	b    *Balancer
	now  time.Duration
	last []Action // the actions of the last event
	logs []string // the log lines of recordLogs
}

// newHarness returns a harness whose Balancer has a list of the endpoints, on a clock that starts at one hour.
func newHarness(t testing.TB, cfg Config, endpoints ...Endpoint) *harness {
	t.Helper()
	b, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: time.Hour}
	h.handle(EndpointsListed{Kind: CachedList, Endpoints: endpoints})
	return h
}

// handle passes an event at the current time.
func (h *harness) handle(ev Event) []Action {
	h.last = h.b.Handle(h.now, ev, nil)
	return h.last
}

func (h *harness) advance(d time.Duration) { h.now += d }

// arrive passes a new request and returns the actions up to its final answer or its first attempt. If the request waits
// for health checks, no result arrives and the wait times out.
func (h *harness) arrive(id string, class int) []Action {
	acts := h.handle(RequestArrived{Request: id, Class: class, TimeLeft: time.Second})
	if len(h.b.awaitingChecks) > 0 {
		h.last = append(acts, h.handle(TimerFired{ID: h.b.timers.lastID})...)
	}
	return h.last
}

// endAttempt ends an attempt after 20 ms. A success is the final answer of the request.
func (h *harness) endAttempt(id string, attempt int, endpoint EndpointID, status Status) []Action {
	return h.handle(AttemptEnded{Request: id, Attempt: attempt, Endpoint: endpoint, Status: status,
		Elapsed: 20 * ms, Final: status == StatusSucceeded})
}

// request returns a request that is not registered in the Balancer, for calls to single rules. Tenant -1 has no quota.
func (h *harness) request(class, tenant int) *request {
	return &request{class: &h.b.cfg.Classes[class], stats: &h.b.latency.classes[class], tenant: tenant}
}

// ofKind returns the actions of one kind.
func ofKind(kind ActionKind, acts []Action) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

// forwardedTo returns the endpoint of the only Forward among the last actions.
func (h *harness) forwardedTo() EndpointID {
	h.t.Helper()
	forwards := ofKind(Forward, h.last)
	if len(forwards) != 1 {
		h.t.Fatalf("%d forwards, want 1: %+v", len(forwards), h.last)
	}
	return forwards[0].Endpoint
}

func listedEndpoint(id EndpointID, zone, cell int) Endpoint {
	return Endpoint{ID: id, Zone: zone, Cell: cell, Weight: 1}
}

// countForwarded passes n requests, one a millisecond, each answered before the next request. It returns the number of
// attempts at each endpoint.
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

// serve passes n requests of a class one after the other and returns the number of attempts at each endpoint. Each
// attempt ends after the latency of its endpoint: 0 means an error, and a negative value means no answer.
func (h *harness) serve(n, class int, latency func(EndpointID) time.Duration) map[EndpointID]int {
	h.t.Helper()
	count := map[EndpointID]int{}
	for i := range n {
		id := fmt.Sprint("serve", h.now, i)
		h.arrive(id, class)
		forwards, checks := ofKind(Forward, h.last), ofKind(HealthCheck, h.last)
		h.advance(10 * ms)
		for len(forwards) > 0 {
			a := forwards[0]
			count[a.Endpoint]++
			ev := AttemptEnded{Request: id, Attempt: a.Attempt, Endpoint: a.Endpoint}
			switch d := latency(a.Endpoint); {
			case d > 0:
				ev.Elapsed, ev.Final = d, true
			case d == 0:
				ev.Status = StatusApplicationError
			default:
				h.advance(500 * ms)
				ev.Status = StatusTimedOut
			}
			h.recordLogs(h.handle(ev))
			forwards = ofKind(Forward, h.last)
		}
		for _, a := range checks {
			h.handle(loadReported(a.Endpoint, h.b.endpoints[a.Endpoint].inFlight))
		}
	}
	return count
}

// recordLogs adds the log lines among the actions to h.logs.
func (h *harness) recordLogs(acts []Action) {
	for _, a := range ofKind(Log, acts) {
		h.logs = append(h.logs, a.Text)
	}
}

// logged reports whether a recorded log line contains the text.
func (h *harness) logged(text string) bool {
	for _, l := range h.logs {
		if strings.Contains(l, text) {
			return true
		}
	}
	return false
}

// setOtherNodesLoad sets the load of other nodes at an endpoint, both as reported and as expected.
func (h *harness) setOtherNodesLoad(id EndpointID, queue float64) {
	e := h.b.endpoints[id]
	e.reportedLoad, e.loadBias = queue, 0
	h.b.loads.zones[e.Zone] = loadAverage{mean: queue, reports: 1e9, updatedAt: h.now}
}

// in20ms is the latency of an endpoint that always answers in 20 ms.
func in20ms(EndpointID) time.Duration { return 20 * ms }

// loadReported returns the event of a health check that reports the number of active requests.
func loadReported(endpoint EndpointID, active float64) Event {
	return HealthChecked{Endpoint: endpoint, Load: Load{Has: HasActive, Active: active}}
}

// answerLate passes n requests whose answers all come after their latency objective.
func (h *harness) answerLate(n int) {
	for i := range n {
		id := fmt.Sprint("late", h.now, i)
		h.arrive(id, idempotent)
		if len(ofKind(Forward, h.last)) == 0 {
			continue
		}
		to := h.forwardedTo()
		h.b.requests[id].attempts[0].waitAtSendSeconds = 0.4 // the wait that made the answer late
		h.advance(400 * ms)
		h.recordLogs(h.handle(AttemptEnded{Request: id, Endpoint: to, Elapsed: 400 * ms, Final: true}))
	}
}

// timerID returns the id of the first timer among the last actions.
func (h *harness) timerID() uint64 {
	h.t.Helper()
	timers := ofKind(SetTimer, h.last)
	if len(timers) == 0 {
		h.t.Fatalf("no timer in %+v", h.last)
	}
	return timers[0].TimerID
}

// withIncompleteRequest returns a Balancer with an incomplete request and the endpoint to which it was forwarded.
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
	t.Fatal("the incomplete request was not forwarded")
	return nil, nil
}

// slowStartConfig has one class, and a slow start that begins at a fifth of the capacity and takes ten seconds.
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
