package sysfault

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// The JSON form of a plan must not change, because plans are stored and are sent to processes of other versions.
func TestPlanFormatIsStable(t *testing.T) {
	goldenfile.RoundTrip[Plan](t, "plan")
}
