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

// loadRun is the experiment of nodes between clients and backends: a load is sent while faults are applied at their
// times. Its methods may be called by several goroutines; the fields that change during the run are under cluster.mu.
type loadRun struct {
	*cluster
	scenario  Scenario
	discovery *Discovery
	clients   []*client // by node
	attempts  attemptLog

	backendAddr []string // by backend: where it listens
	listenAddr  []string // by node: where it listens for clients
	adminAddr   []string // by node: where it serves /metrics and the administration

	drained      map[string]time.Time // by backend: when the registry acknowledged that it is draining
	propagation  []float64            // of each node and drain: milliseconds until the node had its revision
	faultWindows []FaultWindow
	kills        []Kill
	terminatedAt map[int]time.Time // by node: the first SIGTERM of its present process
}

// run starts the processes, plays the load and checks the history.
func (run *loadRun) run(ctx context.Context) (Report, error) {
	run.drained = map[string]time.Time{}
	run.terminatedAt = map[int]time.Time{}
	if err := run.setUp(ctx); err != nil {
		return Report{}, err
	}
	driver, starved, err := run.play(ctx)
	if err != nil {
		return Report{}, err
	}
	acknowledged := run.checkAcknowledgedWrites(ctx)
	run.stopAll()
	return run.report(driver, starved, acknowledged)
}

// play sends the load while the faults are applied at their times, and returns once both have ended.
func (run *loadRun) play(ctx context.Context) (*Driver, *starvationLog, error) {
	driver := &Driver{Load: run.scenario.Load, Nodes: run.newNodeClients(), Seed: run.scenario.Seed}
	starved := &starvationLog{}
	run.start = time.Now()
	playCtx, stopFaults := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { run.applyFaults(playCtx) })
	if run.scenario.Soak != nil {
		background.Go(func() { starved.run(playCtx, run.watchedProcesses) })
	}
	for _, client := range run.clients {
		background.Go(func() { client.holdIdleConnections(playCtx, run.scenario.idleConnections) })
	}
	driver.Run(ctx, run.scenario.Duration.Duration)
	stopFaults()
	background.Wait()
	run.timers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, nil, fmt.Errorf("run stopped: %w", err)
	}
	return driver, starved, nil
}

// report checks the history of a run whose children have ended, and writes the report and every request's outcome.
func (run *loadRun) report(driver *Driver, starved *starvationLog, acknowledged Check) (Report, error) {
	history, unsent, err := run.history(driver)
	if err != nil {
		return Report{}, err
	}
	checks := []Check{acknowledged}
	if run.scenario.Load.ImproperPeers {
		checks = append(checks, driver.Improper())
	}
	if run.scenario.Soak != nil {
		drains, lastUp := run.discovery.drainPeriods()
		checks = append(checks, history.verifySoak(drains, lastUp)...)
		checks = append(checks, run.checkNodeLogs())
	}
	report := Summarize(run.scenario.Name, run.start, history, run.injectedFaults, unsent, run.starts(), checks...)
	report.Propagation = newDistribution(run.propagation)
	report.Starved = starved.all()
	if err := writeOutcomes(run.path("outcomes.jsonl"), history.Outcomes); err != nil {
		return report, err
	}
	return report, report.Write(run.opts.Out)
}

// history collects what the driver, the links and the backends recorded, and how many requests were not sent.
func (run *loadRun) history(driver *Driver) (history History, unsent int, err error) {
	history = History{
		DrainedAt:    run.drainedAt(),
		DrainGrace:   run.scenario.DrainGrace.Duration,
		FaultWindows: run.faultWindows,
		Kills:        run.kills,
		Attempts:     run.attempts.all(),
	}
	history.Outcomes, unsent = driver.Outcomes()
	history.Executions, err = run.readExecutions()
	return history, unsent, err
}

// drainedAt is when each backend was set draining; nil in a soak, where a backend may drain more than once and
// verifySoak checks each time.
func (run *loadRun) drainedAt() map[string]time.Time {
	if run.scenario.Soak != nil {
		return nil
	}
	drained := run.discovery.Drained()
	maps.Copy(drained, run.drained)
	return drained
}

// readExecutions reads the logs of all backends; one that never executed a request has none.
func (run *loadRun) readExecutions() ([]Execution, error) {
	var executions []Execution
	for j := range run.scenario.Backends {
		fromBackend, err := ReadExecutions(run.path("backend-%d.runs", j))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("backend-%d's log: %w", j, err)
		}
		executions = append(executions, fromBackend...)
	}
	return executions, nil
}

// watchedProcesses are the process ids of a soak by name. The lab itself is among them: when it is starved, it records
// times too late.
func (run *loadRun) watchedProcesses() map[string][]int {
	run.mu.Lock()
	defer run.mu.Unlock()
	pids := map[string][]int{"lab": {os.Getpid()}}
	for _, child := range run.children() {
		pids[child.Name] = append(pids[child.Name], child.pids()...)
	}
	return pids
}
