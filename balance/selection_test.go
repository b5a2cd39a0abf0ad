package balance

import (
	"testing"
	"time"
)

// An endpoint four times as slow gets at most a quarter of what the other gets.
func TestSlowEndpointsGetLess(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	n := r.serve(200, idempotent, func(b EndpointID) time.Duration { return time.Duration(b*b) * 20 * ms })
	if n[2]*4 > n[1] {
		t.Errorf("the endpoint four times as slow got %d of 200", n[2])
	}
}

// Nodes must not settle on endpoints of their own: between an endpoint with this node's attempts and one with as
// many of other nodes, the latter is chosen.
func TestOwnAttemptsCountTwice(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	own, other := r.b.endpoints[1], r.b.endpoints[2]
	own.inFlight, other.reportedLoad = 2, 2.5
	other.loadBias, other.reportedAt = 2.5, r.now
	own.lastActivityAt = r.now
	r.arrive("x", idempotent)
	if to := r.forwardedTo(); to != 2 {
		t.Errorf("sent to %d, which has this node's own", to)
	}
}

// When all endpoints become slow at once, idle ones still get requests.
func TestIdleEndpointsAreNeverFull(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	if n := r.serve(100, idempotent, func(EndpointID) time.Duration { return 500 * ms }); n[1]+n[2] < 100 {
		t.Errorf("only %v of 100 were sent to idle endpoints", n)
	}
}

// A request crosses zones to a much faster endpoint, and not to an equal one.
func TestCrossingZonesMustPay(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.12
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 1, 1))
	r.serve(50, idempotent, in20ms)
	if n := r.serve(100, idempotent, in20ms); n[2] > 5 {
		t.Errorf("%d of 100 crossed to an equal endpoint", n[2])
	}
	fasterThere := func(id EndpointID) time.Duration { return time.Duration(3-id) * 100 * ms }
	if n := r.serve(300, idempotent, fasterThere); n[2] < 100 {
		t.Errorf("only %d of 300 crossed to a much faster one", n[2])
	}
}

// An endpoint that fails now and then has no queue for that: while it has capacity it gets what no other can take.
// One that fails most of the time does not.
func TestFailuresAreNoWait(t *testing.T) {
	for _, tc := range map[string]struct {
		fails float64
		want  ActionKind
	}{"some": {0.5, Forward}, "most": {0.9, Reject}} {
		r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		r.serve(300, idempotent, in20ms)
		full, failing := r.b.endpoints[1], r.b.endpoints[2]
		r.setOtherNodesLoad(1, 3*r.b.slackSeconds()/r.b.serviceSeconds(full))
		r.setOtherNodesLoad(2, 1)
		full.reportedAt, failing.reportedAt, failing.failureRate, r.b.probeAdmission.rejected = r.now, r.now, tc.fails, 1
		if acts := r.arrive("x", idempotent); len(ofKind(tc.want, acts)) != 1 {
			t.Errorf("a failure rate of %v: %+v", tc.fails, acts)
		}
	}
}
