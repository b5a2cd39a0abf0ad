package lab

import (
	"context"
	"sync"
	"time"
)

const (
	// fleetFaultStream is the random stream of a fleet run's faults. It keeps their draws independent of other draws from
	// the same seed.
	fleetFaultStream = 0xf1ee7
	// readerPollInterval is the time between two samples of one reader of the view.
	readerPollInterval = 20 * time.Millisecond
)

// fleetRun is a run of the fleet's shared view. It starts real nodes and replicas, injects faults, and samples the view
// of each reader. The readers are all nodes and all replicas.
type fleetRun struct {
	*loadRun
	views *viewRecorder
}

// run starts the processes, samples all readers of the view while it injects the faults, and writes the report.
func (run *fleetRun) run(ctx context.Context) (Report, error) {
	run.drained = map[string]time.Time{}
	run.views = newViewRecorder()
	if err := run.setUp(ctx); err != nil {
		return Report{}, err
	}
	run.start = time.Now()
	sampleCtx, stop := context.WithCancel(ctx)
	var readers sync.WaitGroup
	for i := range run.scenario.Nodes {
		sample := func() error { return run.sampleNode(sampleCtx, i) }
		readers.Go(func() { run.pollReader(sampleCtx, processName(roleNode, i), sample) })
	}
	for m := range run.registryAddr {
		sample := func() error { return run.sampleReplica(sampleCtx, m) }
		readers.Go(func() { run.pollReader(sampleCtx, processName(roleRegistry, m), sample) })
	}
	err := run.injectDrawnFaults(ctx)
	stop()
	readers.Wait()
	return run.report(err)
}

// report writes the report and the timeline. faultErr is the error of injectDrawnFaults.
func (run *fleetRun) report(faultErr error) (Report, error) {
	freshness := Check{Name: "every node is fresh in every view again after each fault"}
	if faultErr != nil {
		freshness.addViolation(faultErr.Error())
	}
	report := Report{Scenario: run.scenario.Name, Passed: true, Faults: run.injectedFaults, Starts: run.starts(),
		Checks: append(run.views.checks(), freshness.result())}
	for _, check := range report.Checks {
		report.Passed = report.Passed && check.OK
	}
	var columns []string
	for i := range run.scenario.Nodes {
		columns = append(columns, processName(roleNode, i))
	}
	var err error
	if report.Timeline, err = run.drawTimeline(columns); err != nil {
		return report, err
	}
	return report, report.Write(run.opts.Out)
}
