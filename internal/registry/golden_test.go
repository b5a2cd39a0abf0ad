package registry

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// The JSON forms that are stored, or exchanged with processes of other versions, are the same as in earlier versions.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[MemberCommand](t, "memberCommand")
	goldenfile.RoundTrip[LeaseCommand](t, "leaseCommand")
	goldenfile.RoundTrip[snapshotImage](t, "image")
	goldenfile.RoundTrip[memberStore](t, "members")
	goldenfile.RoundTrip[leaseStore](t, "leases")
	goldenfile.RoundTrip[MemberList](t, "list")
	goldenfile.RoundTrip[maintenanceRequest](t, "rotaRequest")
}
