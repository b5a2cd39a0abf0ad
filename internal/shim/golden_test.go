package shim

import (
	"testing"

	"glencart/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, keeps its form.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[Plan](t, "plan")
}
