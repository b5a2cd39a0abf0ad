package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A complete list names every endpoint, in this node's subset or not. An endpoint that it does not name is removed and
// must not come back into the subset.
func TestCompleteListRemovesEndpointsOutsideTheSubset(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 100
	all := make([]Endpoint, 40)
	for i := range all {
		all[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newHarness(t, cfg, all...)
	if len(r.b.usable) != 4 { // of 40, so that at least 8 of 100 nodes use each on average
		t.Fatalf("the node uses %d endpoints, want 4", len(r.b.usable))
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
	members := make([]Endpoint, 40)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	users := map[EndpointID]int{}
	for node := range cfg.Instances {
		cfg.Index = node
		r := newHarness(t, cfg, members...)
		for _, e := range r.b.usable {
			users[e.ID]++
		}
		for _, e := range r.b.usable[:3] {
			e.outlier = true
		}
		r.handle(EndpointsListed{Kind: ListChanges})
		counted := 0
		for _, e := range r.b.usable {
			if !e.outlier {
				counted++
			}
		}
		if counted != 4 {
			t.Errorf("node %d uses %d endpoints that are no outliers, want 4", node, counted)
		}
	}
	for _, m := range members {
		if n := users[m.ID]; n < nodesPerEndpoint/4 || n > 3*nodesPerEndpoint {
			t.Errorf("%d of 100 nodes use endpoint %d", n, m.ID)
		}
	}
}

// A node must send requests to each endpoint of its subset often. A node of a fleet of 80 with 19 requests a second
// gets about two answers a second from each endpoint in its own zone, and not one answer in three seconds.
func TestEndpointsOfASubsetGetRequestsOften(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Instances = nil, 80
	var members []Endpoint
	for i := range 60 {
		members = append(members, listedEndpoint(EndpointID(i+1), i%3, 0))
	}
	r := newHarness(t, cfg, members...)
	r.b.slowStart.warmThroughput = 1
	for range 3 {
		r.serve(19, idempotent, in20ms)
		r.advance(time.Second)
	}
	if n := len(r.b.usable); n < 6 || n > 12 {
		t.Errorf("the node uses %d endpoints for 19 requests a second, want 6 to 12", n)
	}
}

// Under overload many endpoints seem to fail, and clients retry. Neither may make a node use more and more endpoints of
// the fleet.
func TestOverloadDoesNotGrowTheSubset(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Instances = nil, 80
	members := make([]Endpoint, 40)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newHarness(t, cfg, members...)
	size := len(r.b.usable)
	for range 5 {
		for _, e := range r.b.usable {
			e.outlier = true
		}
		r.handle(EndpointsListed{Kind: ListChanges})
	}
	if n := len(r.b.usable); n > 2*size {
		t.Errorf("%d endpoints in addition to a subset of %d", n-size, size)
	}
	r = newHarness(t, cfg, members...)
	for i := range 1000 {
		r.advance(5 * ms)
		r.b.usable = nil // no request can be forwarded
		r.arrive(fmt.Sprint(i), idempotent)
	}
	if n := len(r.b.usable); n > size {
		t.Errorf("the subset has %d endpoints after rejected requests", n)
	}
}

// Without quotas that show the request rate, the size of a subset follows the rate of arrivals. If a node of a large
// fleet with few requests a second used all endpoints, it would send to each of them once in several seconds, and know
// none of them.
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
		r := newHarness(t, cfg, members...)
		for i := range 10 * c.perSecond {
			r.advance(time.Second / time.Duration(c.perSecond))
			r.arrive(fmt.Sprint(i), idempotent)
			for _, a := range ofKind(Forward, r.last) {
				r.endAttempt(a.Request, 0, a.Endpoint, StatusSucceeded)
			}
		}
		if n := len(r.b.usable); n < c.least || n > c.most {
			t.Errorf("%d requests a second: the node uses %d endpoints", c.perSecond, n)
		}
	}
}
