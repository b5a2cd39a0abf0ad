package balance

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// serve sends n requests of a class one after the other and answers each after what took says; it
// returns how many went to each endpoint. A took of 0 means an error, below 0 no answer at all.
func (r *rig) serve(n, class int, took func(EndpointID) time.Duration) map[EndpointID]int {
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
			r.keepLogs(r.handle(ev))
			sends = ofKind(Forward, r.last)
		}
		for _, a := range checks {
			r.handle(loadReported(a.Endpoint, r.b.endpoints[a.Endpoint].inFlight))
		}
	}
	return count
}

func (r *rig) keepLogs(acts []Action) {
	for _, a := range ofKind(Log, acts) {
		r.logs = append(r.logs, a.Text)
	}
}

func (r *rig) logged(text string) bool {
	for _, l := range r.logs {
		if strings.Contains(l, text) {
			return true
		}
	}
	return false
}

// setOtherNodesLoad makes the node believe that other nodes have so much at an endpoint, now and usually.
func (r *rig) setOtherNodesLoad(id EndpointID, queue float64) {
	s := r.b.endpoints[id]
	s.reportedLoad, s.loadBias = queue, 0
	r.b.loads.zones[s.Zone] = loadAverage{mean: queue, reports: 1e9, updatedAt: r.now}
}

func in20ms(EndpointID) time.Duration { return 20 * ms }

func loadReported(endpoint EndpointID, active float64) Event {
	return HealthChecked{Endpoint: endpoint, Load: Load{Has: HasActive, Active: active}}
}

// Without a report, an answer leaves the queue estimate as it was before its request was forwarded.
func TestAnswerLeavesTheQueueEstimateAsBefore(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(5, idempotent, in20ms)
	if e := r.b.queueEstimate(r.b.endpoints[1]); e != 0 {
		t.Errorf("queue estimate %v after all was answered", e)
	}
	r.arrive("x", idempotent)
	if e := r.b.queueEstimate(r.b.endpoints[1]); e != 1 {
		t.Errorf("queue estimate %v with one request in flight", e)
	}
}

// An endpoint that fails fast looks idle: what it did not accept stays counted until it reports.
func TestUnacceptedAttemptsStayCountedUntilAReport(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.arrive("x", idempotent)
	r.endAttempt("x", 0, 1, StatusRejected)
	if e := r.b.queueEstimate(r.b.endpoints[1]); e != 1 {
		t.Errorf("queue estimate %v", e)
	}
	r.handle(loadReported(1, 0))
	if e := r.b.queueEstimate(r.b.endpoints[1]); e != 0 {
		t.Errorf("queue estimate %v after a report", e)
	}
}

// A report is old: it must not wipe out what was sent since, nor count this node's own requests twice.
func TestReportsKeepAttemptsInFlight(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		report float64
	}{{0, 0}, {5 * time.Second, 3}} {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
		for i := range 3 {
			r.arrive(fmt.Sprint(i), idempotent)
		}
		r.advance(c.wait)
		r.handle(loadReported(1, c.report))
		if e := r.b.queueEstimate(r.b.endpoints[1]); e < 3 || e > 3.1 {
			t.Errorf("queue estimate %v with three in flight since %v and a report of %v", e, c.wait, c.report)
		}
	}
}

// Large fleets take seconds to check all endpoints: one without a report has the load of its peers, and one report
// does not change that, but many do.
func TestEndpointsWithoutReportsHaveTheMeanLoad(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	r.handle(loadReported(1, 10))
	if o := r.b.otherNodesLoad(r.b.endpoints[1]); o != 10 {
		t.Errorf("load %v after a first report of 10", o)
	}
	for i := range 100 {
		r.advance(5 * time.Second)
		r.handle(loadReported(2, float64(10+i%2)))
	}
	if o := r.b.otherNodesLoad(r.b.endpoints[3]); o < 9 || o > 11 {
		t.Errorf("load %v at an endpoint without reports, 10 at its peers", o)
	}
	r.advance(5 * time.Second)
	r.handle(loadReported(3, 0))
	if o := r.b.expectedLoad(r.b.endpoints[3]); o < 6 {
		t.Errorf("expected load %v after a single report: the smallest of many such is chance", o)
	}
	for range 40 {
		r.advance(5 * time.Second)
		r.handle(loadReported(3, 0))
		r.handle(loadReported(2, 10))
		r.handle(loadReported(1, 10))
	}
	if o := r.b.expectedLoad(r.b.endpoints[3]); o > 2 {
		t.Errorf("expected load %v at an endpoint that always reports 0", o)
	}
}

