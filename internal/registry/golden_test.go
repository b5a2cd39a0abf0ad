package registry

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// What is stored, or sent to processes of other versions, keeps its form.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[MemberCommand](t, "memberCommand")
	goldenfile.RoundTrip[LeaseCommand](t, "leaseCommand")
	goldenfile.RoundTrip[image](t, "image")
	goldenfile.RoundTrip[members](t, "members")
	goldenfile.RoundTrip[leases](t, "leases")
	goldenfile.RoundTrip[List](t, "list")
	goldenfile.RoundTrip[rotaRequest](t, "rotaRequest")
}
