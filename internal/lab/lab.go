// Package lab is the fault lab: it starts real processes of the program on loopback (nodes, registry replicas, stand-in
// backends), places a TCP fault proxy on every link, applies faults on a schedule, records every request's outcome,
// checks invariants over that history and writes a report with plots. A scenario file says which experiment is run:
// nodes under load, a soak, a lease, a fleet's shared view or maintenance turns.
package lab

import (
	"context"
	"log/slog"
)

// Options say where the programs are and where the run writes.
type Options struct {
	NodeBinary    string // the node's binary
	CommandBinary string // this command's binary, for the stand-in backends, the replicas and the candidates
	Out           string // the output folder: logs, report.json, plots
	Log           *slog.Logger
}

// Run plays a scenario and returns its report, which it has also written to opts.Out. The error is for a run
// that could not be played (a child that did not start, a folder that could not be written); a run whose
// invariants fail returns a report with Passed false and no error. Every child has exited when Run returns.
func Run(ctx context.Context, scenario Scenario, opts Options) (Report, error) {
	if scenario.Soak != nil {
		return runSoak(ctx, scenario, opts)
	}
	return runExperiment(ctx, scenario, opts)
}

// runExperiment plays one run of the kind that the scenario describes.
func runExperiment(ctx context.Context, scenario Scenario, opts Options) (Report, error) {
	cluster, err := newCluster(opts, scenario.Seed)
	if err != nil {
		return Report{}, err
	}
	defer cluster.close()
	if scenario.Lease != nil {
		return (&leaseRun{cluster: cluster, scenario: scenario}).run(ctx)
	}
	load := &loadRun{cluster: cluster, scenario: scenario}
	defer load.closeDiscovery()
	switch {
	case scenario.Maintenance != nil:
		return (&maintenanceRun{loadRun: load}).run(ctx)
	case scenario.Fleet != nil:
		return (&fleetRun{loadRun: load}).run(ctx)
	}
	return load.run(ctx)
}
