package node

import (
	"strings"
	"testing"
	"time"

	"hitchvale/balance"
)

// What a request is owed by, once the node is told to end, lies on the monotonic clock: a step of the wall clock changes
// neither its deadline nor what may be sent for it.
func TestDrainDeadlineIsMonotonic(t *testing.T) {
	n := startOn(t, echo(t).Addr().String())
	eventually(t, "readiness", n.loop.ready.Load)
	deadlines := make(chan time.Time, 1)
	n.onLoop(t, func() {
		n.loop.onServed = func(r *request, _ time.Duration) { deadlines <- r.deadline }
	})
	n.stop()
	eventually(t, "the drain", n.server.shutdown.started)
	do(t, ask(t, n.url+"/api/x", "order"))
	if deadline := receive(t, "a request", deadlines); !strings.Contains(deadline.String(), " m=") {
		t.Errorf("the deadline %v is a wall time", deadline)
	}
}

// launchedOf is when a backend started, by the clock of the module.
func (s *started) launchedOf(t *testing.T, id string) (launched time.Duration, ok bool) {
	t.Helper()
	s.onLoop(t, func() {
		b := s.loop.backendsByID[id]
		if b == nil {
			return
		}
		for _, m := range s.loop.balancer.HandoverState().Endpoints {
			if m.ID == b.endpointID {
				launched, ok = m.StartedAt, true
			}
		}
	})
	return launched, ok
}

// A start is told as a wall time of another machine. Where the two clocks differ by an hour, a backend that joins while the
// node runs, or starts again, still counts as cold, and does not stay cold for longer than one that has started just now.
func TestColdStartOutlivesAStepOfTheWallClock(t *testing.T) {
	for name, shift := range map[string]time.Duration{"an hour back": -time.Hour, "an hour ahead": time.Hour, "a minute back": -time.Minute} {
		t.Run(name, func(t *testing.T) {
			addr := echo(t).Addr().String()
			whole := listText(1, true, listed{"old", addr, "ready", 0}, listed{"again", addr, "ready", 1000})
			reg := newRegistry(t, whole)
			n := start(t, testConfig(t, reg.addr, whole))
			eventually(t, "readiness", n.loop.ready.Load)
			told := time.Now().Add(shift).UnixMilli()
			var before time.Duration
			n.onLoop(t, func() { before = n.loop.now() })
			reg.next <- listText(2, false, listed{"fresh", addr, "ready", told}, listed{"again", addr, "ready", told})
			for _, id := range []string{"fresh", "again"} {
				var launched time.Duration
				eventually(t, id, func() (ok bool) {
					launched, ok = n.launchedOf(t, id)
					return ok && launched != 1000*time.Millisecond
				})
				if age := before - launched; age > 10*time.Second || age < -patience {
					t.Errorf("%s counts as started %v before it was told", id, age)
				}
			}
			if launched, _ := n.launchedOf(t, "old"); launched != 0 {
				t.Errorf("the old one counts as started at %v", launched)
			}
		})
	}
	t.Run("put back", testPutBack)
}

// A backend that was put back by hand counts as cold from then on, whatever the record's wall time says.
func testPutBack(t *testing.T) {
	for name, shift := range map[string]time.Duration{"an hour back": -time.Hour, "an hour ahead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			n := startOn(t, echo(t).Addr().String())
			eventually(t, "readiness", n.loop.ready.Load)
			stamp := time.Now().Add(shift).UnixNano()
			var at []time.Duration
			n.onLoop(t, func() {
				before := n.loop.now()
				n.loop.applyCordons(cordonRecord{Version: 1, Backends: map[string]cordon{"s-0": {Cordoned: true, CordonedAt: stamp}}})
				n.loop.applyCordons(cordonRecord{Version: 2, Backends: map[string]cordon{"s-0": {CordonedAt: stamp, UncordonedAt: stamp + 1}}})
				at = []time.Duration{before, n.loop.balancer.UncordonedAt(balance.EndpointID(0)), n.loop.now()}
			})
			if at[1] < at[0] || at[1] > at[2] {
				t.Errorf("put back %v after it was, %v before now", at[1]-at[0], at[2]-at[1])
			}
		})
	}
}
