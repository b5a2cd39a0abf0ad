package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// mark returns the mark of the timer set by the last actions.
func (r *rig) mark() uint64 {
	r.t.Helper()
	s := of(SetTimer, r.last)
	if len(s) == 0 {
		r.t.Fatalf("no timer in %+v", r.last)
	}
	return s[0].TimerID
}

// What comes back at the deadline is answered, not sent again: the client is gone by the time it is done.
func TestNothingIsSentAtTheDeadline(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", safe)
	to := r.sent()
	r.wait(time.Second)
	acts := r.outcome("x", 0, to, StatusRejected)
	if len(of(Forward, acts)) != 0 || len(of(Reject, acts)) != 1 {
		t.Errorf("%+v", acts)
	}
}

// A retry goes to a server that has not had the request yet; with none left the request is answered.
func TestRetriesGoElsewhere(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", safe)
	first := r.sent()
	r.outcome("x", 0, first, StatusRejected)
	second := r.sent()
	acts := r.outcome("x", 1, second, StatusRejected)
	if second == first || len(of(Forward, acts)) != 0 || len(of(Reject, acts)) != 1 {
		t.Errorf("to %d, then %d, then %+v", first, second, acts)
	}
}

// A long calm must not save up retries for a storm.
func TestTheRetryBudgetIsCapped(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.serve(1000, safe, steady)
	if r.b.retryBudget.retries != maxRetryBudget {
		t.Errorf("%v retries saved up", r.b.retryBudget.retries)
	}
}

// Without leave to probe nothing is probed, and what probes save up is two at most.
func TestProbesNeedLeaveAndDoNotSaveUp(t *testing.T) {
	cfg := site()
	cfg.Limits.HealthChecks = false
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for i := range 50 {
		r.wait(time.Second)
		if p := of(HealthCheck, r.arrive(fmt.Sprint(i), safe)); len(p) != 0 {
			t.Fatalf("probed without leave: %+v", p)
		}
	}
	r = newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for i := range 100 { // one tick
		r.arrive(fmt.Sprint("burst", i), unsafe)
	}
	if r.b.healthChecks.credit > 2*maxHealthChecksPerTick {
		t.Errorf("%v probes saved up", r.b.healthChecks.credit)
	}
}

// An attempt that ends after its stream has begun is the client's affair: sending it again would double it.
func TestStartedStreamsAreNotSentAgain(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", safe)
	to := r.sent()
	r.do(StreamStarted{Request: "x", Endpoint: to})
	if acts := r.outcome("x", 0, to, StatusConnectionLost); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
}

// A request that is held for its probes is not sent on when its client has left meanwhile, and the next one is.
func TestHeldRequestOfAClientThatLeft(t *testing.T) {
	cfg := site()
	cfg.Prices.HealthCheck = 0 // each arrival may probe several
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	r.do(RequestArrived{Request: "left", Class: safe, TimeLeft: time.Second})
	r.do(RequestArrived{Request: "stays", Class: safe, TimeLeft: time.Second})
	if len(r.b.awaitingChecks) != 2 {
		t.Fatalf("%d requests are held", len(r.b.awaitingChecks))
	}
	r.do(ClientDisconnected{Request: "left"})
	if sent := of(Forward, r.do(TimerFired{ID: r.b.timers.lastID})); len(sent) != 1 || sent[0].Request != "stays" {
		t.Errorf("sent %+v", sent)
	}
	if len(r.b.requests) != 1 {
		t.Errorf("%d requests are kept", len(r.b.requests))
	}
}

// Requests are forgotten once they are over, or a node grows until it dies.
func TestRequestsAreForgotten(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(20, safe, steady)
	r.arrive("gone", safe)
	to := r.sent()
	r.do(ClientDisconnected{Request: "gone"})
	r.outcome("gone", 0, to, StatusTimedOut)
	r.arrive("late", unsafe)
	to, mark := r.sent(), r.mark()
	r.wait(time.Second)
	r.do(TimerFired{ID: mark})
	r.outcome("late", 0, to, StatusTimedOut)
	if n := len(r.b.requests); n != 0 {
		t.Errorf("%d requests kept", n)
	}
}

