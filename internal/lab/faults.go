package lab

import (
	"context"
	"errors"
	"slices"
	"time"
)

// applyFaults applies each fault of the schedule at its time, and records it.
func (run *loadRun) applyFaults(ctx context.Context) {
	faults := slices.Clone(run.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	for _, fault := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(run.start.Add(fault.At.Duration))):
		}
		err := run.applyFault(ctx, fault)
		mark := InjectedFault{At: time.Since(run.start).Seconds(), Kind: fault.Kind, Target: fault.Target}
		if err != nil {
			mark.Error = err.Error()
		}
		run.log.Info("fault applied", "component", "lab", "kind", fault.Kind, "target", fault.Target, "error", mark.Error)
		run.recordFault(mark)
	}
}

// applyFault applies a fault to all of its targets. One with a For is undone by a timer that close waits for.
func (run *loadRun) applyFault(ctx context.Context, fault Fault) error {
	switch {
	case fault.Kind == faultOutage:
		run.discovery.SetDown(true)
		run.undoAfter(ctx, fault.For.Duration, func() { run.discovery.SetDown(false) })
		return nil
	case isProcessFault(fault.Kind):
		var errs []error
		for _, target := range fault.Target {
			errs = append(errs, run.applyProcessFault(ctx, fault, target))
		}
		return errors.Join(errs...)
	}
	links := run.matchLinks(fault.Target)
	if len(links) == 0 {
		return errors.New("no link matches")
	}
	for name, proxy := range links {
		run.applyLinkFault(ctx, fault, name, proxy)
	}
	return nil
}
