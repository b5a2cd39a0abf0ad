package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"hitchvale/balance"
)

// Statistics are logged once an interval and reset; an interval without requests is not logged.
func TestStatistics(t *testing.T) {
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	s := statistics{arrived: 3, attemptsStarted: 4, healthChecks: 6, dials: 8, discoveryCalls: 9}
	s.responses[responseRejected], s.attempts[balance.StatusTimedOut] = 2, 1
	if s.due(statisticsInterval-1) || !s.due(statisticsInterval) {
		t.Error("not due after the interval")
	}
	s.log(statisticsInterval, log, 7, balance.Stats{UsableEndpoints: 5})
	for _, want := range []string{
		" arrived=3 ", " open=7 ", " attempts=4 ", " health_checks=6 ", " dials=8 ", " discovery_calls=9 ",
		" rejected=2 ", " attempts_timed_out=1 ", " usable_endpoints=5 ",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing: %s", want, text.String())
		}
	}
	text.Reset()
	if s.due(2*statisticsInterval - 1) {
		t.Error("due again at once")
	}
	s.log(2*statisticsInterval, log, 0, balance.Stats{})
	if text.Len() > 0 || s.since != 2*statisticsInterval {
		t.Errorf("logged %q, counting since %v", text.String(), s.since)
	}
}
