package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// mark returns the mark of the timer set by the last actions.
func (r *rig) timerID() uint64 {
	r.t.Helper()
	s := ofKind(SetTimer, r.last)
	if len(s) == 0 {
		r.t.Fatalf("no timer in %+v", r.last)
	}
	return s[0].TimerID
}

// What fails at the deadline is answered, not retried: the client is gone by the time that a retry is done.
func TestNoRetryAtTheDeadline(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("x", idempotent)
	to := r.forwardedTo()
	r.advance(time.Second)
	acts := r.endAttempt("x", 0, to, StatusRejected)
	if len(ofKind(Forward, acts)) != 0 || len(ofKind(Reject, acts)) != 1 {
		t.Errorf("%+v", acts)
	}
}

// A retry goes to an endpoint that has not had the request; with none left the request is answered.
func TestRetriesGoToOtherEndpoints(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("x", idempotent)
	first := r.forwardedTo()
	r.endAttempt("x", 0, first, StatusRejected)
	second := r.forwardedTo()
	acts := r.endAttempt("x", 1, second, StatusRejected)
	if second == first || len(ofKind(Forward, acts)) != 0 || len(ofKind(Reject, acts)) != 1 {
		t.Errorf("to %d, then %d, then %+v", first, second, acts)
	}
}

// A long calm must not save up retries for an overload.
func TestRetryBudgetIsCapped(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(1000, idempotent, in20ms)
	if r.b.retryBudget.retries != maxRetryBudget {
		t.Errorf("%v retries saved up", r.b.retryBudget.retries)
	}
}

// Without permission nothing is checked, and credit for checks is bounded.
func TestHealthChecksNeedPermissionAndAreNotSavedUp(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.HealthChecks = false
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for i := range 50 {
		r.advance(time.Second)
		if p := ofKind(HealthCheck, r.arrive(fmt.Sprint(i), idempotent)); len(p) != 0 {
			t.Fatalf("checked without permission: %+v", p)
		}
	}
	r = newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for i := range 100 { // one tick
		r.arrive(fmt.Sprint("burst", i), nonIdempotent)
	}
	if r.b.healthChecks.credit > 2*maxHealthChecksPerTick {
		t.Errorf("%v checks saved up", r.b.healthChecks.credit)
	}
}

// An attempt that ends after its stream has begun is not retried: the client would get the stream twice.
func TestStartedStreamIsNotRetried(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("x", idempotent)
	to := r.forwardedTo()
	r.handle(StreamStarted{Request: "x", Endpoint: to})
	if acts := r.endAttempt("x", 0, to, StatusConnectionLost); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
}

// A request that waits for health checks is not forwarded when its client has disconnected, and the next one is.
func TestWaitingRequestOfADisconnectedClientIsNotForwarded(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 0 // each arrival may check several
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	r.handle(RequestArrived{Request: "left", Class: idempotent, TimeLeft: time.Second})
	r.handle(RequestArrived{Request: "stays", Class: idempotent, TimeLeft: time.Second})
	if len(r.b.awaitingChecks) != 2 {
		t.Fatalf("%d requests are waiting", len(r.b.awaitingChecks))
	}
	r.handle(ClientDisconnected{Request: "left"})
	if sent := ofKind(Forward, r.handle(TimerFired{ID: r.b.timers.lastID})); len(sent) != 1 || sent[0].Request != "stays" {
		t.Errorf("sent %+v", sent)
	}
	if len(r.b.requests) != 1 {
		t.Errorf("%d requests are remembered", len(r.b.requests))
	}
}

// Requests are forgotten once they are over, or a node's memory grows without a bound.
func TestFinishedRequestsAreForgotten(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(20, idempotent, in20ms)
	r.arrive("gone", idempotent)
	to := r.forwardedTo()
	r.handle(ClientDisconnected{Request: "gone"})
	r.endAttempt("gone", 0, to, StatusTimedOut)
	r.arrive("late", nonIdempotent)
	to, mark := r.forwardedTo(), r.timerID()
	r.advance(time.Second)
	r.handle(TimerFired{ID: mark})
	r.endAttempt("late", 0, to, StatusTimedOut)
	if n := len(r.b.requests); n != 0 {
		t.Errorf("%d requests are remembered", n)
	}
}

