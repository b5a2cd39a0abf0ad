package node

import (
	"net/http"
	"testing"
	"time"

	"hitchvale/balance"
)

// The guard prevents an attempt that would violate an invariant, and counts the violation. It also prevents an attempt
// to an unavailable backend or for a request that is over, but does not count a violation, because the Balancer may not
// have been notified yet.
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
	// sent returns a request whose attempts were sent at 1 s and ended with the given statuses.
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
		mayHaveRun = balance.StatusConnectionLost
		neverRan   = balance.StatusNotDelivered
		timedOut   = balance.StatusTimedOut
		rejected   = balance.StatusRejected
	)
	inFlight := &request{class: unsafe, attempts: []*attempt{{}}}
	ready := &backend{phase: balance.Ready}
	draining := &backend{phase: balance.Draining}
	for name, tc := range map[string]struct {
		r        *request
		to       *backend
		now      time.Duration
		allowed  bool
		violated invariant // invariantCount: none
	}{
		"first attempt":              {sent(unsafe), ready, 0, true, invariantCount},
		"to a draining backend":      {sent(safe), draining, 0, false, invariantCount},
		"answered":                   {&request{class: safe, state: requestResponded}, ready, 0, false, invariantCount},
		"unsafe, may have run":       {sent(unsafe, mayHaveRun), ready, 0, false, invariantEffectOnce},
		"unsafe, in flight":          {inFlight, ready, 0, false, invariantEffectOnce},
		"unsafe, never ran":          {sent(unsafe, neverRan), ready, 0, true, invariantCount},
		"keyed, within its window":   {sent(keyed, timedOut), ready, 1900 * time.Millisecond, true, invariantCount},
		"keyed, after its window":    {sent(keyed, timedOut), ready, 2 * time.Second, false, invariantEffectOnce},
		"safe, may have run":         {sent(safe, mayHaveRun), ready, time.Hour, true, invariantCount},
		"more attempts than allowed": {sent(safe, rejected, rejected, rejected), ready, 0, false, invariantMaxAttempts},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGuard(cfg, nopLog())
			if allowed := g.maySend(tc.r, tc.to, tc.now); allowed != tc.allowed {
				t.Errorf("maySend returned %v, want %v", allowed, tc.allowed)
			}
			for i := range invariantCount {
				if n := g.violations[i].Load(); (n > 0) != (i == tc.violated) {
					t.Errorf("%s: %d violations", invariantNames[i], n)
				}
			}
		})
	}
}

// An attempt that starts too long after its client disconnected or its backend became unavailable is a violation.
func TestGuardCountsLateAttempts(t *testing.T) {
	g := newGuard(balance.Config{Rules: balance.Rules{DrainGrace: 500 * time.Millisecond}}, nopLog())
	unavailable := &attempt{backend: &backend{unavailableSince: time.Second}}
	g.checkStart(&request{disconnectedAt: time.Second}, unavailable, time.Second+disconnectGrace)
	g.checkStart(&request{}, unavailable, 0)
	if g.violations[invariantClientConnected].Load()+g.violations[invariantBackendAvailable].Load() > 0 {
		t.Error("an attempt that started in time counts as a violation")
	}
	g.checkStart(&request{disconnectedAt: time.Second}, unavailable, 2*time.Second)
	if g.violations[invariantClientConnected].Load() != 1 || g.violations[invariantBackendAvailable].Load() != 1 {
		t.Error("an attempt that started too late does not count as a violation")
	}
}

// The node counts a violation if it closes a connection before it has responded to a request that it has read.
func TestGuardCountsConnectionClosedBeforeResponse(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		arrived <- struct{}{}
		<-release
		return okResponse("late")
	}))
	defer close(release)
	n := startNodeWith(t, b.Addr().String())
	eventually(t, "readiness", n.loop.ready.Load)
	go func() {
		if resp, err := (&http.Transport{}).RoundTrip(newClientRequest(t, n.url+"/api/x", "order")); err == nil {
			resp.Body.Close()
		}
	}()
	receive(t, "the request at the backend", arrived)
	n.server.conns.mu.Lock()
	for c := range n.server.conns.idleSince {
		c.Close() // violates the invariant
	}
	n.server.conns.mu.Unlock()
	eventually(t, "the violation", func() bool { return n.loop.guard.violations[invariantConnectionKept].Load() == 1 })
}
