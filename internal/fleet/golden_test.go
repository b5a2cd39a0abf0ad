package fleet

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// The JSON that is stored, or sent to processes of other versions, keeps the form that earlier versions wrote.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[SessionCommand](t, "sessionCommand")
	goldenfile.RoundTrip[SessionStore](t, "sessions")
	goldenfile.RoundTrip[SessionStatus](t, "held")
	goldenfile.RoundTrip[ReportRequest](t, "echoed")
	goldenfile.RoundTrip[View](t, "view")
}
