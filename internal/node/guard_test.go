package node

import (
	"net/http"
	"testing"
	"time"

	"hitchvale/balance"
)

// The guard prevents an attempt that would violate an invariant and counts it; one that the Balancer could not know to
// be impossible is prevented and not counted.
func TestGuardPreventsViolations(t *testing.T) {
	const (
		unsafe = iota
		keyed
		safe
	)
	cfg := balance.Config{
		Limits: balance.Limits{MaxAttempts: 3},
		Classes: []balance.Class{
			unsafe: {Repeatability: balance.NonIdempotent},
			keyed:  {Repeatability: balance.IdempotencyKey, KeyWindow: time.Second},
			safe:   {Repeatability: balance.Idempotent},
		},
	}
	// sent returns a request whose attempts were sent at one second and ended so.
	sent := func(class int, statuses ...balance.Status) *request {
		r := &request{class: class}
		for _, status := range statuses {
			ended := &attempt{status: status, sentAt: time.Second}
			ended.call.lifecycle.apply(resultRecorded)
			r.attempts = append(r.attempts, ended)
		}
		return r
	}
	const (
		mayRun   = balance.StatusConnectionLost
		neverRan = balance.StatusNotDelivered
		late     = balance.StatusTimedOut
		rejected = balance.StatusRejected
	)
	inFlight := &request{class: unsafe, attempts: []*attempt{{}}}
	ready := &backend{phase: balance.Ready}
	draining := &backend{phase: balance.Draining}
	for name, tc := range map[string]struct {
		r        *request
		to       *backend
		now      time.Duration
		may      bool
		violated invariant // invariantCount: none
	}{
		"first":                      {sent(unsafe), ready, 0, true, invariantCount},
		"to one that drains":         {sent(safe), draining, 0, false, invariantCount},
		"answered":                   {&request{class: safe, state: requestResponded}, ready, 0, false, invariantCount},
		"unsafe, may have run":       {sent(unsafe, mayRun), ready, 0, false, invariantEffectOnce},
		"unsafe, in flight":          {inFlight, ready, 0, false, invariantEffectOnce},
		"unsafe, never ran":          {sent(unsafe, neverRan), ready, 0, true, invariantCount},
		"keyed, within its window":   {sent(keyed, late), ready, 1900 * time.Millisecond, true, invariantCount},
		"keyed, after its window":    {sent(keyed, late), ready, 2 * time.Second, false, invariantEffectOnce},
		"safe, may have run":         {sent(safe, mayRun), ready, time.Hour, true, invariantCount},
		"more often than is allowed": {sent(safe, rejected, rejected, rejected), ready, 0, false, invariantMaxAttempts},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGuard(cfg, nopLog())
			if may := g.maySend(tc.r, tc.to, tc.now); may != tc.may {
				t.Errorf("may be sent: %v", may)
			}
			for r := range invariantCount {
				if n := g.violations[r].Load(); (n > 0) != (r == tc.violated) {
					t.Errorf("%s: %d violations", invariantNames[r], n)
				}
			}
		})
	}
}

// An attempt that started too long after its client's disconnect, or after its backend became unavailable, is counted.
func TestGuardCountsLateAttempts(t *testing.T) {
	g := newGuard(balance.Config{Rules: balance.Rules{DrainGrace: 500 * time.Millisecond}}, nopLog())
	stopped := &attempt{backend: &backend{unavailableSince: time.Second}}
	g.checkStart(&request{disconnectedAt: time.Second}, stopped, time.Second+disconnectGrace)
	g.checkStart(&request{}, stopped, 0)
	if g.violations[invariantClientConnected].Load()+g.violations[invariantBackendAvailable].Load() > 0 {
		t.Error("what began in time counts")
	}
	g.checkStart(&request{disconnectedAt: time.Second}, stopped, 2*time.Second)
	if g.violations[invariantClientConnected].Load() != 1 || g.violations[invariantBackendAvailable].Load() != 1 {
		t.Error("what began late does not count")
	}
}

// A connection that this side closes under a request that it has read is counted.
func TestGuardCountsConnectionClosedBeforeResponse(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return okResponse("late")
	}))
	defer close(hold)
	n := startNodeWith(t, b.Addr().String())
	eventually(t, "readiness", n.loop.ready.Load)
	go func() {
		if resp, err := (&http.Transport{}).RoundTrip(newClientRequest(t, n.url+"/api/x", "order")); err == nil {
			resp.Body.Close()
		}
	}()
	receive(t, "the request at the backend", held)
	n.server.conns.mu.Lock()
	for c := range n.server.conns.idleSince {
		c.Close() // the planted fault
	}
	n.server.conns.mu.Unlock()
	eventually(t, "the violation", func() bool { return n.loop.guard.violations[invariantConnectionKept].Load() == 1 })
}