// Discovery may fail for minutes: one line says so.
func TestFailedDiscoveryIsLoggedOnce(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	for range 10 {
		r.keepLogs(r.handle(DiscoveryFailed{}))
	}
	if len(r.logs) != 1 {
		t.Errorf("%q", r.logs)
	}
}

// A restarted endpoint is a new process: what the old one was sent in slow start is not the new one's, nor its
// speed.
func TestRestartResetsTheEndpointState(t *testing.T) {
	old := listedEndpoint(1, 0, 0)
	old.StartedAt = time.Hour
	r := newRig(t, testConfig(), old, listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	s := r.b.endpoints[1]
	s.slowStartCreditSeconds, s.servedWorkSeconds, s.meanLatencySeconds = -9, 9, 9
	old.StartedAt = r.now
	r.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{old}})
	if s.slowStartCreditSeconds < 0 || s.servedWorkSeconds != 0 || s.meanLatencySeconds != 0 || s.knownSince != r.now {
		t.Errorf("%+v", *s)
	}
}

// The warm throughput is that of endpoints that were warm and known for the entire window, and fades in a lull.
func TestWarmThroughput(t *testing.T) {
	starting := listedEndpoint(1, 0, 0)
	starting.StartedAt = time.Hour
	r := newRig(t, testConfig(), starting, listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	roll := func(work float64) float64 {
		for _, s := range r.b.endpoints {
			s.servedWorkSeconds = work
		}
		r.b.endpoints[1].servedWorkSeconds = 1000 * work
		r.b.endpoints[3].servedWorkSeconds, r.b.endpoints[3].knownSince = 1000*work, r.now+ms // came just now
		r.advance(1500 * ms)
		r.handle(TimerFired{})
		return r.b.slowStart.warmThroughput
	}
	r.advance(1500 * ms)
	r.handle(TimerFired{})
	high := roll(3)
	if math.Abs(high-2) > 0.01 {
		t.Errorf("rate %v, want 3 in 1.5 s", high)
	}
	if low := roll(0); low != warmThroughputDecay*high {
		t.Errorf("rate %v after a lull, %v before", low, high)
	}
}

// Priority moves the bound within limits: what is worth next to nothing is still served while there is capacity.
func TestPriorityFactorIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].PriorityWeight, cfg.Classes[nonIdempotent].PriorityWeight = 1000, 0.001
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(50, nonIdempotent, in20ms)
	usual := r.b.queueBudget.fraction * max(r.b.slackSeconds(), r.b.latency.meanUnloadedSeconds())
	for class, want := range map[int]float64{idempotent: maxPriorityFactor * usual, nonIdempotent: usual / maxPriorityFactor} {
		got := r.b.maxWaitSeconds(&request{class: &cfg.Classes[class], stats: &r.b.latency.classes[class], tenant: -1})
		if math.Abs(got-want) > 1e-9 && class == nonIdempotent || got > want+1e-9 {
			t.Errorf("class %d: bound %v, want %v", class, got, want)
		}
	}
}

// With all endpoints slower than the latency objective there is no slack, and rejecting all would leave them idle.
func TestSlowEndpointsStillGetAQueue(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(200, idempotent, func(EndpointID) time.Duration { return 600 * ms })
	got := r.b.maxWaitSeconds(&request{class: &r.b.cfg.Classes[idempotent], stats: &r.b.latency.classes[idempotent], tenant: -1})
	if r.b.slackSeconds() != 0 || got < minQueueBudget*0.5 {
		t.Errorf("slack %v, bound %v s where answers take 0.6 s", r.b.slackSeconds(), got)
	}
}

// One unlucky first answer must not pass for the unloaded latency of its class.
func TestFirstAnswersCountByTheirMean(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(1, idempotent, func(EndpointID) time.Duration { return 280 * ms })
	r.serve(9, idempotent, in20ms)
	if base := r.b.latency.classes[idempotent].unloadedSeconds; math.Abs(base-0.046) > 0.001 {
		t.Errorf("%v s, the mean is 0.046", base)
	}
}

