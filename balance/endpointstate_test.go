package balance

import (
	"fmt"
	"testing"
	"time"
)

// A restarted endpoint is a new process: what the old one was sent in slow start is not the new one's, nor its
// speed.
func TestRestartResetsTheEndpointState(t *testing.T) {
	old := listedEndpoint(1, 0, 0)
	old.StartedAt = time.Hour
	r := newHarness(t, testConfig(), old, listedEndpoint(2, 0, 0))
	r.serve(50, idempotent, in20ms)
	e := r.b.endpoints[1]
	e.slowStartCreditSeconds, e.servedWorkSeconds, e.meanLatencySeconds = -9, 9, 9
	old.StartedAt = r.now
	r.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{old}})
	if e.slowStartCreditSeconds < 0 || e.servedWorkSeconds != 0 || e.meanLatencySeconds != 0 || e.knownSince != r.now {
		t.Errorf("%+v", *e)
	}
}

// An endpoint that drains, is removed, or is missing in a complete list gets no requests.
func TestDrainingAndRemovedEndpointsGetNothing(t *testing.T) {
	for _, phase := range []Phase{Draining, Removed} {
		r := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		drained := listedEndpoint(1, 0, 0)
		drained.Phase = phase
		r.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{drained}})
		for i := range 20 {
			r.arrive(fmt.Sprint(i), idempotent)
			for _, a := range r.last {
				if a.Kind == Forward && a.Endpoint == 1 {
					t.Fatalf("phase %d: sent to it", phase)
				}
			}
		}
		r.handle(EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{listedEndpoint(3, 0, 0)}})
		r.advance(10 * time.Second)
		r.arrive("last", idempotent)
		if to := r.forwardedTo(); to != 3 {
			t.Fatalf("sent to %d, which the full list does not name", to)
		}
	}
}
