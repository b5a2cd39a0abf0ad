package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
)

// invariant is an invariant of the node. It holds whatever the Balancer decides and in whatever order events arrive.
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
	// invariantConnectionKept: the node closes no connection under a request that it has read.
	invariantConnectionKept
	// invariantShutdownAnswered: a process has answered all that it admitted before SIGKILL may come.
	invariantShutdownAnswered
	invariantCount
)

// invariantNames are the names in the log and the values of the metrics' label.
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

// guard checks the invariants on attempts and connections, apart from the code that decides on them. It prevents an
// attempt that would violate one, and counts violations: a count above zero is a fault of the program. It belongs to
// the loop, but for reportViolation, which may be called from any goroutine.
type guard struct {
	classes      []balance.Class
	drainGrace   time.Duration
	maxAttempts  int // of a request
	violations   [invariantCount]atomic.Int64
	violationLog *lograte.Limited
}

// newGuard returns the guard for a site's settings.
func newGuard(config balance.Config, log *slog.Logger) *guard {
	return &guard{
		classes:      config.Classes,
		drainGrace:   config.Rules.DrainGrace,
		maxAttempts:  max(config.Limits.MaxAttempts, 1),
		violationLog: &lograte.Limited{Log: log},
	}
}

// reportViolation counts and logs a violation, with further attributes for the log.
func (g *guard) reportViolation(r invariant, request string, args ...any) {
	g.violations[r].Add(1)
	g.violationLog.Warn("invariant violated", append([]any{"rule", invariantNames[r], "request", request}, args...)...)
}

// maySend reports whether another attempt for a request may go to a backend. It is no violation where the Balancer
// could not know yet that it may not, as when a drain of the backend is just being announced.
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

// mayRunTwice reports whether the effect of a request could happen twice with another attempt. It goes by the class and
// the key window alone; that a retry stays within its key's scope is balance's repeatAllowed.
func (g *guard) mayRunTwice(r *request, now time.Duration) bool {
	if r.class >= len(g.classes) || g.classes[r.class].Repeatability == balance.Idempotent {
		return false
	}
	for _, at := range r.attempts {
		if at.ended() && at.status.NeverRan() {
			continue
		}
		if c := &g.classes[r.class]; c.Repeatability == balance.NonIdempotent || now >= at.sentAt+c.KeyWindow {
			return true
		}
	}
	return false
}

// checkStart checks that an attempt which began to be written at a time had a backend and a client then.
func (g *guard) checkStart(r *request, sent *attempt, startedAt time.Duration) {
	if stopped := sent.backend.unavailableSince; stopped > 0 && startedAt > stopped+g.drainGrace {
		g.reportViolation(invariantBackendAvailable, r.id, "backend", sent.backend.id, "after", startedAt-stopped)
	}
	if r.disconnectedAt > 0 && startedAt > r.disconnectedAt+disconnectGrace {
		g.reportViolation(invariantClientConnected, r.id, "backend", sent.backend.id, "after", startedAt-r.disconnectedAt)
	}
}
