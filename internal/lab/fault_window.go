package lab

import "time"

// FaultWindow is a period in which a fault was injected on a node's process or on its clients' link. The fault may be
// the reason why requests that the node had in this period get no response; the checks count them as excused.
type FaultWindow struct {
	Node   int    `json:"node"`
	Kind   string `json:"kind"`
	Start  int64  `json:"-"` // Unix time in nanoseconds
	End    int64  `json:"-"` // Unix time in nanoseconds; 0: the end of the run
	Exited int64  `json:"-"` // after a kill: Unix time in ns when the process had exited, milliseconds after Start
	// ProcessStart is the Unix time in nanoseconds at which the node's process was started. Connections that were made
	// earlier belonged to another process.
	ProcessStart int64 `json:"-"`
}

// isKill reports whether the window was opened by a kill.
func (w FaultWindow) isKill() bool { return w.Kind == faultKill || w.Kind == faultPower }

// openFaultWindow starts a fault window of a node. It does nothing for other roles.
func (run *loadRun) openFaultWindow(role string, i int, kind string) {
	if role != roleNode {
		return
	}
	run.mu.Lock()
	run.faultWindows = append(run.faultWindows, FaultWindow{Node: i, Start: time.Now().UnixNano(), Kind: kind,
		ProcessStart: run.processes[role][i].startedAt().UnixNano()})
	run.mu.Unlock()
}

// recordExit records the current time as the exit time in the fault windows of a node whose process was killed.
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

// closeFaultWindow ends all open fault windows of a node. It does nothing for other roles.
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
