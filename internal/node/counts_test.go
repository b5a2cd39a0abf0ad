package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"hitchvale/balance"
)

// What was counted is logged once a span, and counting begins anew; a span without requests is not logged.
func TestCounts(t *testing.T) {
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	c := counts{arrived: 3, sent: 4, probes: 6, dials: 8, calls: 9}
	c.answers[refused], c.outcomes[balance.StatusTimedOut] = 2, 1
	if c.due(countEvery-1) || !c.due(countEvery) {
		t.Error("not due after the span")
	}
	c.tell(countEvery, log, 7, balance.Stats{UsableEndpoints: 5})
	for _, want := range []string{"arrived=3", "open=7", "sent=4", "probes=6", "dials=8", "calls=9", "refused=2", "expired=1", "ready=5"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing: %s", want, text.String())
		}
	}
	text.Reset()
	if c.due(2*countEvery - 1) {
		t.Error("due again at once")
	}
	c.tell(2*countEvery, log, 0, balance.Stats{})
	if text.Len() > 0 || c.since != 2*countEvery {
		t.Errorf("logged %q, counting since %v", text.String(), c.since)
	}
}
