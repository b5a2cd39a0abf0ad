package lab

import (
	"context"
	"time"
)

// The earliest SIGKILL of a node after its SIGTERM: the longest deadline, at most maxKillDeadline, and killGrace
// (PROTOCOL).
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// killAfter is how long after SIGTERM a node gets SIGKILL.
func (scenario Scenario) killAfter() time.Duration {
	deadline := max(scenario.Load.Deadline.Duration, scenario.claimDeadline)
	return min(deadline, maxKillDeadline) + killGrace
}

// frontDelay is how long after SIGTERM the front still sends new connections to a node (PROTOCOL: 0.2 to 0.4 s).
const frontDelay = 300 * time.Millisecond

// startTermination records a node's SIGTERM, and has the front send it no new connections soon after. It opens no fault
// window.
func (run *loadRun) startTermination(ctx context.Context, role string, i int) {
	if role != roleNode || i >= len(run.clients) {
		return
	}
	run.mu.Lock()
	if run.terminatedAt[i].IsZero() { // a second signal does not put off the kill
		run.terminatedAt[i] = time.Now()
	}
	run.mu.Unlock()
	run.undoAfter(ctx, frontDelay, func() { run.clients[i].admit(false) })
}

// killIsDue tells whether a node got SIGTERM so long ago that SIGKILL excuses nothing (PROTOCOL).
func (run *loadRun) killIsDue(i int) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	terminated := run.terminatedAt[i]
	return !terminated.IsZero() && time.Since(terminated) >= run.scenario.killAfter()
}

// awaitKillDue waits until a node may be killed, where that is at most clockSlack ahead.
func (run *loadRun) awaitKillDue(ctx context.Context, i int) {
	run.mu.Lock()
	terminated := run.terminatedAt[i]
	run.mu.Unlock()
	remaining := time.Until(terminated.Add(run.scenario.killAfter()))
	if terminated.IsZero() || remaining <= 0 || remaining > clockSlack {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(remaining):
	}
}

// killAfterDeadline kills a node's process whose time to shut down is over, and records that it still ran.
func (run *loadRun) killAfterDeadline(i int, process *Process) {
	if process.Exited() == nil {
		return
	}
	run.log.Info("process killed after its shutdown deadline", "component", "lab", "process", process.Name)
	run.mu.Lock()
	run.shutdownKills = append(run.shutdownKills, ShutdownKill{Node: i, At: time.Now().UnixNano()})
	run.mu.Unlock()
	process.Kill()
}
