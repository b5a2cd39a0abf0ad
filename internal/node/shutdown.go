package node

import (
	"time"

	"hitchvale/balance"
	"hitchvale/internal/monotime"
	"hitchvale/internal/siteconfig"
)

// The spans of a shutdown, from SIGTERM on (PROTOCOL).
const (
	// killDeadlineMost is the most that the longest deadline puts off SIGKILL, and killGrace comes on top.
	maxDeadlineInGrace, gracePeriodBase = 3 * time.Second, 700 * time.Millisecond
	// killMargin is how long before the earliest kill the last answer is written: a process may be held up for 0.15 s.
	answerMargin = 200 * time.Millisecond
	// lastPart is the part of the longest deadline that is left to a request which is taken at the last moment.
	lateRequestShare = 4
	// exitMargin is how long before the earliest kill a process ends itself that only waits for clients to close.
	exitMargin = 50 * time.Millisecond
	// acceptFor is how long connections are accepted: the front needs up to 0.4 s to see that the process leaves.
	acceptPeriod = 600 * time.Millisecond
)

// shutdown is the schedule of a process that was told to end. It has one form whatever else runs under the node's name, as the
// kill does not ask: what is taken until takeUntil is answered by answerBy, and what comes later is refused.
type shutdownSchedule struct {
	deadline  time.Duration   // the longest of the settings, as far as it puts off the kill
	startedAt monotime.Atomic // when the process was told to end; zero: it was not
}

func newShutdownSchedule(s siteconfig.Settings) *shutdownSchedule {
	return &shutdownSchedule{deadline: min(longestDeadline(s), maxDeadlineInGrace)}
}

// begin starts the schedule now.
func (s *shutdownSchedule) start() { s.startedAt.Store(monotime.Now()) }

// begun tells whether the process was told to end.
func (s *shutdownSchedule) started() bool { return !s.startedAt.Load().IsZero() }

// killAt is the earliest at which the process may be killed.
func (s *shutdownSchedule) earliestKill() monotime.Instant {
	return s.startedAt.Load().Add(s.deadline + gracePeriodBase)
}

// answerBy is when the last answer has to be written.
func (s *shutdownSchedule) answerDeadline() monotime.Instant {
	return s.earliestKill().Add(-answerMargin)
}

// takeUntil is until when requests are taken.
func (s *shutdownSchedule) admitUntil() monotime.Instant {
	return s.answerDeadline().Add(-s.deadline / lateRequestShare)
}

// acceptUntil is until when connections are accepted, whether or not any wait.
func (s *shutdownSchedule) acceptUntil() monotime.Instant {
	return min(s.startedAt.Load().Add(acceptPeriod), s.admitUntil())
}

// takes tells whether a request that has come whole may be taken.
func (s *shutdownSchedule) admits() bool { return !s.started() || monotime.Now() < s.admitUntil() }

// due tells whether all that was taken has to be answered now.
func (s *shutdownSchedule) answersDue() bool {
	return s.started() && monotime.Now() >= s.answerDeadline()
}

// over tells whether it is time to end, but for answers that are still being passed on.
func (s *shutdownSchedule) expired() bool {
	return s.started() && monotime.Now() >= s.earliestKill().Add(-exitMargin)
}

// bound returns the deadline of a request in a process that may have been told to end.
func (s *shutdownSchedule) capDeadline(deadline time.Time) time.Time {
	if s.started() && monotime.At(deadline) > s.answerDeadline() {
		return s.answerDeadline().Time()
	}
	return deadline
}

// answerOpen gives every request that has no answer yet its final one, at the time by which that has to be written: also those
// that were taken before the process was told to end and have more time than that. Answers that are being passed on go on.
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

// checkShutdown counts the requests that the earliest kill would find unanswered.
func (l *eventLoop) checkAllAnswered() {
	for id, r := range l.requests {
		if r.isOpen() {
			l.guard.reportViolation(ruleShutdown, id, "attempts", len(r.attempts), "last", r.lastStatus())
		}
	}
}
