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
// invariants fail returns a report with Passed false and no error. Every child is ended before Run returns.
func Run(ctx context.Context, s Scenario, opts Options) (Report, error) {
	if s.Soak != nil {
		return runSoak(ctx, s, opts)
	}
	return runLoad(ctx, s, opts)
}

// runLoad plays one run.
func runLoad(ctx context.Context, s Scenario, opts Options) (Report, error) {
	c, err := newCluster(opts, s.Seed)
	if err != nil {
		return Report{}, err
	}
	defer c.close()
	if s.Lease != nil {
		return (&leaseRun{cluster: c, scenario: s}).run(ctx)
	}
	l := &loadRun{cluster: c, scenario: s}
	defer l.closeDiscovery()
	switch {
	case s.Maintenance != nil:
		return runMaintenance(ctx, l)
	case s.Fleet != nil:
		return (&fleetRun{loadRun: l}).run(ctx)
	}
	return l.run(ctx)
}
