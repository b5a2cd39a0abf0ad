package lab

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// The JSON forms that are stored, or exchanged with processes of other versions, are the same as in earlier versions.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[Execution](t, "execution")
	goldenfile.RoundTrip[LeaseEvent](t, "dutyEvent")
	goldenfile.RoundTrip[Outcome](t, "outcome")
	goldenfile.RoundTrip[Report](t, "report")
	goldenfile.RoundTrip[seedResult](t, "seedLine")
}