// An idle endpoint reports 0 again and again; taken for a repeat, that would keep its queue estimate high for good.
func TestEqualReportsPastTheIntervalAreNews(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(5, idempotent, in20ms)
	r.b.endpoints[1].meanLatencySeconds, r.b.endpoints[1].meanQueueAtArrival = 1, 0 // so slow that its reports still hold when they come
	for _, q := range []float64{5, 9, 0} {
		r.advance(200 * ms)
		r.handle(loadReported(1, q))
	}
	was := 4.0
	r.setOtherNodesLoad(1, was)
	for range 20 {
		r.advance(time.Second)
		r.handle(loadReported(1, 0))
	}
	if is := r.b.queueEstimate(r.b.endpoints[1]); is > was/4 {
		t.Errorf("queue estimate %v, then %v after many reports of 0", was, is)
	}
}

// Stale reports taken literally send every node to the endpoint that was idle then.
func TestOldReportsCountPartly(t *testing.T) {
	for _, c := range []struct {
		gap, serviceTime time.Duration
		kept             bool
	}{{2 * time.Second, 20 * ms, true}, {10 * ms, time.Second, false}} {
		r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		r.serve(50, idempotent, in20ms)
		s := r.b.endpoints[1]
		for i := range 300 { // what the time between reports is learned from
			r.advance(c.gap)
			r.handle(loadReported(1, float64(10+i%2)))
			r.handle(loadReported(2, 10))
		}
		r.setOtherNodesLoad(1, 10)
		s.meanLatencySeconds, s.meanQueueAtArrival = c.serviceTime.Seconds(), 0
		r.advance(c.gap)
		r.handle(loadReported(2, 10))
		r.handle(loadReported(1, 0))
		if kept := r.b.queueEstimate(s) > 5; kept != c.kept {
			t.Errorf("reports %v apart, %v a request: queue estimate 10 became %v", c.gap, c.serviceTime, r.b.queueEstimate(s))
		}
	}
}

// An endpoint four times as slow gets at most a quarter of what the other gets.
func TestSlowEndpointsGetLess(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	n := r.serve(200, idempotent, func(b EndpointID) time.Duration { return time.Duration(b*b) * 20 * ms })
	if n[2]*4 > n[1] {
		t.Errorf("the endpoint four times as slow got %d of 200", n[2])
	}
}

// Slow answers of an endpoint in slow start must not keep it idle once it is warm.
func TestAnswersInSlowStartCountAsWarm(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), Endpoint{ID: 2, Weight: 1, StartedAt: time.Hour})
	r.serve(100, idempotent, in20ms)
	s := r.b.endpoints[2]
	for range 50 { // a fifth of its capacity is there: 100 ms for what takes 20
		r.b.learnServiceTime(s, &request{class: &r.b.cfg.Classes[idempotent], stats: &r.b.latency.classes[idempotent]}, &attempt{endpoint: s}, 100*ms)
	}
	if cold, peer := r.b.serviceSeconds(s), r.b.serviceSeconds(r.b.endpoints[1]); cold < 2*peer {
		t.Errorf("service time %v in slow start, %v at a warm endpoint", cold, peer)
	}
	s.StartedAt = 1
	if cold, warm := r.b.serviceSeconds(s), r.b.serviceSeconds(r.b.endpoints[1]); cold > 1.5*warm {
		t.Errorf("service time %v once warm, %v at an endpoint that was always warm", cold, warm)
	}
}

// An endpoint that was slow for a while must be tried again though it has no answers to show.
func TestServiceTimeRecoversWithoutAnswers(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	s := r.b.endpoints[2]
	s.meanLatencySeconds, s.meanQueueAtArrival = 1, 0 // a service time of one second, fifty times that of its peer
	for range 60 {
		r.advance(1500 * ms)
		r.serve(1, idempotent, in20ms)
	}
	if now := r.b.serviceSeconds(s); now > 2*r.b.latency.meanServiceSeconds {
		t.Errorf("service time %v after a minute and a half, peers %v", now, r.b.latency.meanServiceSeconds)
	}
}

