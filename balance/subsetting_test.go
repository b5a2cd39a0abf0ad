package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A complete list names every endpoint, inside and outside of this node's subset. An endpoint that the list does not
// name is removed and must not return to the subset.
func TestCompleteListRemovesEndpointsOutsideTheSubset(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 100
	all := make([]Endpoint, 40)
	for i := range all {
		all[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	h := newHarness(t, cfg, all...)
	if len(h.b.usable) != 4 { // of 40, so that at least 8 of 100 nodes use each on average
		t.Fatalf("the node uses %d endpoints, want 4", len(h.b.usable))
	}
	var others []Endpoint
	for _, listed := range all {
		if !slices.Contains(h.b.usable, h.b.endpoints[listed.ID]) && len(others) < 3 {
			others = append(others, listed)
		}
	}
	h.handle(EndpointsListed{Kind: CompleteList, Endpoints: others})
	h.handle(EndpointsListed{Kind: CompleteList, Endpoints: others[:1]})
	h.advance(2 * time.Second)
	for i := range 50 {
		h.arrive(fmt.Sprint(i), idempotent)
		for _, a := range ofKind(Forward, h.last) {
			if a.Endpoint != others[0].ID {
				t.Fatalf("sent to endpoint %d, which was removed", a.Endpoint)
			}
		}
	}
}

// The nodes use different subsets, so that no endpoint gets all the requests or none. An outlier does not count towards
// the subset, so that a zone that fails does not leave a node without any endpoint.
func TestSubsetsDifferAndGrowByOutliers(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 100
	endpoints := make([]Endpoint, 40)
	for i := range endpoints {
		endpoints[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	users := map[EndpointID]int{}
	for node := range cfg.Instances {
		cfg.Index = node
		h := newHarness(t, cfg, endpoints...)
		for _, e := range h.b.usable {
			users[e.ID]++
		}
		for _, e := range h.b.usable[:3] {
			e.outlier = true
		}
		h.handle(EndpointsListed{Kind: ListChanges})
		counted := 0
		for _, e := range h.b.usable {
			if !e.outlier {
				counted++
			}
		}
		if counted != 4 {
			t.Errorf("node %d uses %d endpoints that are no outliers, want 4", node, counted)
		}
	}
	for _, listed := range endpoints {
		if n := users[listed.ID]; n < nodesPerEndpoint/4 || n > 3*nodesPerEndpoint {
			t.Errorf("%d of 100 nodes use endpoint %d, want %d to %d", n, listed.ID, nodesPerEndpoint/4, 3*nodesPerEndpoint)
		}
	}
}

// A node must send requests to each endpoint of its subset often. A node of a fleet of 80 with 19 requests a second
// gets about two answers a second from each endpoint in its own zone, and not one answer in three seconds.
func TestEndpointsOfASubsetGetRequestsOften(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Instances = nil, 80
	var endpoints []Endpoint
	for i := range 60 {
		endpoints = append(endpoints, listedEndpoint(EndpointID(i+1), i%3, 0))
	}
	h := newHarness(t, cfg, endpoints...)
	h.b.slowStart.warmThroughput = 1
	for range 3 {
		h.serve(19, idempotent, in20ms)
		h.advance(time.Second)
	}
	if n := len(h.b.usable); n < 6 || n > 12 {
		t.Errorf("the node uses %d endpoints for 19 requests a second, want 6 to 12", n)
	}
}

// Under overload many endpoints seem to fail, and clients retry. Neither may make a node use more and more endpoints of
// the fleet.
func TestOverloadDoesNotGrowTheSubset(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Instances = nil, 80
	endpoints := make([]Endpoint, 40)
	for i := range endpoints {
		endpoints[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	h := newHarness(t, cfg, endpoints...)
	size := len(h.b.usable)
	for range 5 {
		for _, e := range h.b.usable {
			e.outlier = true
		}
		h.handle(EndpointsListed{Kind: ListChanges})
	}
	if n := len(h.b.usable); n > 2*size {
		t.Errorf("%d outliers in addition to a subset of %d endpoints, want at most %[2]d", n-size, size)
	}
	h = newHarness(t, cfg, endpoints...)
	for i := range 1000 {
		h.advance(5 * ms)
		h.b.usable = nil // no request can be forwarded
		h.arrive(fmt.Sprint(i), idempotent)
	}
	if n := len(h.b.usable); n > size {
		t.Errorf("the subset has %d endpoints after rejected requests, want at most %d", n, size)
	}
}

// Without quotas that show the request rate, the size of a subset follows the rate of arrivals. If a node of a large
// fleet with few requests a second used all endpoints, it would send to each of them once in several seconds, and its
// estimates would be out of date.
func TestSubsetSizeFollowsTheRequestRate(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Instances = nil, 80
	endpoints := make([]Endpoint, 40)
	for i := range endpoints {
		endpoints[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	for _, c := range []struct{ perSecond, least, most int }{
		{4, 4, 4}, {60, 7, 10}, {300, 40, 40},
	} {
		h := newHarness(t, cfg, endpoints...)
		for i := range 10 * c.perSecond {
			h.advance(time.Second / time.Duration(c.perSecond))
			h.arrive(fmt.Sprint(i), idempotent)
			for _, a := range ofKind(Forward, h.last) {
				h.endAttempt(a.Request, 0, a.Endpoint, StatusSucceeded)
			}
		}
		if n := len(h.b.usable); n < c.least || n > c.most {
			t.Errorf("%d requests a second: the node uses %d endpoints, want %d to %d", c.perSecond, n, c.least, c.most)
		}
	}
}
