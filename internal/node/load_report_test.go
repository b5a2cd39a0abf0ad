package node

import (
	"testing"

	"hitchvale/balance"
)

// Valid and empty load reports are parsed, and malformed ones are rejected completely.
func TestLoadReports(t *testing.T) {
	l, err := parseLoadReport("TEXT inflight=7, queue=2, util=0.61, other=3")
	if err != nil || l.Active != 7 || l.Waiting != 2 || l.CPU != 0.61 ||
		l.Has != balance.HasActive|balance.HasWaiting|balance.HasCPU {
		t.Errorf("valid report: got %+v, error %v, want 7 active, 2 waiting and 0.61 CPU", l, err)
	}
	if l, err := parseLoadReport(" \n"); err != nil || l.Has != 0 {
		t.Errorf("empty report: got %+v, error %v, want a Load without fields", l, err)
	}
	for _, text := range []string{
		"TEXT inflight", "inflight=x", "inflight=NaN", "inflight=-1", "inflight=1e300", "\x00\xff",
	} {
		if l, err := parseLoadReport(text); err == nil || l.Has != 0 {
			t.Errorf("malformed report %q: got %+v, error %v, want an empty load and an error", text, l, err)
		}
	}
}
