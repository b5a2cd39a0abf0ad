package lab

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
)

// workScenario is four nodes and six backends that all go out for work, two at a time, under load.
func workScenario(seed int, kinds string) string {
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

// Six machines go out for work by turns that the nodes take among themselves, while nodes stall or are killed and the
// registry's leader, or all of it, is lost under it: never more than two out, nothing sent to one between quiet and
// returning, no request lost or run twice, and each of them comes back.
func TestMachinesGoOutAndComeBackUnderFaults(t *testing.T) {
	t.Parallel()
	for seed, kinds := range []string{``, `"pause"`, `"leader"`, `"kill"`, `"outage"`,
		`"pause", "kill", "leader", "outage"`} {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, workScenario(seed, kinds))
			requireChecks(t, r)
			if r.Counts["served"] == 0 || r.Executions == 0 {
				t.Errorf("too little served to judge: %v", r.Counts)
			}
			for j := range 6 {
				if n := r.Starts[fmt.Sprint("backend-", j)]; n != 2 {
					t.Errorf("backend-%d was started %d times", j, n)
				}
			}
			if t.Failed() {
				t.Log("\n" + r.Timeline)
			}
		})
	}
}

// With the budget's check removed at build time, more machines go out at once than the operator allowed, and the plan
// shows it.
func TestPlantedBudgetIsCaught(t *testing.T) {
	t.Parallel()
	nodeBinary, planted := binariesWithFault(t, "maintenance.plantedFault=budget")
	r := runScenarioWith(t, workScenario(0, ``), nodeBinary, planted)
	for _, c := range r.Checks {
		if strings.Contains(c.Name, "budget") && !c.OK {
			return
		}
	}
	t.Fatalf("the budget's check held without a budget: %+v\n%s", r.Checks, r.Timeline)
}
