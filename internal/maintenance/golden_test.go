package maintenance

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, keeps its form.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[Command](t, "command")
	goldenfile.RoundTrip[Rota](t, "rota")
	goldenfile.RoundTrip[Board](t, "board")
}
