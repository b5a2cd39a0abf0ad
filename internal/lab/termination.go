package lab

import (
	"context"
	"time"
)

// A node gets SIGKILL this long after its SIGTERM at the earliest: the longest deadline of a request, but at most
// maxKillDeadline, plus killGrace (PROTOCOL).
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// killAfter returns how long after SIGTERM a node may get SIGKILL at the earliest.
func (scenario Scenario) killAfter() time.Duration {
	deadline := max(scenario.Load.Deadline.Duration, scenario.claimDeadline)
	return min(deadline, maxKillDeadline) + killGrace
}

// frontDelay is how long after SIGTERM the front, which distributes the clients' connections, still sends new
// connections to a node (PROTOCOL: 0.2 to 0.4 s).
const frontDelay = 300 * time.Millisecond

// startTermination records the time of a node's SIGTERM, and after frontDelay keeps clients from making new connections
// to the node. It opens no fault window, because a node must answer all of its requests after SIGTERM. It does nothing
// for other roles.
func (run *loadRun) startTermination(ctx context.Context, role string, i int) {
	if role != roleNode || i >= len(run.clients) {
		return
	}
	run.mu.Lock()
	if run.terminatedAt[i].IsZero() { // a second SIGTERM does not postpone the SIGKILL
		run.terminatedAt[i] = time.Now()
	}
	run.mu.Unlock()
	run.undoAfter(ctx, frontDelay, func() { run.clients[i].admit(false) })
}

// killIsDue reports whether a node's shutdown deadline has passed: it got SIGTERM at least killAfter ago. A SIGKILL
// then excuses no unanswered request (PROTOCOL).
func (run *loadRun) killIsDue(i int) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	terminated := run.terminatedAt[i]
	return !terminated.IsZero() && time.Since(terminated) >= run.scenario.killAfter()
}

// awaitKillDue waits until a node's shutdown deadline has passed, if that happens within clockSlack. Otherwise it
// returns immediately.
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

// killAfterDeadline kills a node's process whose shutdown deadline has passed, and records the kill. It does nothing if
// the process has exited.
func (run *loadRun) killAfterDeadline(i int, process *Process) {
	if process.Exited() == nil {
		return
	}
	run.log.Info("process still runs after its shutdown deadline; killing it", "component", "lab",
		"process", process.Name)
	run.mu.Lock()
	run.shutdownKills = append(run.shutdownKills, ShutdownKill{Node: i, At: time.Now().UnixNano()})
	run.mu.Unlock()
	process.Kill()
}
