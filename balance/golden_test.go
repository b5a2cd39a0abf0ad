package balance

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// The encoded HandoverState stays the same, because processes of other versions read it.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[HandoverState](t, "memory")
}