// A report that is repeated within the interval tells nothing new, and must not weigh again.
func TestRepeatedReportsAreNotNews(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	for i := range 20 {
		r.advance(500 * ms)
		r.handle(loadReported(1, float64(i%2)))
	}
	r.handle(loadReported(1, 9))
	was := r.b.expectedLoad(r.b.endpoints[1])
	for range 20 {
		r.advance(ms)
		r.handle(loadReported(1, 9))
	}
	if o := r.b.expectedLoad(r.b.endpoints[1]); o != was {
		t.Errorf("usual went from %v to %v by repeats", was, o)
	}
}

// An endpoint that lost everything it was sent looks idle: with nothing in flight and no sign since, that is a
// failure.
func TestTimeoutWithoutAnySignIsAFailure(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("lost", nonIdempotent)
	r.advance(time.Second)
	r.endAttempt("lost", 0, 1, StatusTimedOut)
	if f := r.b.endpoints[1].failureRate; f != 1 {
		t.Errorf("failure rate %v", f)
	}
}

// Silence counts while something is in flight, beyond what the queue explains.
func TestSilenceRaisesTheCost(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("x", idempotent)
	s := r.b.endpoints[1]
	was := r.b.costSeconds(s)
	r.advance(10 * ms)
	r.handle(TimerFired{})
	if c := r.b.costSeconds(s); c != was {
		t.Errorf("cost %v after 10 ms, %v at once", c, was)
	}
	r.advance(time.Second)
	r.handle(TimerFired{})
	if c := r.b.costSeconds(s); c < was+0.9 {
		t.Errorf("cost %v after a second of silence, %v at once", c, was)
	}
}

// A caller whose clock goes back, or that reports an outcome twice, must not make the module panic, forward twice or
// count below zero.
func TestMisuseIsHarmless(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("x", nonIdempotent)
	to := r.forwardedTo()
	r.advance(-30 * time.Minute)
	r.endAttempt("x", 0, to, StatusSucceeded)
	for _, acts := range [][]Action{
		r.endAttempt("x", 0, to, StatusConnectFailed),
		r.endAttempt("x", 5, to, StatusSucceeded),
		r.endAttempt("x", -1, to, StatusSucceeded),
		r.handle(TimerFired{ID: 1 << 40}),
		r.handle(nil),
	} {
		if len(acts) != 0 {
			t.Errorf("%+v", acts)
		}
	}
	for range 50 {
		r.serve(1, idempotent, in20ms)
	}
	if r.b.now < time.Hour {
		t.Errorf("the clock went back to %v", r.b.now)
	}
	for id, s := range r.b.endpoints {
		if s.inFlight != 0 || math.IsNaN(r.b.costSeconds(s)) {
			t.Errorf("endpoint %d: %+v", id, *s)
		}
	}
}

// A heavy request is late whatever the queue: only what the queue made late lowers the queue budget.
func TestOnlyLatenessByTheQueueLowersTheQueueBudget(t *testing.T) {
	for met, tightens := range map[float64]bool{0: false, 12: true} {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
		r.serve(100, idempotent, in20ms)
		s := r.b.endpoints[1]
		s.meanLatencySeconds, s.meanQueueAtArrival = 0.02*(met+1), met
		r.arrive("x", idempotent)
		r.forwardedTo()
		r.b.requests["x"].attempts[0].waitAtSendSeconds = met * r.b.serviceSeconds(s)
		r.b.queueBudget.fraction = 0.3
		r.advance(400 * ms)
		r.handle(AttemptEnded{Request: "x", Endpoint: 1, Elapsed: 400 * ms, Final: true})
		if got := r.b.queueBudget.fraction < 0.3; got != tightens || r.b.queueBudget.fraction > 0.3 {
			t.Errorf("queue at arrival %v: queue budget from 0.3 to %v", met, r.b.queueBudget.fraction)
		}
	}
}

