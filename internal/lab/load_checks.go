package lab

import (
	"fmt"
	"strings"
	"time"
)

// Verify checks the invariants of every load run.
func Verify(h History) []Check {
	return []Check{h.finalResponses(), h.noDuplicateExecution(), h.noExecutionAfterDrain()}
}

// finalResponses checks that every request that a node accepted got its final response. A request is excused if a fault
// of the node itself explains why it got none.
func (h History) finalResponses() Check {
	check := Check{Name: "every request gets its final answer", Reasons: map[string]int{}}
	for _, outcome := range h.Outcomes {
		if h.unansweredAtKill(outcome) {
			check.addViolation(fmt.Sprintf("%s at node-%d: unanswered when its process was killed after its shutdown deadline",
				outcome.Trace, outcome.Node))
			continue
		}
		if !outcome.isUnanswered() {
			continue
		}
		if reason := h.Excuse(outcome); reason != "" {
			check.Excused++
			check.Reasons[reason]++
			continue
		}
		check.addViolation(fmt.Sprintf("%s at node-%d: %s (first on its connection: %v, resent: %v): %s", outcome.Trace,
			outcome.Node, outcome.Kind, outcome.FirstOnConnection, outcome.Resent, outcome.Error))
	}
	return check.result()
}

// noDuplicateExecution checks that no request of the claim class was executed twice, and that a client sent every
// request that was executed.
func (h History) noDuplicateExecution() Check {
	check := Check{Name: "no request runs twice or unasked"}
	classes := make(map[string]string, len(h.Outcomes))
	for _, outcome := range h.Outcomes {
		classes[outcome.Trace] = outcome.Class
	}
	executions := map[string]int{}
	for _, execution := range h.Executions {
		class, sent := classes[execution.Trace]
		switch {
		case strings.HasPrefix(execution.Trace, abuseClaimPrefix):
			class = classClaim
		case strings.HasPrefix(execution.Trace, abuseTracePrefix):
			class = classRead
		case !sent:
			check.addViolation(fmt.Sprintf("%s at %s: executed, but not sent by any client", execution.Trace, execution.Backend))
			continue
		}
		if class != classClaim {
			continue
		}
		executions[execution.Trace]++
		if executions[execution.Trace] == 2 {
			check.addViolation(fmt.Sprintf("%s: executed twice, the second time at %s", execution.Trace, execution.Backend))
		}
	}
	return check.result()
}

// noExecutionAfterDrain checks that no backend executed a request later than DrainGrace after it was set draining. The
// request is excused if its node had a fault between the drain and the execution, because the node may not have been
// notified of the drain then.
func (h History) noExecutionAfterDrain() Check {
	check := Check{Name: "nothing reaches a draining backend past the grace"}
	nodes := h.nodes()
	for _, execution := range h.Executions {
		drainedAt, ok := h.DrainedAt[execution.Backend]
		if !ok || execution.At <= drainedAt.Add(h.DrainGrace).UnixNano() {
			continue
		}
		if node, sent := nodes[execution.Trace]; sent && h.inFaultWindow(node, drainedAt.UnixNano(), execution.At) {
			check.Excused++
			continue
		}
		check.addViolation(fmt.Sprintf("%s at %s: %s after it was set draining", execution.Trace, execution.Backend,
			time.Duration(execution.At-drainedAt.UnixNano()).Round(time.Millisecond)))
	}
	return check.result()
}
