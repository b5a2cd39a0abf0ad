package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
)

// invariant identifies an invariant of the node. Invariants hold for every decision of the Balancer and for every order
// of events.
type invariant uint8

const (
	// invariantBackendAvailable: no attempt starts at a backend that became unavailable longer than the drain grace ago.
	invariantBackendAvailable invariant = iota
	// invariantClientConnected: no attempt starts for a client that disconnected longer than disconnectGrace ago.
	invariantClientConnected
	// invariantEffectOnce: no effect happens twice. A non-idempotent request is not retried once an attempt may have
	// run, and a request with an idempotency key is not retried after its key's window.
	invariantEffectOnce
	// invariantMaxAttempts: a request has no more attempts than the settings allow.
	invariantMaxAttempts
	// invariantConnectionKept: the node does not close the connection of a request that it has read and not answered.
	invariantConnectionKept
	// invariantShutdownAnswered: a process that shuts down has answered all admitted requests before SIGKILL may come.
	invariantShutdownAnswered
	invariantCount
)

// invariantNames are the values of the log attribute and of the metric's label.
var invariantNames = [invariantCount]string{
	invariantBackendAvailable: "recipient",
	invariantClientConnected:  "owner",
	invariantEffectOnce:       "effect",
	invariantMaxAttempts:      "attempts",
	invariantConnectionKept:   "answer",
	invariantShutdownAnswered: "shutdown",
}

// disconnectGrace is how long after a client's disconnect an attempt for it may still start.
const disconnectGrace = 100 * time.Millisecond

// guard checks the invariants on attempts and connections, independently of the code that decides on them. It prevents
// attempts that would violate an invariant, and counts violations. A count above zero means that the program has a
// fault. Only the event loop may call the methods of guard, except reportViolation, which any goroutine may call.
type guard struct {
	classes      []balance.Class
	drainGrace   time.Duration
	maxAttempts  int // per request
	violations   [invariantCount]atomic.Int64
	violationLog *lograte.Limited
}

// newGuard returns a guard with the limits of a site's settings.
func newGuard(config balance.Config, log *slog.Logger) *guard {
	return &guard{
		classes:      config.Classes,
		drainGrace:   config.Rules.DrainGrace,
		maxAttempts:  max(config.Limits.MaxAttempts, 1),
		violationLog: &lograte.Limited{Log: log},
	}
}

// reportViolation counts and logs a violation. args are further attributes for the log.
func (g *guard) reportViolation(i invariant, request string, args ...any) {
	g.violations[i].Add(1)
	g.violationLog.Warn("invariant violated", append([]any{"rule", invariantNames[i], "request", request}, args...)...)
}

// maySend reports whether another attempt for a request may be sent to a backend. It counts no violation if the backend
// is unavailable or the request is over, because the Balancer may not have been notified yet, for example of a drain.
func (g *guard) maySend(r *request, target *backend, now time.Duration) bool {
	switch {
	case !target.available() || !r.isOpen():
		return false
	case len(r.attempts) >= g.maxAttempts:
		g.reportViolation(invariantMaxAttempts, r.id, "attempts", len(r.attempts))
		return false
	case g.mayRunTwice(r, now):
		g.reportViolation(invariantEffectOnce, r.id, "class", r.class, "attempts", len(r.attempts))
		return false
	}
	return true
}

// mayRunTwice reports whether another attempt could repeat the effect of a request. It considers only the class and the
// window of the idempotency key. The scope of the key is checked by repeatAllowed in package balance.
func (g *guard) mayRunTwice(r *request, now time.Duration) bool {
	if r.class >= len(g.classes) || g.classes[r.class].Repeatability == balance.Idempotent {
		return false
	}
	for _, a := range r.attempts {
		if a.ended() && a.status.NeverRan() {
			continue
		}
		if c := &g.classes[r.class]; c.Repeatability == balance.NonIdempotent || now >= a.sentAt+c.KeyWindow {
			return true
		}
	}
	return false
}

// runsOnce reports whether a request of a class must not run twice. A request with an idempotency key may, but a
// request that comes again with the same id is not told apart from the first.
func (g *guard) runsOnce(class int) bool {
	return class < len(g.classes) && g.classes[class].Repeatability != balance.Idempotent
}

// checkStart checks that the backend was available and the client connected when an attempt began to be written.
// startedAt is that time on the loop's clock.
func (g *guard) checkStart(r *request, a *attempt, startedAt time.Duration) {
	if since := a.backend.unavailableSince; since > 0 && startedAt > since+g.drainGrace {
		g.reportViolation(invariantBackendAvailable, r.id, "backend", a.backend.id, "after", startedAt-since)
	}
	if r.disconnectedAt > 0 && startedAt > r.disconnectedAt+disconnectGrace {
		g.reportViolation(invariantClientConnected, r.id, "backend", a.backend.id, "after", startedAt-r.disconnectedAt)
	}
}