// An endpoint with nothing but errors gets little, and as much as its peer once it answers.
func TestOutliersAreAvoidedAndRecover(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	bad := func(b EndpointID) time.Duration { return time.Duration(2-b) * 20 * ms } // 2 has errors only
	r.serve(40, idempotent, bad)
	if n := r.serve(50, idempotent, bad); n[2] > 5 {
		t.Errorf("%d of 50 went to the failing endpoint", n[2])
	}
	r.advance(30 * time.Second)
	for range 20 {
		r.advance(1500 * ms)
		r.serve(2, idempotent, in20ms)
	}
	r.arrive("a", idempotent)
	first := r.forwardedTo()
	r.arrive("b", idempotent)
	if second := r.forwardedTo(); first+second != 3 {
		t.Errorf("with %d busy the next went to %d", first, second)
	}
}

// A site without health checks has no report to clear what was not accepted.
func TestUnacceptedAttemptsFadeWithoutHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.HealthChecks = false
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	r.arrive("x", idempotent)
	r.endAttempt("x", 0, 1, StatusRejected)
	for range 20 {
		r.advance(1500 * ms)
		r.handle(ClientDisconnected{})
	}
	if e := r.b.queueEstimate(r.b.endpoints[1]); e > 0.1 {
		t.Errorf("queue estimate %v", e)
	}
}

// A failure rate that all endpoints share costs none of them anything.
func TestSharedFailuresCostNothing(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(400, nonIdempotent, func(EndpointID) time.Duration { return 0 })
	s := r.b.endpoints[1]
	if charge := r.b.costSeconds(s) - (r.b.queueEstimate(s)+1)*r.b.serviceSeconds(s); s.failureRate < 0.3 || charge > s.failureRate*failureCostObjectives*r.b.latency.meanObjectiveSeconds/2 {
		t.Errorf("rate %v, of all %v, charged %v", s.failureRate, r.b.outliers.meanFailureRate, charge)
	}
}

// When all fail alike none is an outlier, and requests are still forwarded.
func TestNoOutlierWhenAllFail(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.HealthCheck = 0 // reports clear what was not accepted; the failures remain
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.serve(60, nonIdempotent, func(EndpointID) time.Duration { return 0 })
	if n := r.serve(40, idempotent, in20ms); n[1]+n[2] < 20 {
		t.Errorf("only %v of 40 were sent", n)
	}
}

// An endpoint that hangs has a bearable queue while it takes everything sent to it.
func TestSilentEndpointsGetNothing(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	kept := ""
	for _, id := range []string{"one", "two"} { // one at each endpoint; only endpoint 1 answers
		r.arrive(id, nonIdempotent)
		if to := r.forwardedTo(); to == 1 {
			kept = id
		}
	}
	if r.b.endpoints[1].inFlight != 1 || r.b.endpoints[2].inFlight != 1 {
		t.Fatal("both attempts went to one endpoint")
	}
	r.endAttempt(kept, 0, 1, StatusSucceeded)
	r.advance(300 * ms)
	if n := r.serve(30, idempotent, in20ms); n[2] != 0 {
		t.Errorf("%d of 30 went to the silent endpoint", n[2])
	}
}

// With nothing in flight there is no silence: else a sign of life after the last attempt was sent, and then that
// attempt's time-out, would leave a healthy endpoint without traffic for good.
func TestSilenceEndsWithTheLastAttempt(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	r.arrive("lost", idempotent)
	r.serve(1, idempotent, in20ms)
	r.endAttempt("lost", 0, 1, StatusTimedOut)
	r.advance(time.Minute)
	if s := r.b.silenceSeconds(r.b.endpoints[1]); s != 0 {
		t.Errorf("%v s of silence with nothing out", s)
	}
}

// Nodes must not settle on endpoints of their own: between an endpoint with this node's attempts and one with as
// many of other nodes, the latter is chosen.
func TestOwnAttemptsCountTwice(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	own, other := r.b.endpoints[1], r.b.endpoints[2]
	own.inFlight, other.reportedLoad = 2, 2.5
	other.loadBias, other.reportedAt = 2.5, r.now
	own.silentSince = r.now
	r.arrive("x", idempotent)
	if to := r.forwardedTo(); to != 2 {
		t.Errorf("sent to %d, which has this node's own", to)
	}
}

