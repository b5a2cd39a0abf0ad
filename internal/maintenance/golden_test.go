package maintenance

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, has the same form as in earlier versions.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[Command](t, "command")
	goldenfile.RoundTrip[Plan](t, "rota")
	goldenfile.RoundTrip[PlanView](t, "board")
}
