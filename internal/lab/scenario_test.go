package lab

import (
	"strings"
	"testing"
	"time"
)

// A bad scenario is refused with its line and key named; nothing is started.
func TestBadScenarioNamesLineAndKey(t *testing.T) {
	base := "name = \"x\"\nnodes = 2\nbackends = 2\n"
	for name, c := range map[string]struct{ text, want string }{
		"typo":         {base + "[load]\nrat = 5\n", `line 5: unknown key "load.rat"`},
		"wrong type":   {base + "seed = \"seven\"\n", `line 4`},
		"bad duration": {base + "duration = \"ten\"\n", `line 4`},
		"range":        {base + "[load]\nunsafe = 2.0\n", `line 5: key "load.unsafe"`},
		"top range":    {"name = \"x\"\nnodes = 0\nbackends = 2\n", `line 2: key "nodes"`},
		"fault kind": {base + "[[fault]]\nat = \"1s\"\nkind = \"explode\"\ntarget = [\"node-0\"]\n",
			`"explode" is not a fault kind`},
		"no such node": {base + "[[fault]]\nat = \"1s\"\nkind = \"kill\"\ntarget = [\"node-2\"]\n", `there are 2 of node`},
		"bad link":     {base + "[[fault]]\nat = \"1s\"\nkind = \"partition\"\ntarget = [\"node-0:node-1\"]\n", `not a link`},
		"drain a node": {base + "[[fault]]\nat = \"1s\"\nkind = \"drain\"\ntarget = [\"node-0\"]\n", `does not apply`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseScenario([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
	good := base + "[[fault]]\nat = \"1s\"\nkind = \"partition\"\ntarget = [\"node-*:backend-1\"]\nfor = \"1s\"\n"
	if _, err := ParseScenario([]byte(good)); err != nil {
		t.Fatalf("a good scenario: %v", err)
	}
}

// A request that reaches a drained backend past the grace breaks the rule, unless its node was paused or cut off
// while the nodes were notified of the drain.
func TestDrainCheckExcusesOnlyFaultedNodes(t *testing.T) {
	at := time.Unix(100, 0)
	late := at.Add(1500 * time.Millisecond).UnixNano()
	h := History{
		Outcomes:   []Outcome{{Trace: "a", Node: 0}, {Trace: "b", Node: 1}},
		Executions: []Execution{{Trace: "a", Backend: "backend-4", At: late}, {Trace: "b", Backend: "backend-4", At: late}},
		FaultWindows: []FaultWindow{{Node: 1, Start: at.Add(-time.Second).UnixNano(), End: at.Add(time.Second).UnixNano(),
			Kind: "pause"}},
		DrainedAt:  map[string]time.Time{"backend-4": at},
		DrainGrace: time.Second,
	}
	c := h.noAttemptAfterDrain()
	if c.OK || c.Violations != 1 || c.Excused != 1 || !strings.HasPrefix(c.Examples[0], "a ") {
		t.Fatalf("%+v", c)
	}
}
