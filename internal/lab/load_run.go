package lab

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"sync"
	"time"
)

// loadRun is a run of nodes between clients and backends: a load is sent while faults are injected at their times. Its
// methods may be called by several goroutines. cluster.mu guards the fields that change during the run.
type loadRun struct {
	*cluster
	scenario  Scenario
	discovery *Discovery
	clients   []*client // by node
	attempts  attemptLog

	backendAddr []string // by backend: where it listens
	listenAddr  []string // by node: where it listens for clients
	adminAddr   []string // by node: where it serves /metrics and the administration

	drained       map[string]time.Time // by backend: when the registry acknowledged its drain
	propagation   []float64            // for each node and drain: milliseconds until the node had the drain's revision
	faultWindows  []FaultWindow
	shutdownKills []ShutdownKill
	terminatedAt  map[int]time.Time // by node: the first SIGTERM of its present process
}

// run starts the processes, sends the load and checks the history.
func (run *loadRun) run(ctx context.Context) (Report, error) {
	run.drained = map[string]time.Time{}
	run.terminatedAt = map[int]time.Time{}
	run.nodesShareCore = run.scenario.Abuse.SharedCore
	if err := run.setUp(ctx); err != nil {
		return Report{}, err
	}
	abuse := newAbuseLog()
	driver, starved, err := run.sendLoad(ctx, abuse)
	if err != nil {
		return Report{}, err
	}
	acknowledged := run.checkAcknowledgedWrites(ctx)
	run.stopAll()
	return run.report(driver, starved, abuse, acknowledged)
}

// sendLoad sends the load while the faults are injected at their times. It returns once all requests have their
// outcomes and all faults have been undone.
func (run *loadRun) sendLoad(ctx context.Context, abuse *abuseLog) (*Driver, *starvationLog, error) {
	driver := &Driver{Load: run.scenario.Load, Nodes: run.newNodeClients(), Seed: run.scenario.Seed}
	starved := &starvationLog{}
	run.start = time.Now()
	loadCtx, stopFaults := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { run.injectFaults(loadCtx) })
	if run.scenario.Soak != nil {
		background.Go(func() { starved.run(loadCtx, run.watchedProcesses) })
	}
	for _, client := range run.clients {
		background.Go(func() { client.holdIdleConnections(loadCtx, run.scenario.idleConnections) })
	}
	if len(run.scenario.Abuse.Kinds) > 0 {
		background.Go(func() { abuse.sampleMemory(loadCtx, run.watchedProcesses) })
		if cores := run.scenario.Abuse.Cores; cores > 0 && cores < nodeCores {
			background.Go(func() { run.limitCPU(loadCtx, cores) })
		}
		for i := range run.scenario.Nodes {
			run.runAbuse(loadCtx, i, abuse)
		}
	}
	driver.Run(ctx, run.scenario.Duration.Duration)
	stopFaults()
	background.Wait()
	abuse.clients.Wait()
	run.timers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, nil, fmt.Errorf("run stopped: %w", err)
	}
	return driver, starved, nil
}

// report checks the history of a run whose children have exited, and writes the report and the outcome of every
// request.
func (run *loadRun) report(
	driver *Driver, starved *starvationLog, abuse *abuseLog, acknowledged Check,
) (Report, error) {
	history, unsent, err := run.history(driver)
	if err != nil {
		return Report{}, err
	}
	checks := []Check{acknowledged}
	if run.scenario.Load.StalledClients {
		checks = append(checks, driver.StalledClientCheck())
	}
	if len(run.scenario.Abuse.Kinds) > 0 {
		checks = append(checks, abuse.checks(run.scenario.MemoryMB, history.Attempts)...)
		checks = append(checks, run.checkNodeLogs())
	}
	if run.scenario.Soak != nil {
		drains, lastUp := run.discovery.drainPeriods()
		checks = append(checks, history.verifySoak(drains, lastUp)...)
		checks = append(checks, run.checkNodeLogs())
	}
	report := Summarize(run.scenario.Name, run.start, history, run.injectedFaults, unsent, run.starts(), checks...)
	report.Propagation = newDistribution(run.propagation)
	report.Starved = starved.all()
	report.PeakMemoryMB = abuse.peaks()
	if err := writeOutcomes(run.path("outcomes.jsonl"), history.Outcomes); err != nil {
		return report, err
	}
	return report, report.Write(run.opts.Out)
}

// history collects the records of the driver, the links and the backends. It also returns how many requests were not
// sent because too many were in flight.
func (run *loadRun) history(driver *Driver) (history History, unsent int, err error) {
	history = History{
		DrainedAt:     run.drainedAt(),
		DrainGrace:    run.scenario.DrainGrace.Duration,
		FaultWindows:  run.faultWindows,
		ShutdownKills: run.shutdownKills,
		Attempts:      run.attempts.all(),
	}
	history.Outcomes, unsent = driver.Outcomes()
	history.Executions, err = run.readExecutions()
	return history, unsent, err
}

// drainedAt returns when each backend was set draining. In a soak it returns nil, because a backend may drain more than
// once there, and verifySoak checks each drain.
func (run *loadRun) drainedAt() map[string]time.Time {
	if run.scenario.Soak != nil {
		return nil
	}
	drained := run.discovery.Drained()
	maps.Copy(drained, run.drained)
	return drained
}

// readExecutions reads the execution logs of all backends. It ignores a missing log.
func (run *loadRun) readExecutions() ([]Execution, error) {
	var executions []Execution
	for j := range run.scenario.Backends {
		fromBackend, err := ReadExecutions(run.path("backend-%d.runs", j))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("execution log of backend-%d: %w", j, err)
		}
		executions = append(executions, fromBackend...)
	}
	return executions, nil
}

// watchedProcesses returns the ids of a soak's processes, by name. The lab itself is among them, because it records
// times too late while it waits for a processor.
func (run *loadRun) watchedProcesses() map[string][]int {
	run.mu.Lock()
	defer run.mu.Unlock()
	pids := map[string][]int{"lab": {os.Getpid()}}
	for _, child := range run.children() {
		pids[child.Name] = append(pids[child.Name], child.pids()...)
	}
	return pids
}
