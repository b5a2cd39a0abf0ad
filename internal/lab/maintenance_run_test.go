package lab

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
)

// maintenanceScenarioText returns a scenario of four nodes and six backends under load, in which all backends go out
// for maintenance, at most two at the same time.
func maintenanceScenarioText(seed int, kinds string) string {
	return fmt.Sprintf(`name = "work"
seed = %d
duration = "2m"
nodes = 4
backends = 6
registries = 3
[load]
rate = 100
deadline = "5s"
unsafe = 0.3
[backend]
service = "2ms"
[fleet]
interval = "150ms"
sites = 1
[work]
budget = 2
every = "400ms"
kinds = [%s]
`, seed, kinds)
}

// Six machines go out for maintenance in turns that the nodes arrange among themselves, while nodes are paused or
// killed, or the registry's leader or all its replicas are killed. Never more than two machines are out, no request
// reaches a machine between quiet and returning, no request is lost or executed twice, and every machine returns.
func TestMaintenanceTurnsCompleteUnderFaults(t *testing.T) {
	t.Parallel()
	for seed, kinds := range []string{``, `"pause"`, `"leader"`, `"kill"`, `"outage"`,
		`"pause", "kill", "leader", "outage"`} {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			report := runScenario(t, maintenanceScenarioText(seed, kinds))
			requireChecks(t, report)
			if report.Counts["served"] == 0 || report.Executions == 0 {
				t.Errorf("no request was served or executed: counts %v", report.Counts)
			}
			for j := range 6 {
				if n := report.Starts[fmt.Sprint("backend-", j)]; n != 2 {
					t.Errorf("backend-%d was started %d times, want 2", j, n)
				}
			}
			if t.Failed() {
				t.Log("\n" + report.Timeline)
			}
		})
	}
}

// A hitchvale built without the enforcement of the budget takes out more machines than the operator allowed. The lab's
// check of the budget must fail then.
func TestBudgetCheckDetectsDisabledBudget(t *testing.T) {
	t.Parallel()
	nodeBinary, faulty := binariesWithFault(t, "maintenance.plantedFault=budget")
	report := runScenarioWith(t, maintenanceScenarioText(0, ``), nodeBinary, faulty)
	for _, check := range report.Checks {
		if strings.Contains(check.Name, "budget") && !check.OK {
			return
		}
	}
	t.Fatalf("the check of the budget passed although the budget is not enforced: %+v\n%s", report.Checks,
		report.Timeline)
}
