package lab

import "time"

// FaultWindow is a time in which a node had a fault of its own process or of its clients' link. Requests that it had
// then may go unanswered through no fault of its code; they are counted as excused.
type FaultWindow struct {
	Node   int    `json:"node"`
	Kind   string `json:"kind"`
	Start  int64  `json:"-"` // Unix time in nanoseconds
	End    int64  `json:"-"` // Unix time in nanoseconds; 0: the end of the run
	Exited int64  `json:"-"` // of a kill: when the process had exited, some milliseconds after Start
	// ProcessStart is, of a kill, when the killed process was started: earlier connections were another process's.
	ProcessStart int64 `json:"-"`
}

// isKill tells whether the window is that of a killed process.
func (w FaultWindow) isKill() bool { return w.Kind == faultKill || w.Kind == faultPower }

// openFaultWindow starts a node's fault window; other roles have none.
func (run *loadRun) openFaultWindow(role string, i int, kind string) {
	if role != roleNode {
		return
	}
	run.mu.Lock()
	run.faultWindows = append(run.faultWindows, FaultWindow{Node: i, Start: time.Now().UnixNano(), Kind: kind,
		ProcessStart: run.processes[role][i].startedAt().UnixNano()})
	run.mu.Unlock()
}

// recordExit records in a node's fault windows that its killed process has exited.
func (run *loadRun) recordExit(role string, i int) {
	if role != roleNode {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for k := range run.faultWindows {
		if window := &run.faultWindows[k]; window.Node == i && window.Exited == 0 && window.isKill() {
			window.Exited = time.Now().UnixNano()
		}
	}
}

// closeFaultWindow ends a node's open fault windows.
func (run *loadRun) closeFaultWindow(role string, i int) {
	if role != roleNode {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for k := range run.faultWindows {
		if window := &run.faultWindows[k]; window.Node == i && window.End == 0 {
			window.End = time.Now().UnixNano()
		}
	}
}
