package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
)

// rule is an invariant of the node. It holds whatever the Balancer decides and in whatever order events arrive.
type rule uint8

const (
	// ruleRecipient: no attempt starts at a backend that stopped taking requests longer than the drain grace ago.
	ruleRecipient rule = iota
	// ruleOwner: no attempt starts for a client that disconnected longer than disconnectGrace ago.
	ruleOwner
	// ruleEffect: no effect happens twice. A non-idempotent request is not retried once an attempt may have run, and
	// one with an idempotency key not after its key's window.
	ruleEffect
	// ruleAttempts: a request has no more attempts than the settings allow.
	ruleAttempts
	// ruleAnswer: the node closes no connection under a request that it has read.
	ruleAnswer
	// ruleShutdown: a process has answered all that it admitted before SIGKILL may come.
	ruleShutdown
	ruleCount
)

// ruleNames are the names in the log and the values of the metrics' label.
var ruleNames = [ruleCount]string{
	ruleRecipient: "recipient",
	ruleOwner:     "owner",
	ruleEffect:    "effect",
	ruleAttempts:  "attempts",
	ruleAnswer:    "answer",
	ruleShutdown:  "shutdown",
}

// disconnectGrace is how long after a client's disconnect an attempt for it may still start.
const disconnectGrace = 100 * time.Millisecond

// guard checks the invariants on attempts and connections, apart from the code that decides on them. It prevents an
// attempt that would violate one, and counts violations: a count above zero is a fault of the program. It belongs to
// the loop, but for reportViolation, which may be called from any goroutine.
type guard struct {
	classes     []balance.Class
	drainGrace  time.Duration
	maxAttempts int // of a request
	violations  [ruleCount]atomic.Int64
	warnings    *lograte.Limited
}

// newGuard returns the guard for a site's settings.
func newGuard(config balance.Config, log *slog.Logger) *guard {
	return &guard{
		classes:     config.Classes,
		drainGrace:  config.Rules.DrainGrace,
		maxAttempts: max(config.Limits.MaxAttempts, 1),
		warnings:    &lograte.Limited{Log: log},
	}
}

// reportViolation counts and logs a violation, with further attributes for the log.
func (g *guard) reportViolation(r rule, request string, args ...any) {
	g.violations[r].Add(1)
	g.warnings.Warn("invariant violated", append([]any{"rule", ruleNames[r], "request", request}, args...)...)
}

// maySend reports whether another attempt for a request may go to a backend. It is no violation where the Balancer
// could not know yet that it may not, as when a drain of the backend is just being announced.
func (g *guard) maySend(r *request, target *backend, now time.Duration) bool {
	switch {
	case !target.available() || !r.isOpen():
		return false
	case len(r.attempts) >= g.maxAttempts:
		g.reportViolation(ruleAttempts, r.id, "attempts", len(r.attempts))
		return false
	case g.mayRunTwice(r, now):
		g.reportViolation(ruleEffect, r.id, "class", r.class, "attempts", len(r.attempts))
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
		g.reportViolation(ruleRecipient, r.id, "backend", sent.backend.id, "after", startedAt-stopped)
	}
	if r.disconnectedAt > 0 && startedAt > r.disconnectedAt+disconnectGrace {
		g.reportViolation(ruleOwner, r.id, "backend", sent.backend.id, "after", startedAt-r.disconnectedAt)
	}
}