// Clients give up attempts early: a time-out among answers says little about the endpoint.
func TestTimeoutsAmongAnswersAreNoFailures(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.arrive("slow", idempotent)
	r.serve(5, idempotent, in20ms)
	r.endAttempt("slow", 0, 1, StatusTimedOut)
	if f := r.b.endpoints[1].failureRate; f != 0 {
		t.Errorf("failure rate %v", f)
	}
}

// Full queues serve everybody late; only rejecting clears them.
func TestLongQueuesAreRejected(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	sent, rejected := 0, 0
	for i := range 200 {
		r.arrive(fmt.Sprint("flood", i), nonIdempotent)
		sent += len(ofKind(Forward, r.last))
		rejected += len(ofKind(Reject, r.last))
	}
	if sent+rejected != 200 || rejected < 100 || sent < 8 {
		t.Errorf("%d forwarded, %d rejected of a flood of 200", sent, rejected)
	}
}

// answerLate plays answers that all come after their latency objective.
func (r *rig) answerLate(n int) {
	for i := range n {
		id := fmt.Sprint("late", r.now, i)
		r.arrive(id, idempotent)
		if len(ofKind(Forward, r.last)) == 0 {
			continue
		}
		to := r.forwardedTo()
		r.b.requests[id].attempts[0].waitAtSendSeconds = 0.4 // what made it late
		r.advance(400 * ms)
		r.keepLogs(r.handle(AttemptEnded{Request: id, Endpoint: to, Elapsed: 400 * ms, Final: true}))
	}
}

// When all endpoints become slow at once, idle ones still get requests.
func TestIdleEndpointsAreNeverFull(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	if n := r.serve(100, idempotent, func(EndpointID) time.Duration { return 500 * ms }); n[1]+n[2] < 100 {
		t.Errorf("only %v of 100 were sent to idle endpoints", n)
	}
}

// No setting says how much load is too much: the bound on the wait follows measured lateness.
func TestLatenessLowersTheQueueBudget(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(1000, idempotent, in20ms)
	if r.b.queueBudget.fraction < 2*initialQueueBudget || r.b.queueBudget.fraction > maxQueueBudget {
		t.Fatalf("queue budget %v while all is in time", r.b.queueBudget.fraction)
	}
	r.answerLate(200)
	if r.b.queueBudget.fraction != minQueueBudget {
		t.Errorf("queue budget %v after 200 late answers", r.b.queueBudget.fraction)
	}
	r.serve(3000, idempotent, in20ms)
	if r.b.queueBudget.fraction < initialQueueBudget {
		t.Errorf("queue budget %v after 3000 in time", r.b.queueBudget.fraction)
	}
}

// Answers out of a queue do not raise the unloaded latency: overload must not pass for slow endpoints.
func TestUnloadedLatencyIgnoresQueues(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	was := r.b.latency.classes[idempotent].unloadedSeconds
	for i := range 20 {
		id := fmt.Sprint(i)
		r.b.queueBudget.fraction = maxQueueBudget
		r.setOtherNodesLoad(1, 2)
		r.arrive(id, idempotent)
		r.forwardedTo()
		r.advance(100 * ms)
		r.handle(AttemptEnded{Request: id, Endpoint: 1, Elapsed: 100 * ms, Final: true})
	}
	if base := r.b.latency.classes[idempotent].unloadedSeconds; base != was {
		t.Errorf("from %v to %v", was, base)
	}
}

// Time-outs of an endpoint that hangs are no sign of overload, and must not make the node reject for the others.
func TestTimeoutsOfSilentEndpointsLeaveTheQueueBudget(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0))
	r.serve(300, idempotent, in20ms)
	was := r.b.queueBudget.fraction
	for i := range 5 {
		r.arrive(fmt.Sprint(i), nonIdempotent)
	}
	r.advance(time.Second)
	for i := range 5 {
		r.endAttempt(fmt.Sprint(i), 0, 1, StatusTimedOut)
	}
	if r.b.queueBudget.fraction != was {
		t.Errorf("queue budget went from %v to %v", was, r.b.queueBudget.fraction)
	}
}

