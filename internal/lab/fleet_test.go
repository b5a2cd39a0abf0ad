package lab

import (
	"fmt"
	"strconv"
	"testing"
)

// fleetScenarioText returns a scenario of six nodes at three sites that share the fleet's view, under drawn faults.
func fleetScenarioText(seed, faultCount int) string {
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
`, seed, faultCount)
}

// Three seeds draw 30 faults in total: a node is killed, paused or cut off from the registry, the registry's leader is
// killed or cut off from the other replicas, or a node is paused while the leader is killed. A view is the same for all
// its readers, no node's view goes back to an older version, and after each fault every node is fresh in every view
// again.
func TestFleetViewIsConsistentUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range 3 {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			report := runScenario(t, fleetScenarioText(seed, 10))
			requireChecks(t, report)
			if len(report.Faults) < 10 {
				t.Errorf("%d faults were injected, want at least 10", len(report.Faults))
			}
			if t.Failed() {
				t.Log("\n" + report.Timeline)
			}
		})
	}
}
