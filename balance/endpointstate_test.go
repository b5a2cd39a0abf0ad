package balance

import (
	"fmt"
	"testing"
	"time"
)

// A restarted endpoint has a new process. Neither the old process's slow start credit nor its speed applies to the new
// process.
func TestRestartResetsTheEndpointState(t *testing.T) {
	old := listedEndpoint(1, 0, 0)
	old.StartedAt = time.Hour
	h := newHarness(t, testConfig(), old, listedEndpoint(2, 0, 0))
	h.serve(50, idempotent, in20ms)
	e := h.b.endpoints[1]
	e.slowStartCreditSeconds, e.servedWorkSeconds, e.meanLatencySeconds = -9, 9, 9
	old.StartedAt = h.now
	h.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{old}})
	if e.slowStartCreditSeconds < 0 || e.servedWorkSeconds != 0 || e.meanLatencySeconds != 0 || e.knownSince != h.now {
		t.Errorf("the state after the restart still has values of the old process: %+v", *e)
	}
}

// An endpoint that is draining, is removed, or is missing from a complete list gets no requests.
func TestDrainingAndRemovedEndpointsGetNothing(t *testing.T) {
	for _, phase := range []Phase{Draining, Removed} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
		drained := listedEndpoint(1, 0, 0)
		drained.Phase = phase
		h.handle(EndpointsListed{Kind: ListChanges, Endpoints: []Endpoint{drained}})
		for i := range 20 {
			h.arrive(fmt.Sprint(i), idempotent)
			for _, a := range h.last {
				if a.Kind == Forward && a.Endpoint == 1 {
					t.Fatalf("phase %d: a request was forwarded to the endpoint", phase)
				}
			}
		}
		h.handle(EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{listedEndpoint(3, 0, 0)}})
		h.advance(10 * time.Second)
		h.arrive("last", idempotent)
		if to := h.forwardedTo(); to != 3 {
			t.Fatalf("forwarded to %d, want 3, the only endpoint of the complete list", to)
		}
	}
}
