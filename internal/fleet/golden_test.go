package fleet

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, keeps its form.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[SessionCommand](t, "sessionCommand")
	goldenfile.RoundTrip[Sessions](t, "sessions")
	goldenfile.RoundTrip[Held](t, "held")
	goldenfile.RoundTrip[Echoed](t, "echoed")
	goldenfile.RoundTrip[View](t, "view")
}
