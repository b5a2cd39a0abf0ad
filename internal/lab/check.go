package lab

import (
	"fmt"
	"sort"
	"time"
)

// Check is one invariant's verdict over the history.
type Check struct {
	Name       string `json:"name"`
	OK         bool   `json:"ok"`
	Violations int    `json:"violations"`
	// cases a fault of the node's own explains, not counted as violations
	Excused  int            `json:"excused,omitempty"`
	Reasons  map[string]int `json:"reasons,omitempty"`  // of the excused ones, by kind of fault
	Examples []string       `json:"examples,omitempty"` // the first few, by trace id
}

// History is what a run recorded: the driver's outcomes, the backends' executions, the faults' windows and
// the times at which backends were set draining.
type History struct {
	Outcomes     []Outcome
	Executions   []Execution
	Attempts     []Attempt
	FaultWindows []FaultWindow
	Kills        []Kill
	DrainedAt    map[string]time.Time
	DrainGrace   time.Duration // drain grace
}

// Kill is the SIGKILL of a process that had been told to end, at the earliest. It excuses nothing.
type Kill struct {
	Node int
	At   int64 // Unix time in nanoseconds
}

// unansweredAtKill tells whether a request that its client took for unread was ended by the kill of a process that had
// been told to end: what that finds unanswered is lost, read or not (PROTOCOL).
func (h History) unansweredAtKill(o Outcome) bool {
	for _, k := range h.Kills {
		if o.Resent && k.Node == o.Node && o.CrossedAt >= k.At && o.CrossedAt <= k.At+int64(resetTimeout) {
			return true
		}
	}
	return false
}

const maxExamples = 10

// Verify checks the invariants of docs/ROADMAP.md: a final answer for every request that no fault of its own
// node touched; no request that is unsafe to repeat ran twice, and none ran that no client sent; nothing reached
// a draining backend past the grace.
func Verify(h History) []Check {
	return []Check{h.finalAnswers(), h.noDoubleEffect(), h.noAttemptAfterDrain()}
}

// inFaultWindow tells whether a fault of node n's own was on at some time between from and till (Unix nanoseconds).
func (h History) inFaultWindow(n int, from, till int64) bool {
	for _, w := range h.FaultWindows {
		if w.Node == n && w.Start <= till && (w.End == 0 || w.End >= from) {
			return true
		}
	}
	return false
}

// Excuse names the fault that frees a node of answering a request, judged by the request's own history; "" for none. A
// node that is told to end is freed of nothing. One that is killed is freed of what it held then: what came on a
// connection made before.
func (h History) Excuse(o Outcome) string {
	end := o.DoneAt
	if end == 0 {
		end = o.SentAt + o.ClientTimeout
	}
	for _, w := range h.FaultWindows {
		if w.Node != o.Node {
			continue
		}
		switch w.Kind {
		case "kill", "power":
			if o.DialedAt >= w.ProcessStart && o.DialedAt <= max(w.Start, w.Exited) && w.Start <= end {
				return w.Kind
			}
		default:
			if w.Start <= end && (w.End == 0 || w.End >= o.SentAt) {
				return w.Kind
			}
		}
	}
	return ""
}

func (h History) finalAnswers() Check {
	c := Check{Name: "every request gets its final answer", Reasons: map[string]int{}}
	for _, o := range h.Outcomes {
		if h.unansweredAtKill(o) {
			c.add(fmt.Sprintf("%s at node-%d: unanswered at the kill", o.Trace, o.Node))
			continue
		}
		if !o.isUnanswered() {
			continue
		}
		if reason := h.Excuse(o); reason != "" {
			c.Excused++
			c.Reasons[reason]++
			continue
		}
		c.add(fmt.Sprintf("%s at node-%d: %s (fresh %v, resent %v): %s", o.Trace, o.Node, o.Kind, o.FirstOnConnection,
			o.Resent, o.Error))
	}
	return c.done()
}

func (h History) noDoubleEffect() Check {
	c := Check{Name: "no request runs twice or unasked"}
	sent := make(map[string]string, len(h.Outcomes))
	for _, o := range h.Outcomes {
		sent[o.Trace] = o.Class
	}
	runs := map[string]int{}
	for _, e := range h.Executions {
		class, ok := sent[e.Trace]
		switch {
		case !ok:
			c.add(fmt.Sprintf("%s at %s: no client sent it", e.Trace, e.Backend))
		case class == classClaim:
			if runs[e.Trace]++; runs[e.Trace] == 2 {
				c.add(fmt.Sprintf("%s: ran twice, again at %s", e.Trace, e.Backend))
			}
		}
	}
	return c.done()
}

func (h History) noAttemptAfterDrain() Check {
	c := Check{Name: "nothing reaches a draining backend past the grace"}
	node := make(map[string]int, len(h.Outcomes))
	for _, o := range h.Outcomes {
		node[o.Trace] = o.Node
	}
	for _, e := range h.Executions {
		at, ok := h.DrainedAt[e.Backend]
		if !ok || e.At <= at.Add(h.DrainGrace).UnixNano() {
			continue
		}
		// A node that was paused or cut off while the drain was told could not hear of it.
		if n, sent := node[e.Trace]; sent && h.inFaultWindow(n, at.UnixNano(), e.At) {
			c.Excused++
			continue
		}
		c.add(fmt.Sprintf("%s at %s: %s after it was set draining", e.Trace, e.Backend,
			time.Duration(e.At-at.UnixNano()).Round(time.Millisecond)))
	}
	return c.done()
}

func (c *Check) add(example string) {
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, example)
	}
}

func (c Check) done() Check {
	c.OK = c.Violations == 0
	sort.Strings(c.Examples)
	return c
}