// A fleet of nodes that each send just one request to an endpoint in slow start can overload it: in any window all
// of them together stay within its budget, and still some of them send.
func TestManyNodesShareTheSlowStartBudget(t *testing.T) {
	for _, known := range []bool{false, true} { // before and after the first answers
		cfg := testConfig()
		cfg.Instances = 200
		cfg.Rules.SlowStartFraction = 0.9 // what it can do is then known
		got := make([]int, 4)
		for node := range cfg.Instances {
			b, _ := New(cfg, uint64(node))
			r := &rig{t: t, b: b, now: time.Hour}
			r.handle(EndpointsListed{Kind: CachedList, Endpoints: []Endpoint{listedEndpoint(2, 0, 0)}})
			if known {
				r.serve(20, idempotent, in20ms)
			}
			b.slowStart.warmThroughput = 0 // it does little for each of so many nodes
			starting := listedEndpoint(1, 0, 0)
			starting.StartedAt = r.now
			r.handle(EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{starting}})
			for i := range 200 * len(got) {
				if acts := ofKind(Forward, r.arrive(fmt.Sprint("c", i), idempotent)); len(acts) > 0 {
					got[i/200]++
					r.endAttempt(fmt.Sprint("c", i), 0, 1, StatusSucceeded)
				}
				r.advance(1500 * ms / 200)
			}
		}
		// It gets one second of work a second done, a request of 20 ms (30 when not known yet) after another.
		for window, n := range got {
			if n == 0 || float64(n)*0.02 > 0.6*cfg.Rules.OverloadMultiple*1.5 {
				t.Errorf("window %d, answers known %v: %d requests", window, known, n)
			}
		}
	}
}

// The credit of an endpoint in slow start is used while warm ones have a queue, though it is slower: it would stay
// cold without. What it would answer too late goes to a warm one.
func TestSlowStartCreditIsUsed(t *testing.T) {
	for hint, want := range map[time.Duration]EndpointID{10 * ms: 2, 100 * ms: 1} {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
		r.serve(100, idempotent, in20ms)
		r.advance(3 * time.Second)
		r.serve(100, idempotent, in20ms)
		r.setOtherNodesLoad(1, 1) // no more than is usual
		starting := listedEndpoint(2, 0, 0)
		starting.StartedAt = r.now - r.b.cfg.Rules.SlowStartDuration/4
		r.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{starting}})
		r.b.endpoints[2].slowStartCreditSeconds = 1
		r.handle(RequestArrived{Request: "x", Class: idempotent, TimeLeft: time.Second, ExpectedWork: hint})
		if len(r.b.awaitingChecks) > 0 {
			r.handle(TimerFired{ID: r.b.timers.lastID})
		}
		if to := r.forwardedTo(); to != want {
			t.Errorf("work of %v went to %d, want %d", hint, to, want)
		}
	}
}

