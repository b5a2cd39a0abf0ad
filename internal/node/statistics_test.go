package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"hitchvale/balance"
)

// What was counted is logged once a span, and counting begins anew; a span without requests is not logged.
func TestStatistics(t *testing.T) {
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	c := statistics{arrived: 3, attemptsStarted: 4, healthChecks: 6, dials: 8, discoveryCalls: 9}
	c.responses[responseRejected], c.attempts[balance.StatusTimedOut] = 2, 1
	if c.due(statisticsInterval-1) || !c.due(statisticsInterval) {
		t.Error("not due after the span")
	}
	c.log(statisticsInterval, log, 7, balance.Stats{UsableEndpoints: 5})
	for _, want := range []string{"arrived=3", "open=7", "sent=4", "probes=6", "dials=8", "calls=9", "refused=2", "expired=1", "ready=5"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing: %s", want, text.String())
		}
	}
	text.Reset()
	if c.due(2*statisticsInterval - 1) {
		t.Error("due again at once")
	}
	c.log(2*statisticsInterval, log, 0, balance.Stats{})
	if text.Len() > 0 || c.since != 2*statisticsInterval {
		t.Errorf("logged %q, counting since %v", text.String(), c.since)
	}
}
