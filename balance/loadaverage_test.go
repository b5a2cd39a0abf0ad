package balance

import (
	"testing"
	"time"
)

// Large fleets take seconds to check all endpoints: one without a report has the load of its peers, and one report
// does not change that, but many do.
func TestEndpointsWithoutReportsHaveTheMeanLoad(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0), listedEndpoint(3, 0, 0))
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

// The first reports tell of all endpoints that have not reported yet, at once and not by a twentieth each.
func TestFirstReportsTellOfEndpointsNotSeen(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	r.advance(time.Second)
	r.handle(loadReported(1, 10))
	if o := r.b.otherNodesLoad(r.b.endpoints[2]); o < 5 {
		t.Errorf("%v at an endpoint without reports, 10 at the first one with one", o)
	}
}

// A zone with more traffic than it can carry must not pass for the entire fleet, or the others stay idle.
func TestEachZoneHasItsOwnMeanLoad(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0),
		listedEndpoint(3, 1, 1), listedEndpoint(4, 1, 1))
	for range 20 {
		r.advance(200 * ms)
		r.handle(loadReported(1, 10))
		r.handle(loadReported(3, 0))
	}
	if here, there := r.b.expectedLoad(r.b.endpoints[2]), r.b.expectedLoad(r.b.endpoints[4]); here < 8 || there > 2 {
		t.Errorf("expected load %v and %v at endpoints without reports in a full and an idle zone", here, there)
	}
}

// A node of a large fleet has a report a second, of one endpoint out of many: that one had three requests is chance,
// and must not make an entire zone look full.
func TestOneReportDoesNotMoveTheZone(t *testing.T) {
	r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
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