// A complete list names every endpoint there is, also beyond this node's subset: one that it does not name is
// removed, and must not come back into the subset.
func TestCompleteListRemovesEndpointsOutsideTheSubset(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 100
	all := make([]Endpoint, 40)
	for i := range all {
		all[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newRig(t, cfg, all...)
	if len(r.b.usable) != 4 { // of 40, so that each is in the subsets of 8 of 100 nodes
		t.Fatalf("uses %d endpoints", len(r.b.usable))
	}
	var others []Endpoint
	for _, m := range all {
		if !slices.Contains(r.b.usable, r.b.endpoints[m.ID]) && len(others) < 3 {
			others = append(others, m)
		}
	}
	r.handle(EndpointsListed{Kind: CompleteList, Endpoints: others})
	r.handle(EndpointsListed{Kind: CompleteList, Endpoints: others[:1]})
	r.advance(2 * time.Second)
	for i := range 50 {
		r.arrive(fmt.Sprint(i), idempotent)
		for _, a := range ofKind(Forward, r.last) {
			if a.Endpoint != others[0].ID {
				t.Fatalf("sent to %d, which was removed", a.Endpoint)
			}
		}
	}
}

// A reported load fades, as the queue turns over, into what is expected at that endpoint.
func TestReportedLoadFadesIntoTheExpectedLoad(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	s := r.b.endpoints[1]
	r.setOtherNodesLoad(1, 2)
	s.reportedLoad, s.reportedAt = 10, r.now
	r.handle(TimerFired{})
	if e := r.b.queueEstimate(s); e != 10 {
		t.Errorf("queue estimate %v just after a report of 10", e)
	}
	r.advance(10 * time.Second)
	r.handle(TimerFired{})
	if e := r.b.queueEstimate(s); e > 2.2 {
		t.Errorf("queue estimate %v ten seconds later, 2 is expected", e)
	}
}

// A node without answers bounds waits too, or all nodes that start together fill every endpoint.
func TestNewNodeBoundsWaits(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	if s := r.b.slackSeconds(); math.IsInf(s, 1) {
		t.Errorf("slack %v without an answer", s)
	}
}

// A node that starts knows nothing, and in a large fleet all that start together would fill the endpoints before a
// dear health check is due: until it has checked as many times as it has endpoints, each arrival checks.
func TestNewNodeChecksAtEachArrival(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 1000 * healthCheckSpend
	members := make([]Endpoint, 5)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newRig(t, cfg, members...)
	checks := 0
	for i := range 100 {
		r.advance(10 * ms)
		checks += len(ofKind(HealthCheck, r.arrive(fmt.Sprint(i), idempotent)))
	}
	if checks < 5 || checks > 6 {
		t.Errorf("%d checks for 5 endpoints", checks)
	}
}

// A node of a large fleet sees few answers a second, and must notice overload in as many seconds as a busy one.
func TestQueueBudgetFollowsTimeNotTheNumberOfAnswers(t *testing.T) {
	after := func(gap time.Duration) float64 {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
		r.b.queueBudget.answerGapSeconds = gap.Seconds()
		for range int(time.Second / gap) {
			r.advance(gap)
			r.handle(TimerFired{})
			r.b.adjustQueueBudget(StatusSucceeded, ms, 1)
		}
		return r.b.queueBudget.fraction
	}
	if busy, idle := after(20*ms), after(50*ms); busy > 0.2 || idle > busy*1.1 {
		t.Errorf("after a second of lateness queue budget %v with 50 answers a second, %v with 20", busy, idle)
	}
}

// Nodes use different subsets, or some endpoints get all and others none; an outlier does not count as one of the
// subset, or a zone that fails leaves a node without any endpoint.
func TestSubsetsDifferAndGrowByOutliers(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 100
	members := make([]Endpoint, 40)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	users := map[EndpointID]int{}
	for node := range cfg.Instances {
		cfg.Index = node
		r := newRig(t, cfg, members...)
		for _, s := range r.b.usable {
			users[s.ID]++
		}
		for _, s := range r.b.usable[:3] {
			s.outlier = true
		}
		r.handle(EndpointsListed{Kind: ListChanges})
		counted := 0
		for _, s := range r.b.usable {
			if !s.outlier {
				counted++
			}
		}
		if counted != 4 {
			t.Errorf("node %d keeps to %d endpoints that are no outliers", node, counted)
		}
	}
	for _, m := range members {
		if n := users[m.ID]; n < nodesPerEndpoint/4 || n > 3*nodesPerEndpoint {
			t.Errorf("%d of 100 nodes use endpoint %d", n, m.ID)
		}
	}
}

// A node must meet each endpoint of its subset often: one of a fleet of 80 with 19 requests a second has some two
// answers a second of each in its own zone, and not one in three seconds.
func TestEndpointsOfASubsetAreMetOften(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Instances = nil, 80
	var members []Endpoint
	for i := range 60 {
		members = append(members, listedEndpoint(EndpointID(i+1), i%3, 0))
	}
	r := newRig(t, cfg, members...)
	r.b.slowStart.warmThroughput = 1
	for range 3 {
		r.serve(19, idempotent, in20ms)
		r.advance(time.Second)
	}
	if n := len(r.b.usable); n < 6 || n > 12 {
		t.Errorf("19 requests a second go to %d endpoints", n)
	}
}

// Under overload many endpoints seem to fail, and clients retry: neither may spread a node over the fleet.
func TestOverloadDoesNotGrowTheSubset(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Instances = nil, 80
	members := make([]Endpoint, 40)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newRig(t, cfg, members...)
	size := len(r.b.usable)
	for range 5 {
		for _, s := range r.b.usable {
			s.outlier = true
		}
		r.handle(EndpointsListed{Kind: ListChanges})
	}
	if n := len(r.b.usable); n > 2*size {
		t.Errorf("%d endpoints beside a subset of %d", n-size, size)
	}
	r = newRig(t, cfg, members...)
	for i := range 1000 {
		r.advance(5 * ms)
		r.b.usable = nil // nothing is sent
		r.arrive(fmt.Sprint(i), idempotent)
	}
	if n := len(r.b.usable); n > size {
		t.Errorf("a subset of %d endpoints for requests that are rejected", n)
	}
}

// Where no quotas tell the rate, the subset follows what arrives: a node of a large fleet with some requests a
// second would meet each of all endpoints once in seconds, and know none of them.
func TestSubsetSizeFollowsTheRequestRate(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Instances = nil, 80
	members := make([]Endpoint, 40)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	for _, c := range []struct{ perSecond, least, most int }{
		{4, 4, 4}, {60, 7, 10}, {300, 40, 40},
	} {
		r := newRig(t, cfg, members...)
		for i := range 10 * c.perSecond {
			r.advance(time.Second / time.Duration(c.perSecond))
			r.arrive(fmt.Sprint(i), idempotent)
			for _, a := range ofKind(Forward, r.last) {
				r.endAttempt(a.Request, 0, a.Endpoint, StatusSucceeded)
			}
		}
		if n := len(r.b.usable); n < c.least || n > c.most {
			t.Errorf("%d requests a second: uses %d endpoints", c.perSecond, n)
		}
	}
}

// The first reports tell of all endpoints that have not reported yet, at once and not by a twentieth each.
func TestFirstReportsTellOfEndpointsNotSeen(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.advance(time.Second)
	r.handle(loadReported(1, 10))
	if o := r.b.otherNodesLoad(r.b.endpoints[2]); o < 5 {
		t.Errorf("%v at an endpoint without reports, 10 at the first one with one", o)
	}
}

// Where health checks are cheap and fresh a request waits for those of its own tick: in a large fleet all older
// queue estimates are out of date, and the smallest of them is the most outdated one.
func TestArrivalsWaitForTheirHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 0
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	r.handle(RequestArrived{Request: "x", TimeLeft: time.Second})
	checks := ofKind(HealthCheck, r.last)
	if len(checks) != maxHealthChecksPerTick || len(ofKind(Forward, r.last)) != 0 {
		t.Fatalf("%d checks and %d forwards at the arrival", len(checks), len(ofKind(Forward, r.last)))
	}
	r.advance(ms)
	for _, id := range []EndpointID{1, 3} {
		if r.handle(loadReported(id, 4)); len(ofKind(Forward, r.last)) != 0 {
			t.Fatal("forwarded before all checks were back")
		}
	}
	if r.handle(loadReported(2, 0)); r.forwardedTo() != 2 {
		t.Errorf("sent to %d, but 2 is idle", r.forwardedTo())
	}
	// A check without a result must not delay it for long, nor past its deadline.
	r.advance(time.Second)
	r.handle(RequestArrived{Request: "y", TimeLeft: time.Second})
	timers := ofKind(SetTimer, r.last)
	if wait := timers[len(timers)-1]; wait.Delay > 15*ms {
		t.Errorf("delayed for %v", wait.Delay)
	} else if r.handle(TimerFired{ID: wait.TimerID}); len(ofKind(Forward, r.last)) != 1 {
		t.Error("not forwarded when the wait ended")
	}
	r.handle(RequestArrived{Request: "z", TimeLeft: time.Second})
	r.handle(ClientDisconnected{Request: "z"})
	for _, id := range []EndpointID{1, 2, 3} {
		if r.handle(loadReported(id, 0)); len(ofKind(Forward, r.last)) != 0 {
			t.Error("forwarded for a client that has disconnected")
		}
	}
}

// Health checks a few seconds apart can't tell how often an endpoint reports: the same one is checked again at once,
// or every report passes for seconds old and counts for little.
func TestReportIntervalIsLearnedByRepeatedChecks(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	next := 0.0
	for i := range 60 {
		r.advance(3 * time.Second)
		r.handle(loadReported(1, 3+float64(i%2)))
		for marks := ofKind(SetTimer, r.last); len(marks) > 0; marks = ofKind(SetTimer, r.last) {
			r.advance(marks[0].Delay)
			if r.handle(TimerFired{ID: marks[0].TimerID}); len(ofKind(HealthCheck, r.last)) != 1 {
				t.Fatal("not repeated")
			}
			next++
			r.handle(loadReported(1, 3+float64(int(next)%2)))
		}
	}
	if next == 0 || next > maxRepeatChecks || r.b.reportInterval.seconds > 0.1 {
		t.Errorf("checked again %v times, reports taken to be %v s apart", next, r.b.reportInterval.seconds)
	}
}

// With hundreds of endpoints a node meets each of them now and then: the mean service time is learned from all
// answers, or it stays at a first guess for minutes and queues of any length look short.
func TestMeanServiceTimeIsLearnedFromAnyAnswer(t *testing.T) {
	members := make([]Endpoint, 200)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newRig(t, testConfig(), members...)
	r.serve(40, idempotent, func(EndpointID) time.Duration { return 100 * ms })
	if r.b.latency.meanServiceSeconds < 0.08 {
		t.Errorf("service time %v after 40 answers of 100 ms", r.b.latency.meanServiceSeconds)
	}
}

// A node that starts among queues must not take its first answers for the unloaded latency.
func TestWorkHintStandsForTheUnloadedLatency(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.b.loads.fleet.mean, r.b.queueBudget.fraction = 5, maxQueueBudget
	r.advance(time.Second)
	r.handle(RequestArrived{Request: "x", ExpectedWork: 20 * ms, TimeLeft: time.Second})
	r.handle(AttemptEnded{Request: "x", Endpoint: 1, Elapsed: 200 * ms, Final: true})
	if base := r.b.latency.classes[idempotent].unloadedSeconds; base < 0.015 || base > 0.025 {
		t.Errorf("unloaded latency %v by an answer of 200 ms behind five others, hinted at 20 ms", base)
	}
}

// Queue estimates are old in a large fleet, and a queue that none shows is met all the same: an answer that took
// many times its work hint must not pass for the work, or the bound on waits grows with the queue until endpoints
// are overloaded. An endpoint that is slower than the hint says still counts, and so does any answer without a hint.
func TestAnswersFarBeyondTheirHintMetAQueue(t *testing.T) {
	for name, tc := range map[string]struct {
		hint, spent time.Duration
		want        float64 // unloaded latency after 200 such answers, seconds
	}{
		"as hinted":          {hint: 20 * ms, spent: 25 * ms, want: 0.025},
		"a slow endpoint":    {hint: 20 * ms, spent: 38 * ms, want: 0.038},
		"out of a queue":     {hint: 20 * ms, spent: 150 * ms, want: 0.020},
		"slow, without hint": {spent: 150 * ms, want: 0.150},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
			for i := range 200 {
				r.advance(time.Second)
				id := fmt.Sprint(i)
				r.handle(RequestArrived{Request: id, ExpectedWork: tc.hint, TimeLeft: time.Second})
				r.handle(AttemptEnded{Request: id, Endpoint: 1, Elapsed: tc.spent, Final: true})
			}
			if base := r.b.latency.classes[idempotent].unloadedSeconds; math.Abs(base-tc.want) > 0.1*tc.want {
				t.Errorf("unloaded latency %.4f s, want %.4f", base, tc.want)
			}
		})
	}
}