// The bound on the wait is lower beyond the quota than within.
func TestRequestsBeyondTheQuotaAreRejectedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{QuotaPerSecond: 4, Share: 0.5}, {QuotaPerSecond: 4000, Share: 0.5}}
	cfg.OverQuotaValue = 0.1
	r := newRig(t, cfg, listedEndpoint(1, 0, 0))
	r.serve(50, idempotent, in20ms)
	bound := func(tenant int) float64 {
		return r.b.maxWaitSeconds(&request{tenant: tenant, class: &r.b.cfg.Classes[idempotent], stats: &r.b.latency.classes[idempotent]})
	}
	if bound(0) >= bound(1) { // the first tenant's quota is long used up
		t.Errorf("bounds %v beyond the quota and %v within", bound(0), bound(1))
	}
}

// Where not all can be served, what has more priority for its work comes first.
func TestMaxWaitFollowsPriority(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		cfg := testConfig()
		cfg.PriorityPerWork = byWork
		cfg.Classes[idempotent].PriorityWeight, cfg.Classes[nonIdempotent].PriorityWeight = 4, 1
		r := newRig(t, cfg, listedEndpoint(1, 0, 0))
		r.serve(100, idempotent, in20ms)
		r.serve(100, nonIdempotent, in20ms)
		dear := r.b.maxWaitSeconds(&request{class: &cfg.Classes[idempotent], stats: &r.b.latency.classes[idempotent], tenant: -1})
		cheap := r.b.maxWaitSeconds(&request{class: &cfg.Classes[nonIdempotent], stats: &r.b.latency.classes[nonIdempotent], tenant: -1})
		if dear < 2*cheap {
			t.Errorf("by work %v: bound %v at a high priority, %v at a low one", byWork, dear, cheap)
		}
		heavy := r.b.maxWaitSeconds(&request{class: &cfg.Classes[idempotent], stats: &r.b.latency.classes[idempotent], tenant: -1, workHint: time.Second})
		if byWork != (heavy == dear) {
			t.Errorf("by work %v: bound %v for a heavy request, %v for a usual one", byWork, heavy, dear)
		}
	}
}

// Retries are a tenth of the requests at most, and not much less while attempts are rejected.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	r := newRig(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	sends := 0
	for i := range 400 {
		id := fmt.Sprint("r", i)
		r.arrive(id, idempotent)
		for len(ofKind(Forward, r.last)) > 0 {
			a := ofKind(Forward, r.last)[0]
			sends++
			r.advance(5 * ms)
			r.handle(loadReported(a.Endpoint, 0))
			r.endAttempt(id, a.Attempt, a.Endpoint, StatusRejected)
		}
	}
	if sends > 400*11/10+1 || sends < 420 {
		t.Errorf("%d attempts for 400 requests", sends)
	}
}

// The number of health checks follows their price, at most maxHealthChecksPerTick of distinct endpoints in a tick.
func TestHealthChecksAreDistinctRandomAndPaidFor(t *testing.T) {
	for _, price := range []float64{0, 0.001, 0.01, 0.08} {
		cfg := testConfig()
		cfg.Prices.HealthCheck = price
		r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
		seen, checks := map[EndpointID]bool{}, 0
		for i := range 1000 {
			r.advance(2 * ms)
			r.arrive(fmt.Sprint(i), idempotent)
			for _, a := range ofKind(HealthCheck, r.last) {
				seen[a.Endpoint], checks = true, checks+1
			}
			r.arrive(fmt.Sprint("same tick", i), idempotent)
			if len(ofKind(HealthCheck, r.last)) != 0 {
				t.Fatal("two rounds of checks in one tick")
			}
		}
		// Two arrivals in each of 1000 ticks, and at most probesPerTick checks in each.
		want := int(min(1000*maxHealthChecksPerTick, 2000*healthCheckSpend/max(price, 1e-9)))
		if checks < want*9/10 || checks > want*11/10+1 || len(seen) != 3 {
			t.Errorf("price %v: %d checks of %d endpoints, want %d", price, checks, len(seen), want)
		}
	}
}

// A request crosses zones to a much faster endpoint, and not to an equal one.
func TestCrossingZonesMustPay(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.12
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 1, 1))
	r.serve(50, idempotent, in20ms)
	if n := r.serve(100, idempotent, in20ms); n[2] > 5 {
		t.Errorf("%d of 100 crossed to an equal endpoint", n[2])
	}
	if n := r.serve(300, idempotent, func(b EndpointID) time.Duration { return time.Duration(3-b) * 100 * ms }); n[2] < 100 {
		t.Errorf("only %d of 300 crossed to a much faster one", n[2])
	}
}

