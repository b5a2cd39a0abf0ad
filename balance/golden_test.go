package balance

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, keeps its form.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[HandoverState](t, "memory")
}
