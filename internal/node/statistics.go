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
	since    time.Duration
	arrived  int
	sent     int
	probes   int
	dials    int64                          // connections to backends that were asked for
	calls    int64                          // of discovery
	answers  [responseKinds]int             // final answers, by kind
	late     int                            // those at or after the deadline, served ones aside
	gone     int                            // clients that went away first
	outcomes [balance.StatusNotSent + 1]int // attempts, by status
	slowest  time.Duration                  // the longest that one event kept the loop
}

// due tells whether it is time to tell.
func (c *statistics) due(now time.Duration) bool { return now-c.since >= statisticsInterval }

// log logs the counts and begins anew. Nothing is logged for a span without requests.
func (c *statistics) log(now time.Duration, log *slog.Logger, open int, state balance.Stats) {
	if c.arrived+c.sent > 0 {
		o := &c.outcomes
		log.Info("counts", "arrived", c.arrived, "open", open, "sent", c.sent, "probes", c.probes,
			"dials", c.dials, "calls", c.calls, "served", c.answers[responseServed],
			"refused", c.answers[responseRejected], "failed", c.answers[responseFailed], "late", c.late, "gone", c.gone,
			"delivered", o[balance.StatusSucceeded], "errors", o[balance.StatusApplicationError], "shed", o[balance.StatusRejected],
			"expired", o[balance.StatusTimedOut], "unconnected", o[balance.StatusConnectFailed], "dropped", o[balance.StatusConnectionLost],
			"revoked", o[balance.StatusCancelled], "unsent", o[balance.StatusNotSent], "slowest", c.slowest,
			"ready", state.UsableEndpoints, "part", state.QueueBudget, "base", state.UnloadedLatency, "least_wait", state.ShortestWait)
	}
	*c = statistics{since: now}
}
