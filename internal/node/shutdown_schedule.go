package node

import (
	"cmp"
	"time"

	"hitchvale/internal/monotime"
	"hitchvale/internal/siteconfig"
)

// The termination grace period: after SIGTERM, SIGKILL follows no earlier than the longest deadline of any class,
// capped at maxDeadlineInGrace, plus gracePeriodBase.
const (
	maxDeadlineInGrace = 3 * time.Second
	gracePeriodBase    = 700 * time.Millisecond
)

// responseMargin is how long before the earliest SIGKILL the last response is written. A process may stall for 150 ms.
const responseMargin = 200 * time.Millisecond

// exitMargin is how long before the earliest SIGKILL a process exits if it only waits for clients to close connections.
const exitMargin = 50 * time.Millisecond

// lateRequestDivisor divides the longest deadline: the result is the time left for a request that is admitted at
// admitUntil.
const lateRequestDivisor = 4

// acceptPeriod is how long connections are accepted after SIGTERM. The load balancer in front of the node needs up to
// 0.4 s to notice that the node is no longer ready.
const acceptPeriod = 600 * time.Millisecond

// shutdownSchedule is the schedule of a graceful shutdown, from SIGTERM to the exit. Its instants, in order:
//
//	start             SIGTERM came: the readiness check fails, and each response closes its connection
//	acceptUntil       connections are accepted at least until then, and longer while some wait in the backlog
//	admitUntil        requests are admitted until then; later ones are rejected with 503
//	responseDeadline  every admitted request has its final response, every incomplete one is rejected
//	exitDue           the process exits, unless responses are still being streamed; closing its session (one fleet
//	                  interval) and flushing its log (0.5 s) follow, and are not part of the schedule
//	earliestKill      SIGKILL may come
//
// The schedule does not depend on whether another process of the node runs, since the time of SIGKILL does not either.
// Before the schedule starts, every request is admitted. The schedule is safe for concurrent use.
type shutdownSchedule struct {
	longestDeadline time.Duration   // of any class, capped at maxDeadlineInGrace
	startedAt       monotime.Atomic // when the shutdown began; zero before that
}

// newShutdownSchedule returns the schedule for a site's settings. The schedule is not started.
func newShutdownSchedule(settings siteconfig.Settings) *shutdownSchedule {
	return &shutdownSchedule{longestDeadline: min(longestDeadline(settings), maxDeadlineInGrace)}
}

// start starts the schedule now.
func (s *shutdownSchedule) start() { s.startedAt.Store(monotime.Now()) }

// started reports whether the process is shutting down.
func (s *shutdownSchedule) started() bool { return !s.startedAt.Load().IsZero() }

// earliestKill returns the earliest time at which SIGKILL may come.
func (s *shutdownSchedule) earliestKill() monotime.Instant {
	return s.startedAt.Load().Add(s.longestDeadline + gracePeriodBase)
}

// responseDeadline returns the time at which the last response has to be written.
func (s *shutdownSchedule) responseDeadline() monotime.Instant {
	return s.earliestKill().Add(-responseMargin)
}

// admitUntil returns the time until which requests are admitted.
func (s *shutdownSchedule) admitUntil() monotime.Instant {
	return s.responseDeadline().Add(-s.longestDeadline / lateRequestDivisor)
}

// acceptUntil returns the time until which connections are accepted even if none waits in the backlog.
func (s *shutdownSchedule) acceptUntil() monotime.Instant {
	return min(s.startedAt.Load().Add(acceptPeriod), s.admitUntil())
}

// admits reports whether a request that has been read completely may be admitted now.
func (s *shutdownSchedule) admits() bool { return !s.started() || monotime.Now() < s.admitUntil() }

// responsesDue reports whether responseDeadline has passed.
func (s *shutdownSchedule) responsesDue() bool {
	return s.started() && monotime.Now() >= s.responseDeadline()
}

// exitDue reports whether the process has to exit now, unless responses are still being streamed.
func (s *shutdownSchedule) exitDue() bool {
	return s.started() && monotime.Now() >= s.earliestKill().Add(-exitMargin)
}

// capDeadline returns a request's deadline. During a shutdown the result is responseDeadline at the latest.
func (s *shutdownSchedule) capDeadline(deadline time.Time) time.Time {
	if s.started() && monotime.At(deadline) > s.responseDeadline() {
		return s.responseDeadline().Time()
	}
	return deadline
}

// longestDeadline returns the longest time for which a request may be in flight.
func longestDeadline(settings siteconfig.Settings) time.Duration {
	var longest time.Duration
	for _, class := range settings.Config.Classes {
		longest = max(longest, cmp.Or(class.Deadline, defaultDeadline))
	}
	return longest
}
