package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
)

// rule is a rule that the node keeps whatever the Balancer decides and in whatever order events come.
type rule uint8

// The rules, in the order of ruleNames.
const (
	// ruleRecipient: nothing begins to go to a backend that has taken nothing new for longer than the grace.
	ruleRecipient rule = iota
	// ruleOwner: nothing begins to go for a request whose client has gone for longer than goneGrace.
	ruleOwner
	// ruleEffect: no effect happens twice. An unsafe request is not sent again once an attempt may have run, and a keyed one
	// not after its window.
	ruleEffect
	// ruleAttempts: a request is sent no more often than the settings allow.
	ruleAttempts
	// ruleAnswer: the node ends no connection under a request that it has read.
	ruleAnswer
	// ruleShutdown: a process that was told to end has answered all that it took before it may be killed.
	ruleShutdown
	ruleCount
)

var ruleNames = [ruleCount]string{"recipient", "owner", "effect", "attempts", "answer", "shutdown"}

// goneGrace is how long after its client has gone an attempt may still begin.
const disconnectGrace = 100 * time.Millisecond

// guard holds the rules on sending and closing in one place, apart from the decisions, and counts what breaks them. An
// attempt that would break one is not made; a count above zero is a fault of the program.
type guard struct {
	classes     []balance.Class
	drainGrace  time.Duration // of a drain
	maxAttempts int           // of a request, by the settings; 0: not told
	violations  [ruleCount]atomic.Int64
	warnings    *lograte.Limited
}

func newGuard(config balance.Config, log *slog.Logger) *guard {
	return &guard{classes: config.Classes, drainGrace: config.Rules.DrainGrace, maxAttempts: max(config.Limits.MaxAttempts, 1), warnings: &lograte.Limited{Log: log}}
}

// violated counts and logs a broken rule.
func (g *guard) reportViolation(r rule, request string, args ...any) {
	g.violations[r].Add(1)
	g.warnings.Warn("invariant violated", append([]any{"rule", ruleNames[r], "request", request}, args...)...)
}

// maySend tells whether another attempt for a request may go to a backend. What the Balancer can't know yet, such as a drain
// that it is being told of, is refused and breaks nothing.
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

// mayDouble tells whether an effect could happen twice if a request were sent once more.
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

// began checks, on the loop, an attempt that began to go at a time: what it was sent for still stood then.
func (g *guard) checkStart(r *request, sent *attempt, startedAt time.Duration) {
	if stopped := sent.backend.unavailableSince; stopped > 0 && startedAt > stopped+g.drainGrace {
		g.reportViolation(ruleRecipient, r.id, "backend", sent.backend.id, "after", startedAt-stopped)
	}
	if r.disconnectedAt > 0 && startedAt > r.disconnectedAt+disconnectGrace {
		g.reportViolation(ruleOwner, r.id, "backend", sent.backend.id, "after", startedAt-r.disconnectedAt)
	}
}
