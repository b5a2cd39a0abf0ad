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

// responseMargin is how long before the earliest SIGKILL the last response is written: a process may stall for 150 ms.
const responseMargin = 200 * time.Millisecond

// exitMargin is how long before the earliest SIGKILL a process exits that only waits for clients to close.
const exitMargin = 50 * time.Millisecond

// lateRequestDivisor: a request admitted at the last moment has this fraction of the longest deadline left.
const lateRequestDivisor = 4

// acceptPeriod is how long connections are accepted after SIGTERM: the load balancer in front needs up to 0.4 s to
// notice that the node is not ready any more.
const acceptPeriod = 600 * time.Millisecond

// shutdownSchedule is the schedule of a graceful shutdown, from SIGTERM to the exit. Its instants, in their order:
//
//	start             SIGTERM came: the readiness check fails, and each response closes its connection
//	acceptUntil       connections are accepted at least until then, and further while some wait in the backlog
//	admitUntil        requests are admitted until then; later ones are rejected with 503
//	responseDeadline  every admitted request has its final response, every incomplete one is rejected
//	exitDue           the process exits, unless responses are still being streamed; closing its session (one fleet
//	                  interval) and flushing its log (0.5 s) come behind that, and are not counted in the schedule
//	earliestKill      SIGKILL may come
//
// It is the same whether or not another process of the node runs, as the time of the kill does not depend on that.
// Before its start everything is admitted. It is safe for concurrent use.
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

// responseDeadline returns when the last response has to be written.
func (s *shutdownSchedule) responseDeadline() monotime.Instant {
	return s.earliestKill().Add(-responseMargin)
}

// admitUntil returns until when requests are admitted.
func (s *shutdownSchedule) admitUntil() monotime.Instant {
	return s.responseDeadline().Add(-s.longestDeadline / lateRequestDivisor)
}

// acceptUntil returns until when connections are accepted even if none waits in the backlog.
func (s *shutdownSchedule) acceptUntil() monotime.Instant {
	return min(s.startedAt.Load().Add(acceptPeriod), s.admitUntil())
}

// admits reports whether a request that is complete now may be admitted.
func (s *shutdownSchedule) admits() bool { return !s.started() || monotime.Now() < s.admitUntil() }

// responsesDue reports whether every admitted request has to be answered now.
func (s *shutdownSchedule) responsesDue() bool {
	return s.started() && monotime.Now() >= s.responseDeadline()
}

// exitDue reports whether it is time to exit, but for responses that are still being streamed.
func (s *shutdownSchedule) exitDue() bool {
	return s.started() && monotime.Now() >= s.earliestKill().Add(-exitMargin)
}

// capDeadline returns a request's deadline, brought forward to responseDeadline in a process that is shutting down.
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