// A class whose latency objective is no longer than its work has no slack of its own, but leaves that of the others.
func TestOneTightClassDoesNotRejectAll(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[nonIdempotent].LatencyObjective = 20 * ms
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(50, nonIdempotent, func(EndpointID) time.Duration { return 30 * ms })
	if s := r.b.slackSeconds(); s < 0.1 {
		t.Errorf("slack %v", s)
	}
}

// A quota spread over hundreds of nodes is less than one request a second at each: two at once are chance.
func TestSmallQuotaAllowsABurst(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.OverQuotaValue = 500, 0.05
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	req := &request{class: &cfg.Classes[idempotent], stats: &r.b.latency.classes[idempotent]}
	r.serve(3, idempotent, in20ms)
	if l := r.b.priorityFactor(req); l != 1 {
		t.Errorf("priority factor %v at the fourth request", l)
	}
	r.serve(3, idempotent, in20ms)
	if l := r.b.priorityFactor(req); l > 0.5 {
		t.Errorf("priority factor %v at the seventh", l)
	}
}

// A node that rejects everything has no answers to correct what it believes: one in maxProbeAdmissionInterval is
// forwarded all the same. Where they wait long that is all, or overload would get through; where they don't the node
// stops rejecting.
func TestRejectionsSendProbeAdmissions(t *testing.T) {
	for name, c := range map[string]struct {
		spent       time.Duration
		st          Status
		least, most int
	}{
		"right to reject": {spent: 800 * ms, least: 10, most: 10},
		"rejected":        {st: StatusRejected, least: 10, most: 12},
		"wrong":           {spent: 20 * ms, least: 100, most: 200},
	} {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
		r.serve(50, idempotent, in20ms)
		sent, all := 0, int(10*maxProbeAdmissionInterval)
		for i := range all {
			r.b.loads.zones[0] = loadAverage{mean: 50, reports: 1e9, updatedAt: r.now} // whatever answers say
			r.advance(10 * ms)
			id := fmt.Sprint(i)
			if r.arrive(id, idempotent); len(ofKind(Forward, r.last)) > 0 {
				sent++
				r.handle(AttemptEnded{Request: id, Endpoint: 1, Elapsed: c.spent, Status: c.st, Final: c.st == StatusSucceeded})
			}
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%s: %d of %d sent to an endpoint that seems full", name, sent, all)
		}
	}
}

