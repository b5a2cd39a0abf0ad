package node

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// The formats that are stored or sent to processes of other versions do not change.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[handoverOffer](t, "handover_offer")
	goldenfile.RoundTrip[descriptorUsage](t, "descriptor_usage")
	goldenfile.RoundTrip[handoverState](t, "handover_state")
	goldenfile.RoundTrip[cordonRecord](t, "cordons")
}
