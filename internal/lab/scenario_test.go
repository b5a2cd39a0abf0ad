package lab

import (
	"strings"
	"testing"
	"time"
)

// The error of an invalid scenario names the line and the key, or says what is wrong with the fault.
func TestInvalidScenarioErrorNamesLineAndKey(t *testing.T) {
	base := "name = \"x\"\nnodes = 2\nbackends = 2\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":      {base + "[load]\nrat = 5\n", `line 5: unknown key "load.rat"`},
		"wrong type":       {base + "seed = \"seven\"\n", `line 4`},
		"invalid duration": {base + "duration = \"ten\"\n", `line 4`},
		"out of range":     {base + "[load]\nunsafe = 2.0\n", `line 5: key "load.unsafe"`},
		"no nodes":         {"name = \"x\"\nnodes = 0\nbackends = 2\n", `line 2: key "nodes"`},
		"unknown fault kind": {base + "[[fault]]\nat = \"1s\"\nkind = \"explode\"\ntarget = [\"node-0\"]\n",
			`"explode" is not a fault kind`},
		"unknown node": {base + "[[fault]]\nat = \"1s\"\nkind = \"kill\"\ntarget = [\"node-2\"]\n",
			`the scenario has 2 node processes`},
		"invalid link": {base + "[[fault]]\nat = \"1s\"\nkind = \"partition\"\ntarget = [\"node-0:node-1\"]\n",
			`not a link`},
		"drain of a node": {base + "[[fault]]\nat = \"1s\"\nkind = \"drain\"\ntarget = [\"node-0\"]\n",
			`does not apply`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseScenario([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want one that contains %q", err, c.want)
			}
		})
	}
	good := base + "[[fault]]\nat = \"1s\"\nkind = \"partition\"\ntarget = [\"node-*:backend-1\"]\nfor = \"1s\"\n"
	if _, err := ParseScenario([]byte(good)); err != nil {
		t.Fatalf("valid scenario rejected: %v", err)
	}
}

// A request that a draining backend executes after the grace is a violation, unless its node had a fault, such as a
// pause, when the nodes were notified of the drain.
func TestDrainCheckExcusesOnlyNodesWithAFault(t *testing.T) {
	drainedAt := time.Unix(100, 0)
	late := drainedAt.Add(1500 * time.Millisecond).UnixNano()
	history := History{
		Outcomes:   []Outcome{{Trace: "a", Node: 0}, {Trace: "b", Node: 1}},
		Executions: []Execution{{Trace: "a", Backend: "backend-4", At: late}, {Trace: "b", Backend: "backend-4", At: late}},
		FaultWindows: []FaultWindow{{Node: 1, Start: drainedAt.Add(-time.Second).UnixNano(),
			End: drainedAt.Add(time.Second).UnixNano(), Kind: "pause"}},
		DrainedAt:  map[string]time.Time{"backend-4": drainedAt},
		DrainGrace: time.Second,
	}
	check := history.noExecutionAfterDrain()
	if check.OK || check.Violations != 1 || check.Excused != 1 || !strings.HasPrefix(check.Examples[0], "a ") {
		t.Fatalf("check %+v, want the violation by request a and request b excused", check)
	}
}