// The clock may start anywhere: the time before the first answer is no gap between answers.
func TestClockStartIsNoAnswerGap(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(20, idempotent, in20ms)
	if r.b.queueBudget.answerGapSeconds > 0.5 {
		t.Errorf("gap %v s after answers 10 ms apart", r.b.queueBudget.answerGapSeconds)
	}
}

// A zone with more traffic than it can carry must not pass for the entire fleet, or the others stay idle.
func TestEachZoneHasItsOwnMeanLoad(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 1, 1), listedEndpoint(4, 1, 1))
	for range 20 {
		r.advance(200 * ms)
		r.handle(loadReported(1, 10))
		r.handle(loadReported(3, 0))
	}
	if here, there := r.b.expectedLoad(r.b.endpoints[2]), r.b.expectedLoad(r.b.endpoints[4]); here < 8 || there > 2 {
		t.Errorf("expected load %v and %v at endpoints without reports in a full and an idle zone", here, there)
	}
}

// An endpoint of many cores answers as fast behind ten others as behind none: a node that met only short queues must
// learn that from the few answers that it gets out of a long one.
func TestAnswersOutOfLongQueuesTellTheServiceTime(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(200, idempotent, in20ms)
	s := r.b.endpoints[1]
	was := r.b.warmServiceSeconds(s)
	req := &request{class: &r.b.cfg.Classes[idempotent], stats: &r.b.latency.classes[idempotent]}
	for range 3 {
		r.b.learnServiceTime(s, req, &attempt{endpoint: s, queueAtSend: 12}, 20*ms)
	}
	if is := r.b.warmServiceSeconds(s); is > was/4 {
		t.Errorf("service time %v, then %v after three answers as fast behind twelve others", was, is)
	}
}

// A node of a large fleet has a report a second, of one endpoint out of many: that one had three requests is chance,
// and must not make an entire zone look full.
func TestOneReportDoesNotMoveTheZone(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for range 50 {
		r.advance(time.Second)
		r.handle(loadReported(1, 1))
		r.handle(loadReported(2, 1))
	}
	was := r.b.loads.zoneMean(0)
	r.advance(time.Second)
	r.handle(loadReported(2, 4))
	if more := r.b.loads.zoneMean(0) - was; more <= 0 || more > 0.5 {
		t.Errorf("three requests more at one endpoint make it %.2f at each of its zone", more)
	}
}
