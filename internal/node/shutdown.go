package node

import (
	"time"

	"hitchvale/balance"
	"hitchvale/internal/monotime"
	"hitchvale/internal/siteconfig"
)

// The termination grace period: after SIGTERM, SIGKILL follows no earlier than the longest deadline of any class,
// capped at maxDeadlineInGrace, plus gracePeriodBase.
const (
	maxDeadlineInGrace = 3 * time.Second
	gracePeriodBase    = 700 * time.Millisecond
)

// answerMargin is how long before the earliest SIGKILL the last answer is written: a process may stall for 150 ms.
const answerMargin = 200 * time.Millisecond

// exitMargin is how long before the earliest SIGKILL a process exits that only waits for clients to close.
const exitMargin = 50 * time.Millisecond

// lateRequestDivisor: a request admitted at the last moment has this fraction of the longest deadline left.
const lateRequestDivisor = 4

// acceptPeriod is how long connections are accepted after SIGTERM: the load balancer in front needs up to 0.4 s to
// notice that the node is not ready any more.
const acceptPeriod = 600 * time.Millisecond

// shutdownSchedule says what a process does when, from SIGTERM to its exit:
//
//	SIGTERM         start: not ready any more, each answer closes its connection
//	acceptUntil     connections are accepted until now, and further while some wait in the backlog
//	admitUntil      requests are admitted until now, later ones get 503
//	answerDeadline  every admitted request has its answer, incomplete ones get 503
//	expired         the process exits, but for answers that are still being streamed
//	earliestKill    SIGKILL may come
//
// It is the same whether or not another process of the node runs: the time of the kill does not depend on that. Before
// start it admits everything. It is safe for concurrent use.
type shutdownSchedule struct {
	longestDeadline time.Duration   // of any class, capped at maxDeadlineInGrace
	startedAt       monotime.Atomic // when the process got SIGTERM; zero: it has not
}

// newShutdownSchedule returns the schedule for a site's settings, not started.
func newShutdownSchedule(settings siteconfig.Settings) *shutdownSchedule {
	return &shutdownSchedule{longestDeadline: min(longestDeadline(settings), maxDeadlineInGrace)}
}

// start starts the schedule now.
func (s *shutdownSchedule) start() { s.startedAt.Store(monotime.Now()) }

// started reports whether the process is shutting down.
func (s *shutdownSchedule) started() bool { return !s.startedAt.Load().IsZero() }

// earliestKill returns when SIGKILL may come at the earliest.
func (s *shutdownSchedule) earliestKill() monotime.Instant {
	return s.startedAt.Load().Add(s.longestDeadline + gracePeriodBase)
}

// answerDeadline returns when the last answer has to be written.
func (s *shutdownSchedule) answerDeadline() monotime.Instant {
	return s.earliestKill().Add(-answerMargin)
}

// admitUntil returns until when requests are admitted.
func (s *shutdownSchedule) admitUntil() monotime.Instant {
	return s.answerDeadline().Add(-s.longestDeadline / lateRequestDivisor)
}

// acceptUntil returns until when connections are accepted even if none waits in the backlog.
func (s *shutdownSchedule) acceptUntil() monotime.Instant {
	return min(s.startedAt.Load().Add(acceptPeriod), s.admitUntil())
}

// admits reports whether a request that is complete now may be admitted.
func (s *shutdownSchedule) admits() bool { return !s.started() || monotime.Now() < s.admitUntil() }

// answersDue reports whether every admitted request has to be answered now.
func (s *shutdownSchedule) answersDue() bool {
	return s.started() && monotime.Now() >= s.answerDeadline()
}

// expired reports whether it is time to exit, but for answers that are still being streamed.
func (s *shutdownSchedule) expired() bool {
	return s.started() && monotime.Now() >= s.earliestKill().Add(-exitMargin)
}

// capDeadline returns a request's deadline, brought forward to answerDeadline in a process that is shutting down.
func (s *shutdownSchedule) capDeadline(deadline time.Time) time.Time {
	if s.started() && monotime.At(deadline) > s.answerDeadline() {
		return s.answerDeadline().Time()
	}
	return deadline
}

// answerAllOpen fails every request that has no final answer at answerDeadline, also those admitted before SIGTERM with
// a later deadline of their own. Answers that are being streamed go on.
func (l *eventLoop) answerAllOpen() {
	var open []*request
	for _, r := range l.requests {
		if r.isOpen() {
			open = append(open, r)
		}
	}
	for _, r := range open {
		l.handle(balance.ClientDisconnected{Request: r.id}) // nothing more is to be done for it
		l.respond(r, finalResponse{kind: responseFailed})
	}
}

// checkAllAnswered reports every request that SIGKILL would find unanswered as a violation of ruleShutdown.
func (l *eventLoop) checkAllAnswered() {
	for id, r := range l.requests {
		if r.isOpen() {
			l.guard.reportViolation(ruleShutdown, id, "attempts", len(r.attempts), "last", r.lastStatus())
		}
	}
}
