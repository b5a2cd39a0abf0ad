package maintenance

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// The JSON that is stored, or sent to processes of other versions, keeps the form that earlier versions wrote.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[Command](t, "command")
	goldenfile.RoundTrip[Plan](t, "rota")
	goldenfile.RoundTrip[PlanView](t, "board")
}
