package lab

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// nodeLogFaultMarkers are the texts in a node's log that show a fault of the program.
var nodeLogFaultMarkers = []string{"invariant violated", "panic:", "fatal error:", "SIGSEGV", "hitchvale-node: "}

// checkNodeLogs checks that no line of a node's log contains one of nodeLogFaultMarkers.
func (run *loadRun) checkNodeLogs() Check {
	check := Check{Name: "no node breaks an invariant, panics or ends by itself"}
	for i := range run.scenario.Nodes {
		text, err := os.ReadFile(run.path("node-%d.log", i))
		if err != nil {
			check.addViolation(err.Error())
			continue
		}
		for line := range strings.Lines(string(text)) {
			hasMarker := func(marker string) bool { return strings.Contains(line, marker) }
			if slices.ContainsFunc(nodeLogFaultMarkers, hasMarker) {
				check.addViolation(fmt.Sprintf("node-%d: %s", i, strings.TrimSpace(line)))
			}
		}
	}
	return check.result()
}
