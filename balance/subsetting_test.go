package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A complete list names every endpoint there is, also beyond this node's subset: one that it does not name is
// removed, and must not come back into the subset.
func TestCompleteListRemovesEndpointsOutsideTheSubset(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 100
	all := make([]Endpoint, 40)
	for i := range all {
		all[i] = listedEndpoint(EndpointID(i+1), 0, 0)
	}
	r := newHarness(t, cfg, all...)
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
			t.Errorf("node %d uses %d endpoints that are no outliers", node, counted)
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
	r := newHarness(t, cfg, members...)
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
	r := newHarness(t, cfg, members...)
	size := len(r.b.usable)
	for range 5 {
		for _, e := range r.b.usable {
			e.outlier = true
		}
		r.handle(EndpointsListed{Kind: ListChanges})
	}
	if n := len(r.b.usable); n > 2*size {
		t.Errorf("%d endpoints beside a subset of %d", n-size, size)
	}
	r = newHarness(t, cfg, members...)
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
		r := newHarness(t, cfg, members...)
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
