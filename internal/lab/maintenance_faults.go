package lab

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"hitchvale/internal/timeline"
)

// injectDrawnFaults plays a fault every FaultInterval until ctx ends, each undone before the next.
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

// injectDrawnFault plays one fault and undoes it, also where ctx ends meanwhile.
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

// killLeader kills the registry's leader, if it has one, and starts it again on its data once another leads.
func (run *maintenanceRun) killLeader(ctx context.Context) {
	leader := run.leaderIndex(ctx)
	if leader < 0 {
		return
	}
	run.noteFault(faultKill, processName(roleRegistry, leader))
	run.restartAfterElection(context.WithoutCancel(ctx), leader)
}

// killReplicas kills all replicas, starts them again after a while and waits for a leader.
func (run *maintenanceRun) killReplicas(ctx context.Context, duration time.Duration) {
	run.noteFault(faultKill, "registry-*")
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

// killNode kills a node, starts it again after a while and waits until it is ready.
func (run *maintenanceRun) killNode(ctx context.Context, node int, duration time.Duration) {
	process := run.processes[roleNode][node]
	run.noteFault(faultKill, process.Name)
	run.openFaultWindow(roleNode, node, faultKill)
	process.Kill()
	sleepUntil(ctx, time.Now().Add(duration))
	run.startAgain(process)
	waitReady(context.WithoutCancel(ctx), process, run.links["client-"+process.Name].target, readyPath)
	run.recordEvent(timeline.Faults, "start %s", process.Name)
	run.closeWindowLater(ctx, node)
}

// pauseNode pauses a node for a while.
func (run *maintenanceRun) pauseNode(ctx context.Context, node int, duration time.Duration) {
	process := run.processes[roleNode][node]
	run.noteFault(faultPause, process.Name)
	run.openFaultWindow(roleNode, node, faultPause)
	process.Signal(syscall.SIGSTOP)
	sleepUntil(ctx, time.Now().Add(duration))
	process.Signal(syscall.SIGCONT)
	run.recordEvent(timeline.Faults, "continue %s", process.Name)
	run.closeWindowLater(ctx, node)
}

// startAgain starts a process that was killed.
func (run *maintenanceRun) startAgain(process *Process) {
	if err := process.Start(run.spawner); err != nil {
		run.log.Error("restart failed", "component", "lab", "child", process.Name, "error", err)
	}
}

// closeWindowLater closes a node's fault window after notificationGrace: its responses are late, and it has yet to be
// notified of what changed meanwhile.
func (run *maintenanceRun) closeWindowLater(ctx context.Context, node int) {
	run.undoAfter(context.WithoutCancel(ctx), notificationGrace, func() { run.closeFaultWindow(roleNode, node) })
}
