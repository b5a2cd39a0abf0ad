// Package lab is the fault lab, which tests the program as real processes on loopback: nodes, registry replicas and
// stand-in backends. It places a TCP fault proxy on every link, injects faults on a schedule and records the outcome of
// every request. It then checks invariants over that history and writes a report with plots. A scenario file says which
// kind of run to start: nodes under load, a soak, a lease, a fleet's shared view or maintenance turns.
package lab

import (
	"context"
	"log/slog"
)

// Options says where the programs are and where a run writes its output.
type Options struct {
	NodeBinary    string       // path of the hitchvale-node binary
	CommandBinary string       // path of the hitchvale binary, which runs stand-in backends, replicas and candidates
	Out           string       // folder for logs, report.json and plots; it must be empty or not exist
	Log           *slog.Logger // nil: nothing is logged
}

// Run runs a scenario and returns its report, which it has also written to opts.Out. It returns an error if the
// scenario could not be run, for example because a child did not start or a folder could not be written. If invariants
// are violated, it returns a report with Passed false and no error. Every child has exited when Run returns.
func Run(ctx context.Context, scenario Scenario, opts Options) (Report, error) {
	if scenario.Soak != nil {
		return runSoak(ctx, scenario, opts)
	}
	return runOnce(ctx, scenario, opts)
}

// runOnce runs a scenario with its present seed and returns the report. It picks the kind of run by the tables that the
// scenario has.
func runOnce(ctx context.Context, scenario Scenario, opts Options) (Report, error) {
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
