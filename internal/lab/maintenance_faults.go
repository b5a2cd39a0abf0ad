package lab

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"hitchvale/internal/timeline"
)

// injectDrawnFaults draws and injects faults until ctx ends. It undoes each fault, and waits for FaultInterval before
// the next.
func (run *maintenanceRun) injectDrawnFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(run.scenario.Seed, maintenanceFaultStream))
	kinds := run.scenario.Maintenance.Kinds
	for len(kinds) > 0 {
		sleepUntil(ctx, time.Now().Add(run.scenario.Maintenance.FaultInterval.Duration))
		if ctx.Err() != nil {
			return
		}
		run.injectDrawnFault(ctx, rng, kinds[rng.IntN(len(kinds))])
	}
}

// injectDrawnFault injects one fault and undoes it, even if ctx ends in the meantime.
func (run *maintenanceRun) injectDrawnFault(ctx context.Context, rng *rand.Rand, kind string) {
	interval := run.scenario.Fleet.Interval.Duration
	duration := time.Duration(float64(interval) * (0.5 + 7*rng.Float64()))
	node := rng.IntN(run.scenario.Nodes)
	switch kind {
	case maintenanceFaultLeader:
		run.killLeader(ctx)
	case maintenanceFaultOutage:
		run.killReplicas(ctx, 2*duration)
	case maintenanceFaultKill:
		run.killNode(ctx, node, duration/4)
	default:
		run.pauseNode(ctx, node, duration)
	}
}

// killLeader kills the registry's leader, if there is one, and restarts the replica on its data once another leads.
func (run *maintenanceRun) killLeader(ctx context.Context) {
	leader := run.leaderIndex(ctx)
	if leader < 0 {
		return
	}
	run.recordFaultEvent(faultKill, processName(roleRegistry, leader))
	run.restartAfterElection(context.WithoutCancel(ctx), leader)
}

// killReplicas kills all replicas, restarts them after duration and waits for a leader.
func (run *maintenanceRun) killReplicas(ctx context.Context, duration time.Duration) {
	run.recordFaultEvent(faultKill, "registry-*")
	for _, replica := range run.processes[roleRegistry] {
		replica.Kill()
	}
	sleepUntil(ctx, time.Now().Add(duration))
	for _, replica := range run.processes[roleRegistry] {
		run.startAgain(replica)
	}
	run.recordEvent(timeline.Faults, "start registry-*")
	run.waitLeader(context.WithoutCancel(ctx))
}

// killNode kills a node, restarts it after duration and waits until it is ready.
func (run *maintenanceRun) killNode(ctx context.Context, node int, duration time.Duration) {
	process := run.processes[roleNode][node]
	run.recordFaultEvent(faultKill, process.Name)
	run.openFaultWindow(roleNode, node, faultKill)
	process.Kill()
	sleepUntil(ctx, time.Now().Add(duration))
	run.startAgain(process)
	waitReady(context.WithoutCancel(ctx), process, run.links["client-"+process.Name].target, readyPath)
	run.recordEvent(timeline.Faults, "start %s", process.Name)
	run.closeWindowLater(ctx, node)
}

// pauseNode pauses a node for duration.
func (run *maintenanceRun) pauseNode(ctx context.Context, node int, duration time.Duration) {
	process := run.processes[roleNode][node]
	run.recordFaultEvent(faultPause, process.Name)
	run.openFaultWindow(roleNode, node, faultPause)
	process.Signal(syscall.SIGSTOP)
	sleepUntil(ctx, time.Now().Add(duration))
	process.Signal(syscall.SIGCONT)
	run.recordEvent(timeline.Faults, "continue %s", process.Name)
	run.closeWindowLater(ctx, node)
}

// startAgain starts a process that was killed. If the start fails, the run continues without the process.
func (run *maintenanceRun) startAgain(process *Process) {
	if err := process.Start(run.spawner); err != nil {
		run.log.Error("process could not be restarted; the run continues without it", "component", "lab",
			"child", process.Name, "error", err)
	}
}

// closeWindowLater closes a node's fault window after notificationGrace. Until then the node's responses are late, and
// it may not have been notified of what changed during the fault.
func (run *maintenanceRun) closeWindowLater(ctx context.Context, node int) {
	run.undoAfter(context.WithoutCancel(ctx), notificationGrace, func() { run.closeFaultWindow(roleNode, node) })
}
