package balance

import (
	"testing"
	"time"
)

// An endpoint that is four times as slow gets at most a quarter of the requests of the other one.
func TestSlowEndpointsGetFewerRequests(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	n := h.serve(200, idempotent, func(id EndpointID) time.Duration { return time.Duration(id*id) * 20 * ms })
	if n[2]*4 > n[1] {
		t.Errorf("the endpoint that is four times as slow got %d of 200 requests, want at most a quarter of the other's %d",
			n[2], n[1])
	}
}

// If this node's attempts load one endpoint, and the attempts of other nodes load another endpoint about equally, a
// request goes to the endpoint that the other nodes load. Otherwise each node would keep sending to the same few
// endpoints.
func TestOwnAttemptsCountTwice(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	own, other := h.b.endpoints[1], h.b.endpoints[2]
	own.inFlight, other.reportedLoad = 2, 2.5
	other.loadBias, other.reportedAt = 2.5, h.now
	own.lastActivityAt = h.now
	h.arrive("x", idempotent)
	if to := h.forwardedTo(); to != 2 {
		t.Errorf("sent to endpoint %d, which has this node's own attempts; want endpoint 2", to)
	}
}

// Idle endpoints still get requests when all endpoints become slow at the same time.
func TestIdleEndpointsAreNeverFull(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	if n := h.serve(100, idempotent, func(EndpointID) time.Duration { return 500 * ms }); n[1]+n[2] < 100 {
		t.Errorf("idle endpoints got %v of 100 requests, want 100 in total", n)
	}
}

// A request crosses zones to a much faster endpoint, but not to an equally fast one.
func TestRequestsCrossZonesOnlyToFasterEndpoints(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.12
	h := newHarness(t, cfg, listedEndpoint(1, 0, 0), listedEndpoint(2, 1, 1))
	h.serve(50, idempotent, in20ms)
	if n := h.serve(100, idempotent, in20ms); n[2] > 5 {
		t.Errorf("%d of 100 requests crossed zones to an equally fast endpoint, want at most 5", n[2])
	}
	fasterInOtherZone := func(id EndpointID) time.Duration { return time.Duration(3-id) * 100 * ms }
	if n := h.serve(300, idempotent, fasterInOtherZone); n[2] < 100 {
		t.Errorf("%d of 300 requests crossed zones to a much faster endpoint, want at least 100", n[2])
	}
}

// Failures do not count as a wait. An endpoint that fails some of the time gets the requests that no other endpoint can
// take while it has capacity. An endpoint that fails most of the time does not.
func TestFailuresDoNotCountAsWait(t *testing.T) {
	for _, tc := range map[string]struct {
		failureRate float64
		want        ActionKind
	}{"some": {0.5, Forward}, "most": {0.9, Reject}} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		h.serve(300, idempotent, in20ms)
		full, failing := h.b.endpoints[1], h.b.endpoints[2]
		h.setOtherNodesLoad(1, 3*h.b.slackSeconds()/h.b.serviceSeconds(full))
		h.setOtherNodesLoad(2, 1)
		full.reportedAt, failing.reportedAt, failing.failureRate, h.b.probeAdmission.rejected = h.now, h.now, tc.failureRate, 1
		if acts := h.arrive("x", idempotent); len(ofKind(tc.want, acts)) != 1 {
			t.Errorf("at a failure rate of %v: %+v", tc.failureRate, acts)
		}
	}
}
