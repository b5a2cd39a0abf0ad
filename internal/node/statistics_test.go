package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"hitchvale/balance"
)

// The statistics are logged once in each interval, and reset. They are not logged for an interval without requests.
func TestStatistics(t *testing.T) {
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	s := statistics{arrived: 3, attemptsStarted: 4, healthChecks: 6, dials: 8, discoveryCalls: 9}
	s.responses[responseRejected], s.attempts[balance.StatusTimedOut] = 2, 1
	if s.due(statisticsInterval-1) || !s.due(statisticsInterval) {
		t.Error("the statistics are not due exactly at the end of the interval")
	}
	s.log(statisticsInterval, log, 7, balance.Stats{UsableEndpoints: 5})
	for _, want := range []string{
		" arrived=3 ", " open=7 ", " attempts=4 ", " health_checks=6 ", " dials=8 ", " discovery_calls=9 ",
		" rejected=2 ", " attempts_timed_out=1 ", " usable_endpoints=5 ",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing in the log line: %s", want, text.String())
		}
	}
	text.Reset()
	if s.due(2*statisticsInterval - 1) {
		t.Error("the statistics are due again before the end of the next interval")
	}
	s.log(2*statisticsInterval, log, 0, balance.Stats{})
	if text.Len() > 0 || s.since != 2*statisticsInterval {
		t.Errorf("logged %q for an interval without requests, next interval starts at %v", text.String(), s.since)
	}
}
