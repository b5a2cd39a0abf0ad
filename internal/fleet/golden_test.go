package fleet

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, has the same form as in earlier versions.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[SessionCommand](t, "sessionCommand")
	goldenfile.RoundTrip[SessionStore](t, "sessions")
	goldenfile.RoundTrip[SessionStatus](t, "held")
	goldenfile.RoundTrip[ReportRequest](t, "echoed")
	goldenfile.RoundTrip[View](t, "view")
}