// Discovery may refuse for minutes: one line says so.
func TestRefusedDiscoveryIsLoggedOnce(t *testing.T) {
	cfg := site()
	cfg.PollDiscovery = true
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	for range 10 {
		r.note(r.do(DiscoveryFailed{}))
	}
	if len(r.logs) != 1 {
		t.Errorf("%q", r.logs)
	}
}

// A restarted server is a new process: what the old one was sent while cold is not the new one's, nor its speed.
func TestARestartForgetsTheOldProcess(t *testing.T) {
	old := listedEndpoint(1, 0, 0)
	old.StartedAt = time.Hour
	r := newRig(t, site(), old, listedEndpoint(2, 0, 0))
	r.serve(50, safe, steady)
	s := r.b.endpoints[1]
	s.slowStartCreditSeconds, s.servedWorkSeconds, s.meanLatencySeconds = -9, 9, 9
	old.StartedAt = r.now
	r.do(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{old}})
	if s.slowStartCreditSeconds < 0 || s.servedWorkSeconds != 0 || s.meanLatencySeconds != 0 || s.knownSince != r.now {
		t.Errorf("%+v", *s)
	}
}

// The warm rate is that of servers that were warm and there for the whole window, and a lull does not take it away
// at once.
func TestWarmRate(t *testing.T) {
	cold := listedEndpoint(1, 0, 0)
	cold.StartedAt = time.Hour
	r := newRig(t, site(), cold, listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	roll := func(work float64) float64 {
		for _, s := range r.b.endpoints {
			s.servedWorkSeconds = work
		}
		r.b.endpoints[1].servedWorkSeconds = 1000 * work
		r.b.endpoints[3].servedWorkSeconds, r.b.endpoints[3].knownSince = 1000*work, r.now+ms // came just now
		r.wait(1500 * ms)
		r.do(TimerFired{})
		return r.b.slowStart.warmThroughput
	}
	r.wait(1500 * ms)
	r.do(TimerFired{})
	high := roll(3)
	if math.Abs(high-2) > 0.01 {
		t.Errorf("rate %v, want 3 in 1.5 s", high)
	}
	if low := roll(0); low != warmThroughputDecay*high {
		t.Errorf("rate %v after a lull, %v before", low, high)
	}
}

// The bound leans to worth within limits: what is worth next to nothing is still served when there is room.
func TestTheLeanIsLimited(t *testing.T) {
	cfg := site()
	cfg.Classes[safe].PriorityWeight, cfg.Classes[unsafe].PriorityWeight = 1000, 0.001
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	r.serve(50, safe, steady)
	r.serve(50, unsafe, steady)
	usual := r.b.queueBudget.fraction * max(r.b.slackSeconds(), r.b.latency.meanUnloadedSeconds())
	for class, want := range map[int]float64{safe: maxPriorityFactor * usual, unsafe: usual / maxPriorityFactor} {
		got := r.b.maxWaitSeconds(&request{class: &cfg.Classes[class], stats: &r.b.latency.classes[class], tenant: -1})
		if math.Abs(got-want) > 1e-9 && class == unsafe || got > want+1e-9 {
			t.Errorf("class %d: bound %v, want %v", class, got, want)
		}
	}
}

// With all servers slower than the aim there is no slack, and refusing all would leave them idle.
func TestSlowServersStillQueue(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.serve(200, safe, func(EndpointID) time.Duration { return 600 * ms })
	got := r.b.maxWaitSeconds(&request{class: &r.b.cfg.Classes[safe], stats: &r.b.latency.classes[safe], tenant: -1})
	if r.b.slackSeconds() != 0 || got < minQueueBudget*0.5 {
		t.Errorf("slack %v, bound %v s where answers take 0.6 s", r.b.slackSeconds(), got)
	}
}

// One unlucky first answer must not pass for the time of its class.
func TestTheFirstAnswersCountByTheirMean(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.serve(1, safe, func(EndpointID) time.Duration { return 280 * ms })
	r.serve(9, safe, steady)
	if base := r.b.latency.classes[safe].unloadedSeconds; math.Abs(base-0.046) > 0.001 {
		t.Errorf("%v s, the mean is 0.046", base)
	}
}

// A report that is repeated before its time tells nothing new, and must not weigh again.
func TestRepeatedReportsAreNotNews(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	for i := range 20 {
		r.wait(500 * ms)
		r.do(report(1, float64(i%2)))
	}
	r.do(report(1, 9))
	was := r.b.expectedLoad(r.b.endpoints[1])
	for range 20 {
		r.wait(ms)
		r.do(report(1, 9))
	}
	if o := r.b.expectedLoad(r.b.endpoints[1]); o != was {
		t.Errorf("usual went from %v to %v by repeats", was, o)
	}
}

// A server that lost everything it was sent looks idle: with nothing out and no sign since, that is a failure.
func TestNothingBackAtAllIsAFailure(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("lost", unsafe)
	r.wait(time.Second)
	r.outcome("lost", 0, 1, StatusTimedOut)
	if f := r.b.endpoints[1].failureRate; f != 1 {
		t.Errorf("rate of failures %v", f)
	}
}

// Silence counts while something is out, beyond what the queue explains.
func TestSilenceRaisesTheCost(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", safe)
	s := r.b.endpoints[1]
	was := r.b.costSeconds(s)
	r.wait(10 * ms)
	r.do(TimerFired{})
	if c := r.b.costSeconds(s); c != was {
		t.Errorf("cost %v after 10 ms, %v at once", c, was)
	}
	r.wait(time.Second)
	r.do(TimerFired{})
	if c := r.b.costSeconds(s); c < was+0.9 {
		t.Errorf("cost %v after a second of silence, %v at once", c, was)
	}
}

// A caller whose clock goes back, or that tells an outcome twice, must not make the module panic, send twice or count below zero.
func TestMisuseIsHarmless(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", unsafe)
	to := r.sent()
	r.wait(-30 * time.Minute)
	r.outcome("x", 0, to, StatusSucceeded)
	for _, acts := range [][]Action{
		r.outcome("x", 0, to, StatusConnectFailed),
		r.outcome("x", 5, to, StatusSucceeded),
		r.outcome("x", -1, to, StatusSucceeded),
		r.do(TimerFired{ID: 1 << 40}),
		r.do(nil),
	} {
		if len(acts) != 0 {
			t.Errorf("%+v", acts)
		}
	}
	for range 50 {
		r.serve(1, safe, steady)
	}
	if r.b.now < time.Hour {
		t.Errorf("the clock went back to %v", r.b.now)
	}
	for id, s := range r.b.endpoints {
		if s.inFlight != 0 || math.IsNaN(r.b.costSeconds(s)) {
			t.Errorf("server %d: %+v", id, *s)
		}
	}
}

// A heavy request is late whatever the queue: only what the queue made late tightens the bound.
func TestOnlyTheQueueMakesLate(t *testing.T) {
	for met, tightens := range map[float64]bool{0: false, 12: true} {
		r := newRig(t, site(), listedEndpoint(1, 0, 0))
		r.serve(100, safe, steady)
		s := r.b.endpoints[1]
		s.meanLatencySeconds, s.meanQueueAtArrival = 0.02*(met+1), met
		r.arrive("x", safe)
		r.sent()
		r.b.requests["x"].attempts[0].waitAtSendSeconds = met * r.b.serviceSeconds(s)
		r.b.queueBudget.fraction = 0.3
		r.wait(400 * ms)
		r.do(AttemptEnded{Request: "x", Endpoint: 1, Elapsed: 400 * ms, Final: true})
		if got := r.b.queueBudget.fraction < 0.3; got != tightens || r.b.queueBudget.fraction > 0.3 {
			t.Errorf("met %v: part from 0.3 to %v", met, r.b.queueBudget.fraction)
		}
	}
}

// A fleet of nodes that each send a cold server just one request can push it over: in any window all of them
// together stay within its budget, and still some of them send.
func TestManyNodesShareTheBudgetOfAColdServer(t *testing.T) {
	for _, known := range []bool{false, true} { // before and after the first answers
		cfg := site()
		cfg.Instances = 200
		cfg.Rules.SlowStartFraction = 0.9 // what it can do is then known
		got := make([]int, 4)
		for node := range cfg.Instances {
			b, _ := New(cfg, uint64(node))
			r := &rig{t: t, b: b, now: time.Hour}
			r.do(EndpointsListed{Kind: CachedList, Endpoints: []Endpoint{listedEndpoint(2, 0, 0)}})
			if known {
				r.serve(20, safe, steady)
			}
			b.slowStart.warmThroughput = 0 // it does little for each of so many nodes
			cold := listedEndpoint(1, 0, 0)
			cold.StartedAt = r.now
			r.do(EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{cold}})
			for i := range 200 * len(got) {
				if acts := of(Forward, r.arrive(fmt.Sprint("c", i), safe)); len(acts) > 0 {
					got[i/200]++
					r.outcome(fmt.Sprint("c", i), 0, 1, StatusSucceeded)
				}
				r.wait(1500 * ms / 200)
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

// What is granted to a cold server is used while warm ones have a queue, though it is slower: it would stay cold
// without. What it would answer too late goes to a warm one.
func TestGrantsToColdServersAreUsed(t *testing.T) {
	for hint, want := range map[time.Duration]EndpointID{10 * ms: 2, 100 * ms: 1} {
		r := newRig(t, site(), listedEndpoint(1, 0, 0))
		r.serve(100, safe, steady)
		r.wait(3 * time.Second)
		r.serve(100, safe, steady)
		r.holds(1, 1) // no more than is usual
		cold := listedEndpoint(2, 0, 0)
		cold.StartedAt = r.now - r.b.cfg.Rules.SlowStartDuration/4
		r.do(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{cold}})
		r.b.endpoints[2].slowStartCreditSeconds = 1
		r.do(RequestArrived{Request: "x", Class: safe, TimeLeft: time.Second, ExpectedWork: hint})
		if len(r.b.awaitingChecks) > 0 {
			r.do(TimerFired{ID: r.b.timers.lastID})
		}
		if to := r.sent(); to != want {
			t.Errorf("work of %v went to %d, want %d", hint, to, want)
		}
	}
}

// A full list names every server there is, also beyond the few that this node keeps to: one that it leaves out
// is gone and must not come back into the part.
func TestAFullListEndsServersOutsideThePart(t *testing.T) {
	cfg := site()
	cfg.Instances = 100
	all := make([]Endpoint, 40)
	for i := range all {
		all[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newRig(t, cfg, all...)
	if len(r.b.usable) != 4 { // of 40, so that each is in the parts of 8 of 100 nodes
		t.Fatalf("keeps to %d servers", len(r.b.usable))
	}
	var rest []Endpoint
	for _, m := range all {
		if !slices.Contains(r.b.usable, r.b.endpoints[m.ID]) && len(rest) < 3 {
			rest = append(rest, m)
		}
	}
	r.do(EndpointsListed{Kind: CompleteList, Endpoints: rest})
	r.do(EndpointsListed{Kind: CompleteList, Endpoints: rest[:1]})
	r.wait(2 * time.Second)
	for i := range 50 {
		r.arrive(fmt.Sprint(i), safe)
		for _, a := range of(Forward, r.last) {
			if a.Endpoint != rest[0].ID {
				t.Fatalf("sent to %d, which is gone", a.Endpoint)
			}
		}
	}
}

// What was told of a queue fades as it turns over, into what is usual at that server.
func TestWhatWasToldFades(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.serve(50, safe, steady)
	s := r.b.endpoints[1]
	r.holds(1, 2)
	s.reportedLoad, s.reportedAt = 10, r.now
	r.do(TimerFired{})
	if e := r.b.queueEstimate(s); e != 10 {
		t.Errorf("entry %v when just told 10", e)
	}
	r.wait(10 * time.Second)
	r.do(TimerFired{})
	if e := r.b.queueEstimate(s); e > 2.2 {
		t.Errorf("entry %v ten seconds later, 2 is usual", e)
	}
}

// A node that has no answers yet bounds waits as well, or all nodes that start together fill every server.
func TestANewNodeBoundsWaits(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	if s := r.b.slackSeconds(); math.IsInf(s, 1) {
		t.Errorf("slack %v without an answer", s)
	}
}

// A node that starts knows nothing, and in a large fleet all that start together would fill the servers before
// a dear probe is due: until it has probed as many times as it keeps servers, each arrival probes.
func TestANewNodeProbesAtEachArrival(t *testing.T) {
	cfg := site()
	cfg.Prices.HealthCheck = 1000 * healthCheckSpend
	members := make([]Endpoint, 5)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newRig(t, cfg, members...)
	probes := 0
	for i := range 100 {
		r.wait(10 * ms)
		probes += len(of(HealthCheck, r.arrive(fmt.Sprint(i), safe)))
	}
	if probes < 5 || probes > 6 {
		t.Errorf("%d probes for 5 servers", probes)
	}
}

// A node of a large fleet sees few answers a second, and must notice a jam in as many seconds as a busy one.
func TestLatenessCountsByTime(t *testing.T) {
	after := func(gap time.Duration) float64 {
		r := newRig(t, site(), listedEndpoint(1, 0, 0))
		r.b.queueBudget.answerGapSeconds = gap.Seconds()
		for range int(time.Second / gap) {
			r.wait(gap)
			r.do(TimerFired{})
			r.b.adjustQueueBudget(StatusSucceeded, ms, 1)
		}
		return r.b.queueBudget.fraction
	}
	if busy, idle := after(20*ms), after(50*ms); busy > 0.2 || idle > busy*1.1 {
		t.Errorf("after a second of lateness part %v with 50 answers a second, %v with 20", busy, idle)
	}
}

// Nodes keep to different parts, or some servers get all and others none; a server that fails does not count
// as one of the part, or a zone that fails leaves a node without any.
func TestPartsDifferAndGrowByFailures(t *testing.T) {
	cfg := site()
	cfg.Instances = 100
	members := make([]Endpoint, 40)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	kept := map[EndpointID]int{}
	for node := range cfg.Instances {
		cfg.Index = node
		r := newRig(t, cfg, members...)
		for _, s := range r.b.usable {
			kept[s.ID]++
		}
		for _, s := range r.b.usable[:3] {
			s.outlier = true
		}
		r.do(EndpointsListed{Kind: ListChanges})
		sound := 0
		for _, s := range r.b.usable {
			if !s.outlier {
				sound++
			}
		}
		if sound != 4 {
			t.Errorf("node %d keeps to %d sound servers", node, sound)
		}
	}
	for _, m := range members {
		if n := kept[m.ID]; n < nodesPerEndpoint/4 || n > 3*nodesPerEndpoint {
			t.Errorf("%d of 100 nodes use server %d", n, m.ID)
		}
	}
}

// A node must meet each server of its part often: one of a fleet of 80 with 19 requests a second has of each some
// two answers a second from its own zone's part, and not one in three seconds.
func TestAPartIsMetOften(t *testing.T) {
	cfg := site()
	cfg.Tenants, cfg.Instances = nil, 80
	var members []Endpoint
	for i := range 60 {
		members = append(members, listedEndpoint(EndpointID(i+1), i%3, 0))
	}
	r := newRig(t, cfg, members...)
	r.b.slowStart.warmThroughput = 1
	for range 3 {
		r.serve(19, safe, steady)
		r.wait(time.Second)
	}
	if n := len(r.b.usable); n < 6 || n > 12 {
		t.Errorf("19 requests a second go to %d servers", n)
	}
}

// In a jam many servers seem to fail, and clients ask again and again: neither may spread a node over the fleet.
func TestAJamDoesNotGrowThePart(t *testing.T) {
	cfg := site()
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
		r.do(EndpointsListed{Kind: ListChanges})
	}
	if n := len(r.b.usable); n > 2*size {
		t.Errorf("%d servers beside a part of %d", n-size, size)
	}
	r = newRig(t, cfg, members...)
	for i := range 1000 {
		r.wait(5 * ms)
		r.b.usable = nil // nothing is sent
		r.arrive(fmt.Sprint(i), safe)
	}
	if n := len(r.b.usable); n > size {
		t.Errorf("a part of %d servers for requests that are refused", n)
	}
}

// Where no shares tell the rate, the part follows what arrives: a node of a large fleet with some requests a second
// would meet each of all servers once in seconds, and know none of them.
func TestThePartFollowsTheMeasuredRate(t *testing.T) {
	cfg := site()
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
			r.wait(time.Second / time.Duration(c.perSecond))
			r.arrive(fmt.Sprint(i), safe)
			for _, a := range of(Forward, r.last) {
				r.outcome(a.Request, 0, a.Endpoint, StatusSucceeded)
			}
		}
		if n := len(r.b.usable); n < c.least || n > c.most {
			t.Errorf("%d requests a second: keeps to %d servers", c.perSecond, n)
		}
	}
}

// The first looks of a node tell of all servers that it has not seen yet, at once and not by a twentieth each.
func TestFirstLooksTellOfTheRest(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.wait(time.Second)
	r.do(report(1, 10))
	if o := r.b.otherNodesLoad(r.b.endpoints[2]); o < 5 {
		t.Errorf("%v at a server not seen, 10 at the first one seen", o)
	}
}

// Where probes are cheap and fresh a request waits for those of its own tick: in a large fleet all older
// entries are out of date, and the smallest of them is the most outdated one.
func TestArrivalsWaitForTheirProbes(t *testing.T) {
	cfg := site()
	cfg.Prices.HealthCheck = 0
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	r.do(RequestArrived{Request: "x", TimeLeft: time.Second})
	probes := of(HealthCheck, r.last)
	if len(probes) != maxHealthChecksPerTick || len(of(Forward, r.last)) != 0 {
		t.Fatalf("%d probes and %d sends at the arrival", len(probes), len(of(Forward, r.last)))
	}
	r.wait(ms)
	for _, id := range []EndpointID{1, 3} {
		if r.do(report(id, 4)); len(of(Forward, r.last)) != 0 {
			t.Fatal("sent before all probes were back")
		}
	}
	if r.do(report(2, 0)); r.sent() != 2 {
		t.Errorf("sent to %d, but 2 is idle", r.sent())
	}
	// A probe that stays out must not hold it for long, nor past its end.
	r.wait(time.Second)
	r.do(RequestArrived{Request: "y", TimeLeft: time.Second})
	timers := of(SetTimer, r.last)
	if hold := timers[len(timers)-1]; hold.Delay > 15*ms {
		t.Errorf("held for %v", hold.Delay)
	} else if r.do(TimerFired{ID: hold.TimerID}); len(of(Forward, r.last)) != 1 {
		t.Error("not sent when the hold ended")
	}
	r.do(RequestArrived{Request: "z", TimeLeft: time.Second})
	r.do(ClientDisconnected{Request: "z"})
	for _, id := range []EndpointID{1, 2, 3} {
		if r.do(report(id, 0)); len(of(Forward, r.last)) != 0 {
			t.Error("sent for a client that has gone")
		}
	}
}

// Probes a few seconds apart cannot tell how often a server reports: the same one is asked again at once, or
// every report passes for seconds old and is not believed.
func TestTheTimeBetweenReportsIsLearnedByAskingAgain(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	next := 0.0
	for i := range 60 {
		r.wait(3 * time.Second)
		r.do(report(1, 3+float64(i%2)))
		for marks := of(SetTimer, r.last); len(marks) > 0; marks = of(SetTimer, r.last) {
			r.wait(marks[0].Delay)
			if r.do(TimerFired{ID: marks[0].TimerID}); len(of(HealthCheck, r.last)) != 1 {
				t.Fatal("not asked again")
			}
			next++
			r.do(report(1, 3+float64(int(next)%2)))
		}
	}
	if next == 0 || next > maxRepeatChecks || r.b.reportInterval.seconds > 0.1 {
		t.Errorf("asked again %v times, reports taken for %v s apart", next, r.b.reportInterval.seconds)
	}
}

// With hundreds of servers a node meets each of them now and then: the pace of all is learned from all its
// answers, or it stays at a first guess for minutes and queues of any length look short.
func TestThePaceOfAllIsLearnedFromAnyAnswer(t *testing.T) {
	members := make([]Endpoint, 200)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newRig(t, site(), members...)
	r.serve(40, safe, func(EndpointID) time.Duration { return 100 * ms })
	if r.b.latency.meanServiceSeconds < 0.08 {
		t.Errorf("pace %v after 40 answers of 100 ms", r.b.latency.meanServiceSeconds)
	}
}

// A node that starts among queues must not take its first answers for the time without one.
func TestTheHintStandsUntilAnIdleServerIsMet(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.b.loads.fleet.mean, r.b.queueBudget.fraction = 5, maxQueueBudget
	r.wait(time.Second)
	r.do(RequestArrived{Request: "x", ExpectedWork: 20 * ms, TimeLeft: time.Second})
	r.do(AttemptEnded{Request: "x", Endpoint: 1, Elapsed: 200 * ms, Final: true})
	if base := r.b.latency.classes[safe].unloadedSeconds; base < 0.015 || base > 0.025 {
		t.Errorf("time without a queue %v by an answer of 200 ms behind five others, hinted at 20 ms", base)
	}
}

// Entries are old in a large fleet, and a queue that none shows is met all the same: an answer that took many times its
// hint must not pass for the work, or the bound on waits grows with the queue until servers jam. A server that is
// slower than the hint says still counts, and so does any answer without a hint.
func TestAnswersFarBeyondTheirHintMetAQueue(t *testing.T) {
	for name, tc := range map[string]struct {
		hint, spent time.Duration
		want        float64 // time without a queue after 200 such answers, seconds
	}{
		"as hinted":          {hint: 20 * ms, spent: 25 * ms, want: 0.025},
		"a slow server":      {hint: 20 * ms, spent: 38 * ms, want: 0.038},
		"out of a queue":     {hint: 20 * ms, spent: 150 * ms, want: 0.020},
		"slow, without hint": {spent: 150 * ms, want: 0.150},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, site(), listedEndpoint(1, 0, 0))
			for i := range 200 {
				r.wait(time.Second)
				id := fmt.Sprint(i)
				r.do(RequestArrived{Request: id, ExpectedWork: tc.hint, TimeLeft: time.Second})
				r.do(AttemptEnded{Request: id, Endpoint: 1, Elapsed: tc.spent, Final: true})
			}
			if base := r.b.latency.classes[safe].unloadedSeconds; math.Abs(base-tc.want) > 0.1*tc.want {
				t.Errorf("time without a queue %.4f s, want %.4f", base, tc.want)
			}
		})
	}
}

