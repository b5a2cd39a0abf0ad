package lab

import "time"

// History is what a run recorded of its requests and faults.
type History struct {
	Outcomes      []Outcome   // by the driver
	Executions    []Execution // by the backends
	Attempts      []Attempt   // by the links from nodes to backends
	FaultWindows  []FaultWindow
	ShutdownKills []ShutdownKill
	DrainedAt     map[string]time.Time // by backend: when it was set draining
	DrainGrace    time.Duration        // how long a draining backend may still receive requests
}

// ShutdownKill is the SIGKILL of a process whose time to shut down was over. It excuses nothing.
type ShutdownKill struct {
	Node int
	At   int64 // Unix time in nanoseconds
}

// nodes is the node that each request was sent to last, by trace id.
func (h History) nodes() map[string]int {
	nodes := make(map[string]int, len(h.Outcomes))
	for _, outcome := range h.Outcomes {
		nodes[outcome.Trace] = outcome.Node
	}
	return nodes
}

// inFaultWindow tells whether a node had a fault window at some time between two Unix times in nanoseconds.
func (h History) inFaultWindow(node int, start, end int64) bool {
	for _, window := range h.FaultWindows {
		if window.Node == node && window.Start <= end && (window.End == 0 || window.End >= start) {
			return true
		}
	}
	return false
}

// Excuse names the kind of fault that explains why a node did not answer a request, judged by the request's own
// history; "" for none. SIGTERM explains nothing. A kill explains what was on connections made before it to the killed
// process.
func (h History) Excuse(outcome Outcome) string {
	end := outcome.DoneAt
	if end == 0 {
		end = outcome.SentAt + outcome.ClientTimeout
	}
	for _, window := range h.FaultWindows {
		if window.Node != outcome.Node || window.Start > end {
			continue
		}
		if window.isKill() {
			if outcome.DialedAt >= window.ProcessStart && outcome.DialedAt <= max(window.Start, window.Exited) {
				return window.Kind
			}
		} else if window.End == 0 || window.End >= outcome.SentAt {
			return window.Kind
		}
	}
	return ""
}

// unansweredAtKill tells whether a request that its client took for unread was ended by the SIGKILL of a process whose
// time to shut down was over: what that process had not answered is lost, read or not (PROTOCOL).
func (h History) unansweredAtKill(outcome Outcome) bool {
	for _, kill := range h.ShutdownKills {
		if outcome.Resent && kill.Node == outcome.Node && outcome.CrossedAt >= kill.At &&
			outcome.CrossedAt <= kill.At+int64(resetTimeout) {
			return true
		}
	}
	return false
}
