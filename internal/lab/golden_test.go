package lab

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, keeps its form.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[Execution](t, "execution")
	goldenfile.RoundTrip[LeaseEvent](t, "dutyEvent")
	goldenfile.RoundTrip[Outcome](t, "outcome")
	goldenfile.RoundTrip[Report](t, "report")
	goldenfile.RoundTrip[seedResult](t, "seedLine")
}
