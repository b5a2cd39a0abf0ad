package lab

import "time"

// History is what a run recorded of its requests and faults.
type History struct {
	Outcomes      []Outcome   // recorded by the driver
	Executions    []Execution // recorded by the backends
	Attempts      []Attempt   // recorded by the links from nodes to backends
	FaultWindows  []FaultWindow
	ShutdownKills []ShutdownKill
	DrainedAt     map[string]time.Time // by backend: when it was set draining
	DrainGrace    time.Duration        // how long a backend may still receive requests after it was set draining
}

// ShutdownKill is the SIGKILL of a process that still ran after its shutdown deadline. It excuses no unanswered
// request.
type ShutdownKill struct {
	Node int
	At   int64 // Unix time in nanoseconds
}

// nodes returns the node that each request was sent to last, by trace id.
func (h History) nodes() map[string]int {
	nodes := make(map[string]int, len(h.Outcomes))
	for _, outcome := range h.Outcomes {
		nodes[outcome.Trace] = outcome.Node
	}
	return nodes
}

// inFaultWindow reports whether a fault window of a node overlaps the time from start to end, both Unix times in
// nanoseconds.
func (h History) inFaultWindow(node int, start, end int64) bool {
	for _, window := range h.FaultWindows {
		if window.Node == node && window.Start <= end && (window.End == 0 || window.End >= start) {
			return true
		}
	}
	return false
}

// Excuse returns the kind of fault that explains why a node did not answer a request, or "" if no fault window explains
// it. A kill explains only requests on connections that were made to the killed process before it had exited. Other
// faults explain requests that were in flight during the fault window. SIGTERM explains nothing.
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

// unansweredAtKill reports whether a request that its client considered unread was ended by the SIGKILL of a process
// that still ran after its shutdown deadline. A request that this process had not answered is lost, whether the process
// had read it or not (PROTOCOL).
func (h History) unansweredAtKill(outcome Outcome) bool {
	for _, kill := range h.ShutdownKills {
		if outcome.Resent && kill.Node == outcome.Node && outcome.CrossedAt >= kill.At &&
			outcome.CrossedAt <= kill.At+int64(resetTimeout) {
			return true
		}
	}
	return false
}
