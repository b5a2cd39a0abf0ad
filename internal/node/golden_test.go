package node

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, keeps its form.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[offer](t, "offer")
	goldenfile.RoundTrip[holds](t, "holds")
	goldenfile.RoundTrip[learned](t, "learned")
	goldenfile.RoundTrip[cordons](t, "cordons")
}