// A class whose aim is no longer than its work leaves itself no time to queue, but not the others.
func TestOneTightClassDoesNotRefuseAll(t *testing.T) {
	cfg := site()
	cfg.Classes[unsafe].LatencyObjective = 20 * ms
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	r.serve(50, safe, steady)
	r.serve(50, unsafe, func(EndpointID) time.Duration { return 30 * ms })
	if s := r.b.slackSeconds(); s < 0.1 {
		t.Errorf("slack %v", s)
	}
}

// A share spread over hundreds of nodes is less than one request a second at each: two at once are chance.
func TestSmallSharesMayComeTogether(t *testing.T) {
	cfg := site()
	cfg.Instances, cfg.OverQuotaValue = 500, 0.05
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	req := &request{class: &cfg.Classes[safe], stats: &r.b.latency.classes[safe]}
	r.serve(3, safe, steady)
	if l := r.b.priorityFactor(req); l != 1 {
		t.Errorf("lean %v at the fourth request", l)
	}
	r.serve(3, safe, steady)
	if l := r.b.priorityFactor(req); l > 0.5 {
		t.Errorf("lean %v at the seventh", l)
	}
}

// A node that refuses everything has no answers to correct what it believes: one in scoutOnce goes out all the
// same. Where they wait long that is all, or overload would get through; where they don't the node stops refusing.
func TestRefusalsSendScouts(t *testing.T) {
	for name, c := range map[string]struct {
		spent       time.Duration
		st          Status
		least, most int
	}{
		"right to refuse": {spent: 800 * ms, least: 10, most: 10},
		"turned away":     {st: StatusRejected, least: 10, most: 12},
		"wrong":           {spent: 20 * ms, least: 100, most: 200},
	} {
		r := newRig(t, site(), listedEndpoint(1, 0, 0))
		r.serve(50, safe, steady)
		sent, all := 0, int(10*maxProbeAdmissionInterval)
		for i := range all {
			r.b.loads.zones[0] = loadAverage{mean: 50, reports: 1e9, updatedAt: r.now} // whatever answers say
			r.wait(10 * ms)
			id := fmt.Sprint(i)
			if r.arrive(id, safe); len(of(Forward, r.last)) > 0 {
				sent++
				r.do(AttemptEnded{Request: id, Endpoint: 1, Elapsed: c.spent, Status: c.st, Final: c.st == StatusSucceeded})
			}
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%s: %d of %d sent to a server that seems full", name, sent, all)
		}
	}
}

