package node

import (
	"log/slog"
	"time"

	"hitchvale/balance"
)

// statisticsInterval is how often the loop logs what it has counted.
const statisticsInterval = 5 * time.Second

// statistics is what the loop has seen since it last told.
type statistics struct {
	since            time.Duration
	arrived          int
	attemptsStarted  int
	healthChecks     int
	dials            int64                          // connections to backends that were asked for
	discoveryCalls   int64                          // of discovery
	responses        [responseKinds]int             // final answers, by kind
	deadlineExceeded int                            // those at or after the deadline, served ones aside
	disconnected     int                            // clients that went away first
	attempts         [balance.StatusNotSent + 1]int // attempts, by status
	longestTurn      time.Duration                  // the longest that one event kept the loop
}

// due tells whether it is time to tell.
func (c *statistics) due(now time.Duration) bool { return now-c.since >= statisticsInterval }

// log logs the counts and begins anew. Nothing is logged for a span without requests.
func (c *statistics) log(now time.Duration, log *slog.Logger, open int, state balance.Stats) {
	if c.arrived+c.attemptsStarted > 0 {
		o := &c.attempts
		log.Info("counts", "arrived", c.arrived, "open", open, "sent", c.attemptsStarted, "probes", c.healthChecks,
			"dials", c.dials, "calls", c.discoveryCalls, "served", c.responses[responseServed],
			"refused", c.responses[responseRejected], "failed", c.responses[responseFailed], "late", c.deadlineExceeded, "gone", c.disconnected,
			"delivered", o[balance.StatusSucceeded], "errors", o[balance.StatusApplicationError], "shed", o[balance.StatusRejected],
			"expired", o[balance.StatusTimedOut], "unconnected", o[balance.StatusConnectFailed], "dropped", o[balance.StatusConnectionLost],
			"revoked", o[balance.StatusCancelled], "unsent", o[balance.StatusNotSent], "slowest", c.longestTurn,
			"ready", state.UsableEndpoints, "part", state.QueueBudget, "base", state.UnloadedLatency, "least_wait", state.ShortestWait)
	}
	*c = statistics{since: now}
}
