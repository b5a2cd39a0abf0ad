package node

import (
	"log/slog"
	"time"

	"hitchvale/balance"
)

// statisticsInterval is how often the event loop logs its statistics.
const statisticsInterval = 5 * time.Second

// statistics counts the work of the event loop since it last logged them. Only the event loop uses them.
type statistics struct {
	since            time.Duration      // when the statistics were last logged, on the loop's clock
	arrived          int                // requests
	responses        [responseKinds]int // final responses, by kind
	deadlineExceeded int                // final responses of the node itself at or after the request's deadline
	disconnected     int                // clients that disconnected before their response
	attemptsStarted  int
	attempts         [balance.StatusNotSent + 1]int // ended attempts, by status
	healthChecks     int
	dials            int64         // dials of connections to backends
	discoveryCalls   int64         // calls to discovery
	longestIteration time.Duration // the longest time that the loop took for one message and the timers due after it
}

// due reports whether it is time to log the statistics.
func (s *statistics) due(now time.Duration) bool { return now-s.since >= statisticsInterval }

// log logs the statistics and resets them. It logs nothing for an interval without requests and attempts.
func (s *statistics) log(now time.Duration, log *slog.Logger, openRequests int, state balance.Stats) {
	if s.arrived+s.attemptsStarted > 0 {
		runtime := readRuntimeStatistics()
		log.Info("statistics",
			"arrived", s.arrived,
			"open", openRequests,
			"served", s.responses[responseServed],
			"rejected", s.responses[responseRejected],
			"failed", s.responses[responseFailed],
			"deadline_exceeded", s.deadlineExceeded,
			"disconnected", s.disconnected,
			"attempts", s.attemptsStarted,
			"attempts_succeeded", s.attempts[balance.StatusSucceeded],
			"attempts_application_error", s.attempts[balance.StatusApplicationError],
			"attempts_rejected", s.attempts[balance.StatusRejected],
			"attempts_timed_out", s.attempts[balance.StatusTimedOut],
			"attempts_connect_failed", s.attempts[balance.StatusNotDelivered],
			"attempts_connection_lost", s.attempts[balance.StatusConnectionLost],
			"attempts_cancelled", s.attempts[balance.StatusCancelled],
			"attempts_not_sent", s.attempts[balance.StatusNotSent],
			"health_checks", s.healthChecks,
			"dials", s.dials,
			"discovery_calls", s.discoveryCalls,
			"longest_turn", s.longestIteration,
			"usable_endpoints", state.UsableEndpoints,
			"queue_budget", state.QueueBudget,
			"unloaded_latency", state.UnloadedLatency,
			"shortest_wait", state.ShortestWait,
			"runtime_bytes", runtime.memoryBytes,
			"goroutines", runtime.goroutines,
			"collector_seconds", runtime.collectorSeconds,
		)
	}
	*s = statistics{since: now}
}