// Within any OverloadWindow an endpoint in slow start gets less than this node's part of what it can do, counted as
// work: one heavy request weighs as much as many light ones.
func TestEndpointsInSlowStartAreNotOverloaded(t *testing.T) {
	for _, heavy := range []bool{false, true} {
		cfg := testConfig()
		r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		hint, busy := 20*ms, false
		spent := map[EndpointID]time.Duration{1: 20 * ms, 2: 20 * ms}
		send := func(id string) EndpointID {
			r.handle(RequestArrived{Request: id, ExpectedWork: hint, TimeLeft: time.Second})
			r.advance(10 * ms)
			s := ofKind(Forward, r.last)
			if len(s) == 0 {
				return 0
			}
			if busy && s[0].Endpoint == 1 {
				r.handle(AttemptEnded{Request: id, Endpoint: 1, Status: StatusRejected}) // it is as full as it seems
				return 1
			}
			r.handle(AttemptEnded{Request: id, Endpoint: s[0].Endpoint, Elapsed: spent[s[0].Endpoint], Final: true})
			return s[0].Endpoint
		}
		for i := range 1000 {
			send(fmt.Sprint("warm", i))
		}
		busy = true
		r.b.endpoints[1].loadBias = 500 // so that it would all go to the starting one
		starting := listedEndpoint(2, 0, 0)
		starting.StartedAt = r.now
		r.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{starting}})
		if heavy {
			hint = 200 * ms
		}
		rate := 0.5 * 20.0 / 10.0 // work a second that each warm endpoint was seen to do
		var at []time.Duration
		for i := range 1500 {
			if send(fmt.Sprint("cold", i)) == 2 {
				at = append(at, r.now-10*ms)
			}
		}
		for i := range at {
			work := 0.0
			for j := i; j < len(at) && at[j] < at[i]+cfg.Rules.OverloadWindow; j++ {
				work += hint.Seconds()
			}
			end := min((at[i]+cfg.Rules.OverloadWindow-starting.StartedAt).Seconds()/cfg.Rules.SlowStartDuration.Seconds(), 1)
			can := (cfg.Rules.SlowStartFraction + (1-cfg.Rules.SlowStartFraction)*end) * rate * cfg.Rules.OverloadWindow.Seconds()
			if at[i] < starting.StartedAt+cfg.Rules.SlowStartDuration-cfg.Rules.OverloadWindow && work > 0.5*cfg.Rules.OverloadMultiple*can {
				t.Fatalf("heavy %v: %.2f s of work within a window of %.2f s", heavy, work, can)
			}
		}
		if len(at) < 10 {
			t.Errorf("heavy %v: the endpoint in slow start got only %d requests", heavy, len(at))
		}
	}
}

// The log lines that the README names are the lines that exist, and they are few.
func TestLogLines(t *testing.T) {
	page, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newRig(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(100, idempotent, in20ms)
	for range 80 {
		r.advance(200 * ms)
		r.serve(20, idempotent, func(b EndpointID) time.Duration { return time.Duration(2-b) * 150 * ms })
	}
	for range 40 {
		r.advance(1500 * ms)
		r.serve(20, idempotent, func(b EndpointID) time.Duration { return time.Duration(3-b) * 15 * ms })
	}
	r.answerLate(200)
	r.serve(3000, idempotent, in20ms)
	r.keepLogs(r.handle(DiscoveryFailed{}))
	r.keepLogs(r.handle(DiscoveryFailed{}))
	r.keepLogs(r.handle(EndpointsListed{Kind: CompleteList}))
	for _, text := range []string{"backend N fails: traffic withheld", "backend N answers again", "no ready backend",
		"answers come late: refusing early", "answers in time again", "discovery refused: asking again"} {
		if !strings.Contains(string(page), "`"+text+"`") {
			t.Errorf("the page lacks %q", text)
		}
		if !r.logged(strings.ReplaceAll(text, "N", "2")) {
			t.Errorf("not logged: %q, only %q", text, r.logs)
		}
	}
	if len(r.logs) > 12 {
		t.Errorf("%d log lines: %q", len(r.logs), r.logs)
	}
}
