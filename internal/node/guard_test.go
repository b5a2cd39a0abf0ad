package node

import (
	"net/http"
	"testing"
	"time"

	"hitchvale/balance"
)

// The guard prevents an attempt that would violate an invariant and counts it; one that the Balancer could not know to
// be impossible is prevented and not counted.
func TestGuardRefusesWhatWouldBreakARule(t *testing.T) {
	const unsafe, keyed, safe = 0, 1, 2
	cfg := balance.Config{Limits: balance.Limits{MaxAttempts: 3}, Classes: []balance.Class{
		{Repeatability: balance.NonIdempotent}, {Repeatability: balance.IdempotencyKey, KeyWindow: time.Second}, {Repeatability: balance.Idempotent}}}
	over := func(st balance.Status) *attempt {
		ended := &attempt{status: st, sentAt: time.Second}
		ended.call.lifecycle.apply(resultRecorded)
		return ended
	}
	ready, draining := &backend{phase: balance.Ready}, &backend{phase: balance.Draining}
	for name, tc := range map[string]struct {
		r      *request
		to     *backend
		now    time.Duration
		may    bool
		broken rule // ruleCount: none
	}{
		"first":                      {&request{class: unsafe}, ready, 0, true, ruleCount},
		"to one that drains":         {&request{class: safe}, draining, 0, false, ruleCount},
		"answered":                   {&request{class: safe, state: requestResponded}, ready, 0, false, ruleCount},
		"unsafe, may have run":       {&request{class: unsafe, attempts: []*attempt{over(balance.StatusConnectionLost)}}, ready, 0, false, ruleEffect},
		"unsafe, still out":          {&request{class: unsafe, attempts: []*attempt{{}}}, ready, 0, false, ruleEffect},
		"unsafe, never ran":          {&request{class: unsafe, attempts: []*attempt{over(balance.StatusConnectFailed)}}, ready, 0, true, ruleCount},
		"keyed, within its window":   {&request{class: keyed, attempts: []*attempt{over(balance.StatusTimedOut)}}, ready, 1900 * time.Millisecond, true, ruleCount},
		"keyed, after its window":    {&request{class: keyed, attempts: []*attempt{over(balance.StatusTimedOut)}}, ready, 2 * time.Second, false, ruleEffect},
		"safe, may have run":         {&request{class: safe, attempts: []*attempt{over(balance.StatusConnectionLost)}}, ready, time.Hour, true, ruleCount},
		"more often than is allowed": {&request{class: safe, attempts: []*attempt{over(balance.StatusRejected), over(balance.StatusRejected), over(balance.StatusRejected)}}, ready, 0, false, ruleAttempts},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGuard(cfg, quiet())
			if may := g.maySend(tc.r, tc.to, tc.now); may != tc.may {
				t.Errorf("may be sent: %v", may)
			}
			for r := range ruleCount {
				if n := g.violations[r].Load(); (n > 0) != (r == tc.broken) {
					t.Errorf("%s: %d violations", ruleNames[r], n)
				}
			}
		})
	}
}

// An attempt that started too long after its client's disconnect, or after its backend became unavailable, is counted.
func TestGuardCountsWhatBeganTooLate(t *testing.T) {
	g := newGuard(balance.Config{Rules: balance.Rules{DrainGrace: 500 * time.Millisecond}}, quiet())
	stopped := &attempt{backend: &backend{unavailableSince: time.Second}}
	g.checkStart(&request{disconnectedAt: time.Second}, stopped, time.Second+disconnectGrace)
	g.checkStart(&request{}, stopped, 0)
	if g.violations[ruleOwner].Load()+g.violations[ruleRecipient].Load() > 0 {
		t.Error("what began in time counts")
	}
	g.checkStart(&request{disconnectedAt: time.Second}, stopped, 2*time.Second)
	if g.violations[ruleOwner].Load() != 1 || g.violations[ruleRecipient].Load() != 1 {
		t.Error("what began late does not count")
	}
}

// A connection that this side closes under a request that it has read is counted.
func TestGuardCountsAConnectionEndedUnderARequest(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return ok200("late")
	}))
	defer close(hold)
	n := startOn(t, b.Addr().String())
	eventually(t, "readiness", n.loop.ready.Load)
	go func() {
		if resp, err := (&http.Transport{}).RoundTrip(ask(t, n.url+"/api/x", "order")); err == nil {
			resp.Body.Close()
		}
	}()
	receive(t, "the request at the backend", held)
	n.server.conns.mu.Lock()
	for c := range n.server.conns.idleSince {
		c.Close() // the planted fault
	}
	n.server.conns.mu.Unlock()
	eventually(t, "the violation", func() bool { return n.loop.guard.violations[ruleAnswer].Load() == 1 })
}
