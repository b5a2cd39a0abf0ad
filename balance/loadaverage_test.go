package balance

import (
	"testing"
	"time"
)

// In a large fleet it takes seconds to check all endpoints. An endpoint without a report is expected to have the mean
// load. A single report of the endpoint barely changes the expected load, but many reports change it.
func TestEndpointsWithoutReportsHaveTheMeanLoad(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
	h.handle(loadReported(1, 10))
	if o := h.b.otherNodesLoad(h.b.endpoints[1]); o != 10 {
		t.Errorf("load %v after a first report of 10, want 10", o)
	}
	for i := range 100 {
		h.advance(5 * time.Second)
		h.handle(loadReported(2, float64(10+i%2)))
	}
	if o := h.b.otherNodesLoad(h.b.endpoints[3]); o < 9 || o > 11 {
		t.Errorf("load %v at an endpoint without reports, want 9 to 11 as at the others", o)
	}
	h.advance(5 * time.Second)
	h.handle(loadReported(3, 0))
	if o := h.b.expectedLoad(h.b.endpoints[3]); o < 6 {
		t.Errorf("expected load %v after a single report of 0, want at least 6", o)
	}
	for range 40 {
		h.advance(5 * time.Second)
		h.handle(loadReported(3, 0))
		h.handle(loadReported(2, 10))
		h.handle(loadReported(1, 10))
	}
	if o := h.b.expectedLoad(h.b.endpoints[3]); o > 2 {
		t.Errorf("expected load %v at an endpoint that always reports 0, want at most 2", o)
	}
}

// The first reports apply to all endpoints that have not reported yet. The mean load follows them immediately, and not
// only by sampleWeight with each report.
func TestFirstReportsApplyToEndpointsWithoutReports(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	h.advance(time.Second)
	h.handle(loadReported(1, 10))
	if o := h.b.otherNodesLoad(h.b.endpoints[2]); o < 5 {
		t.Errorf("load %v at an endpoint without reports, want at least 5 after a first report of 10", o)
	}
}

// The mean load of a zone with more traffic than it can handle must not be used as the expected load of endpoints in
// other zones. Otherwise the other zones stay idle.
func TestEachZoneHasItsOwnMeanLoad(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0),
		listedEndpoint(3, 1, 1), listedEndpoint(4, 1, 1))
	for range 20 {
		h.advance(200 * ms)
		h.handle(loadReported(1, 10))
		h.handle(loadReported(3, 0))
	}
	if here, there := h.b.expectedLoad(h.b.endpoints[2]), h.b.expectedLoad(h.b.endpoints[4]); here < 8 || there > 2 {
		t.Errorf("expected load %v in a full zone, want at least 8; %v in an idle zone, want at most 2", here, there)
	}
}

// A node of a large fleet gets one load report a second, from one endpoint of many. If this endpoint has three more
// requests by chance, the node must not treat the entire zone as full.
func TestOneReportHardlyChangesTheZoneMean(t *testing.T) {
	h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	for range 50 {
		h.advance(time.Second)
		h.handle(loadReported(1, 1))
		h.handle(loadReported(2, 1))
	}
	was := h.b.loads.zoneMean(0)
	h.advance(time.Second)
	h.handle(loadReported(2, 4))
	if more := h.b.loads.zoneMean(0) - was; more <= 0 || more > 0.5 {
		t.Errorf("three more requests at one endpoint raise the mean of its zone by %.2f, want above 0, at most 0.5", more)
	}
}
