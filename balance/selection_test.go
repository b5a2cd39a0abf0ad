package balance

import (
	"testing"
	"time"
)

// An endpoint that is four times as slow gets at most a quarter of the requests of the other one.
func TestSlowEndpointsGetFewerRequests(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	n := r.serve(200, idempotent, func(id EndpointID) time.Duration { return time.Duration(id*id) * 20 * ms })
	if n[2]*4 > n[1] {
		t.Errorf("the endpoint that is four times as slow got %d of 200 requests", n[2])
	}
}

// A node must not settle on endpoints of its own. Of an endpoint with this node's attempts and an endpoint with as many
// attempts of other nodes, it chooses the latter.
func TestOwnAttemptsCountTwice(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	own, other := r.b.endpoints[1], r.b.endpoints[2]
	own.inFlight, other.reportedLoad = 2, 2.5
	other.loadBias, other.reportedAt = 2.5, r.now
	own.lastActivityAt = r.now
	r.arrive("x", idempotent)
	if to := r.forwardedTo(); to != 2 {
		t.Errorf("sent to endpoint %d, which has this node's own attempts", to)
	}
}

// Idle endpoints still get requests when all endpoints become slow at the same time.
func TestIdleEndpointsAreNeverFull(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	if n := r.serve(100, idempotent, func(EndpointID) time.Duration { return 500 * ms }); n[1]+n[2] < 100 {
		t.Errorf("only %v of 100 requests were sent to idle endpoints", n)
	}
}

// A request crosses zones to a much faster endpoint, but not to an equally fast one.
func TestRequestsCrossZonesOnlyToFasterEndpoints(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.12
	r := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 1, 1))
	r.serve(50, idempotent, in20ms)
	if n := r.serve(100, idempotent, in20ms); n[2] > 5 {
		t.Errorf("%d of 100 requests crossed zones to an equally fast endpoint", n[2])
	}
	fasterInOtherZone := func(id EndpointID) time.Duration { return time.Duration(3-id) * 100 * ms }
	if n := r.serve(300, idempotent, fasterInOtherZone); n[2] < 100 {
		t.Errorf("only %d of 300 requests crossed zones to a much faster endpoint", n[2])
	}
}

// Failures do not count as a wait. An endpoint that fails some of the time gets the requests that no other endpoint can
// take while it has capacity. An endpoint that fails most of the time does not.
func TestFailuresDoNotCountAsWait(t *testing.T) {
	for _, tc := range map[string]struct {
		failureRate float64
		want        ActionKind
	}{"some": {0.5, Forward}, "most": {0.9, Reject}} {
		r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		r.serve(300, idempotent, in20ms)
		full, failing := r.b.endpoints[1], r.b.endpoints[2]
		r.setOtherNodesLoad(1, 3*r.b.slackSeconds()/r.b.serviceSeconds(full))
		r.setOtherNodesLoad(2, 1)
		full.reportedAt, failing.reportedAt, failing.failureRate, r.b.probeAdmission.rejected = r.now, r.now, tc.failureRate, 1
		if acts := r.arrive("x", idempotent); len(ofKind(tc.want, acts)) != 1 {
			t.Errorf("at a failure rate of %v: %+v", tc.failureRate, acts)
		}
	}
}
