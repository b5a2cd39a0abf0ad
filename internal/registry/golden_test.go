package registry

import (
	"testing"

	"hitchvale/internal/goldenfile"
)

// The JSON that is stored, or sent to processes of other versions, keeps the form that earlier versions wrote.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[MemberCommand](t, "memberCommand")
	goldenfile.RoundTrip[LeaseCommand](t, "leaseCommand")
	goldenfile.RoundTrip[snapshotImage](t, "image")
	goldenfile.RoundTrip[memberStore](t, "members")
	goldenfile.RoundTrip[leaseStore](t, "leases")
	goldenfile.RoundTrip[MemberList](t, "list")
	goldenfile.RoundTrip[maintenanceRequest](t, "rotaRequest")
}
