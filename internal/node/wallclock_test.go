package node

import (
	"strings"
	"testing"
	"time"

	"hitchvale/balance"
)

// The deadline of a request during a shutdown has a reading of the monotonic clock, so a step of the wall clock does
// not change it.
func TestShutdownDeadlineIsMonotonic(t *testing.T) {
	n := startNodeWith(t, newEchoBackend(t).Addr().String())
	eventually(t, "readiness", n.loop.ready.Load)
	deadlines := make(chan time.Time, 1)
	n.runOnLoop(t, func() {
		n.loop.onServed = func(r *request, _ time.Duration) { deadlines <- r.deadline }
	})
	n.stop()
	eventually(t, "the start of the shutdown", n.server.shutdown.started)
	roundTrip(t, newClientRequest(t, n.url+"/api/x", "order"))
	if deadline := receive(t, "the request's deadline", deadlines); !strings.Contains(deadline.String(), " m=") {
		t.Errorf("the deadline %v has no reading of the monotonic clock", deadline)
	}
}

// startTimeOf returns the start time of a backend in the Balancer's state.
func (s *testNode) startTimeOf(t *testing.T, id string) (startedAt time.Duration, ok bool) {
	t.Helper()
	s.runOnLoop(t, func() {
		b := s.loop.backendsByID[id]
		if b == nil {
			return
		}
		for _, m := range s.loop.balancer.HandoverState().Endpoints {
			if m.ID == b.endpointID {
				startedAt, ok = m.StartedAt, true
			}
		}
	})
	return startedAt, ok
}

// Start times are wall clock times of other machines. Even if the two clocks differ by an hour, a backend that joins or
// restarts while the node runs is in slow start, for no longer than a backend that has started just now.
func TestSlowStartDespiteWallClockDifference(t *testing.T) {
	for name, shift := range map[string]time.Duration{
		"an hour back":  -time.Hour,
		"an hour ahead": time.Hour,
		"a minute back": -time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			addr := newEchoBackend(t).Addr().String()
			list := formatList(1, true, listEntry{"old", addr, "ready", 0}, listEntry{"again", addr, "ready", 1000})
			service := newDiscoveryService(t, list)
			n := startNode(t, testConfig(t, service.addr, list))
			eventually(t, "readiness", n.loop.ready.Load)
			listedStart := time.Now().Add(shift).UnixMilli()
			var before time.Duration
			n.runOnLoop(t, func() { before = n.loop.now() })
			service.changes <- formatList(2, false,
				listEntry{"fresh", addr, "ready", listedStart}, listEntry{"again", addr, "ready", listedStart})
			for _, id := range []string{"fresh", "again"} {
				var startedAt time.Duration
				eventually(t, id, func() (ok bool) {
					startedAt, ok = n.startTimeOf(t, id)
					return ok && startedAt != 1000*time.Millisecond
				})
				if age := before - startedAt; age > 10*time.Second || age < -testTimeout {
					t.Errorf("%s counts as started %v before it was listed", id, age)
				}
			}
			if startedAt, _ := n.startTimeOf(t, "old"); startedAt != 0 {
				t.Errorf("the old backend counts as started at %v, want 0", startedAt)
			}
		})
	}
	t.Run("uncordoned", testSlowStartAfterUncordon)
}

// An uncordoned backend is in slow start from the time at which the node reads the record. The wall clock time in the
// record does not matter.
func testSlowStartAfterUncordon(t *testing.T) {
	for name, shift := range map[string]time.Duration{"an hour back": -time.Hour, "an hour ahead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			n := startNodeWith(t, newEchoBackend(t).Addr().String())
			eventually(t, "readiness", n.loop.ready.Load)
			recordedAt := time.Now().Add(shift).UnixNano()
			var at []time.Duration
			n.runOnLoop(t, func() {
				before := n.loop.now()
				cordoned := cordon{Cordoned: true, CordonedAt: recordedAt}
				n.loop.applyCordons(cordonRecord{Version: 1, Backends: map[string]cordon{"s-0": cordoned}})
				uncordoned := cordon{CordonedAt: recordedAt, UncordonedAt: recordedAt + 1}
				n.loop.applyCordons(cordonRecord{Version: 2, Backends: map[string]cordon{"s-0": uncordoned}})
				at = []time.Duration{before, n.loop.balancer.UncordonedAt(balance.EndpointID(0)), n.loop.now()}
			})
			if at[1] < at[0] || at[1] > at[2] {
				t.Errorf("uncordoned %v after the start and %v before the end of the change", at[1]-at[0], at[2]-at[1])
			}
		})
	}
}