// The clock may start anywhere: the time before the first answer is no gap between answers.
func TestTheFirstGapIsNoGap(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.serve(20, safe, steady)
	if r.b.queueBudget.answerGapSeconds > 0.5 {
		t.Errorf("gap %v s after answers 10 ms apart", r.b.queueBudget.answerGapSeconds)
	}
}

// A zone with more traffic than it can carry must not pass for the whole fleet, or the others stay idle.
func TestEachZoneHasItsOwnMean(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 1, 1), listedEndpoint(4, 1, 1))
	for range 20 {
		r.wait(200 * ms)
		r.do(report(1, 10))
		r.do(report(3, 0))
	}
	if here, there := r.b.expectedLoad(r.b.endpoints[2]), r.b.expectedLoad(r.b.endpoints[4]); here < 8 || there > 2 {
		t.Errorf("usual %v and %v at servers not seen in a full and an idle zone", here, there)
	}
}

// A server of many cores answers as fast behind ten others as behind none: a node that met only short queues must
// learn that from the few answers that it gets out of a long one.
func TestAnswersOutOfLongQueuesTellThePace(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0))
	r.serve(200, safe, steady)
	s := r.b.endpoints[1]
	was := r.b.warmServiceSeconds(s)
	req := &request{class: &r.b.cfg.Classes[safe], stats: &r.b.latency.classes[safe]}
	for range 3 {
		r.b.learnServiceTime(s, req, &attempt{endpoint: s, queueAtSend: 12}, 20*ms)
	}
	if is := r.b.warmServiceSeconds(s); is > was/4 {
		t.Errorf("pace %v, then %v after three answers as fast behind twelve others", was, is)
	}
}

// A node of a large fleet buys a report a second, of one server out of many: that one held three requests is chance,
// and must not make a whole zone look full.
func TestOneReportIsNoZone(t *testing.T) {
	r := newRig(t, site(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for range 50 {
		r.wait(time.Second)
		r.do(report(1, 1))
		r.do(report(2, 1))
	}
	was := r.b.loads.zoneMean(0)
	r.wait(time.Second)
	r.do(report(2, 4))
	if more := r.b.loads.zoneMean(0) - was; more <= 0 || more > 0.5 {
		t.Errorf("three requests more at one server make it %.2f at each of its zone", more)
	}
}
