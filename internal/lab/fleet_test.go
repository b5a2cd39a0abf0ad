package lab

import (
	"fmt"
	"strconv"
	"testing"
)

// fleetScenario is six nodes of three sites with a part in the fleet's view, under drawn faults.
func fleetScenario(seed, schedules int) string {
	return fmt.Sprintf(`name = "fleet"
seed = %d
nodes = 6
backends = 2
registries = 3
[fleet]
interval = "100ms"
sites = 3
schedules = %d
kinds = ["kill", "pause", "cut", "leader", "split", "both"]
`, seed, schedules)
}

// Real nodes and replicas under 30 faults drawn from three seeds (a node killed, paused, cut from the registry; the
// registry's leader killed, cut off with a minority; a node paused while the leader goes): a view is the same for all
// its readers, no node's view goes back, and after each fault every node comes to be fresh in every view.
func TestViewIsSharedUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range 3 {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, fleetScenario(seed, 10))
			requireChecks(t, r)
			if len(r.Faults) < 10 {
				t.Errorf("%d faults were played", len(r.Faults))
			}
			if t.Failed() {
				t.Log("\n" + r.Timeline)
			}
		})
	}
}
