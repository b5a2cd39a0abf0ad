package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"hitchvale/internal/timeline"
)

// injectDrawnFaults draws and injects the scenario's faults one after another, and waits after each until all nodes are
// fresh. Its error names the fault after which a node was not fresh.
func (run *fleetRun) injectDrawnFaults(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(run.scenario.Seed, fleetFaultStream))
	if err := run.awaitAllFresh(ctx); err != nil {
		return fmt.Errorf("at the start: %w", err)
	}
	kinds := run.scenario.Fleet.Kinds
	for n := range run.scenario.Fleet.FaultCount {
		kind := kinds[rng.IntN(len(kinds))]
		if err := run.injectDrawnFault(ctx, rng, kind); err != nil {
			return fmt.Errorf("fault %d (%s): %w", n, kind, err)
		}
		if err := run.awaitAllFresh(ctx); err != nil {
			return fmt.Errorf("after fault %d (%s): %w", n, kind, err)
		}
	}
	return nil
}

// injectDrawnFault injects one fault, or two at the same time, and undoes it. The fault lasts one to ten intervals, so
// that it may be shorter or longer than the TTL of a session, which is five intervals.
func (run *fleetRun) injectDrawnFault(ctx context.Context, rng *rand.Rand, kind string) error {
	interval := run.scenario.Fleet.Interval.Duration
	duration := time.Duration(float64(interval) * (1 + 9*rng.Float64()))
	node := run.processes[roleNode][rng.IntN(run.scenario.Nodes)]
	switch kind {
	case fleetFaultKill:
		run.recordFaultEvent(faultKill, node.Name)
		node.Kill()
		sleepUntil(ctx, time.Now().Add(duration/4))
		return node.Start(run.spawner)
	case fleetFaultPause:
		run.recordFaultEvent(faultPause, node.Name)
		node.Signal(syscall.SIGSTOP)
		sleepUntil(ctx, time.Now().Add(duration))
		return run.continueNode(node)
	case fleetFaultPartition:
		return run.partition(ctx, duration, node.Name+":registry-*")
	case fleetFaultLeader:
		return run.killLeader(ctx)
	case fleetFaultSplit:
		leader := run.leaderIndex(ctx)
		if leader < 0 {
			return errors.New("the registry has no leader to cut off")
		}
		name := processName(roleRegistry, leader)
		return run.partition(ctx, duration, name+":registry-*", "registry-*:"+name)
	}
	// The remaining kind is fleetFaultBoth.
	run.recordFaultEvent(faultPause, node.Name)
	node.Signal(syscall.SIGSTOP)
	err := run.killLeader(ctx)
	sleepUntil(ctx, time.Now().Add(duration/2))
	return errors.Join(err, run.continueNode(node))
}

// continueNode ends the pause of a node.
func (run *fleetRun) continueNode(node *Process) error {
	run.recordEvent(timeline.Faults, "continue %s", node.Name)
	return node.Signal(syscall.SIGCONT)
}

// partition cuts the links that match the targets, and reconnects them after duration.
func (run *fleetRun) partition(ctx context.Context, duration time.Duration, targets ...string) error {
	links := run.matchLinks(targets)
	if len(links) == 0 {
		return fmt.Errorf("no link of the run matches %v", targets)
	}
	run.recordFaultEvent(fleetFaultPartition, targets...)
	for _, proxy := range links {
		proxy.Partition(true)
	}
	sleepUntil(ctx, time.Now().Add(duration))
	for _, proxy := range links {
		proxy.Partition(false)
	}
	run.recordEvent(timeline.Faults, "heal %s", targets[0])
	return nil
}

// killLeader kills the registry's leader, and restarts the replica on its data once another replica leads.
func (run *fleetRun) killLeader(ctx context.Context) error {
	leader := run.leaderIndex(ctx)
	if leader < 0 {
		return errNoLeaderToKill
	}
	run.recordFaultEvent(faultKill, processName(roleRegistry, leader))
	return run.restartAfterElection(ctx, leader)
}

// awaitAllFresh waits until every node is fresh in every node's view.
func (run *fleetRun) awaitAllFresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	for i := 0; i < run.scenario.Nodes; {
		status, err := run.status(ctx, i)
		allFresh := status.Nodes == run.scenario.Nodes && status.Fresh == status.Nodes
		if err == nil && allFresh && !status.Superseded {
			i++
			continue
		}
		if ctx.Err() != nil {
			return fmt.Errorf("node-%d does not have all nodes fresh in its view: status %+v, last error %v", i, status, err)
		}
		sleepUntil(ctx, time.Now().Add(readerPollInterval))
	}
	run.recordEvent(timeline.Faults, "all fresh")
	return nil
}
