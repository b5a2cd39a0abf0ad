package lab

import (
	"context"
	"errors"
	"slices"
	"time"
)

// injectFaults injects each fault of the schedule at its time and records it. It returns when all faults have been
// injected or ctx ends.
func (run *loadRun) injectFaults(ctx context.Context) {
	faults := slices.Clone(run.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	for _, fault := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(run.start.Add(fault.At.Duration))):
		}
		err := run.injectFault(ctx, fault)
		injected := InjectedFault{At: time.Since(run.start).Seconds(), Kind: fault.Kind, Target: fault.Target}
		if err != nil {
			injected.Error = err.Error()
		}
		run.log.Info("fault injected", "component", "lab", "kind", fault.Kind, "target", fault.Target, "error",
			injected.Error)
		run.recordFault(injected)
	}
}

// injectFault injects a fault on all of its targets. If the fault has a duration (For), a timer undoes it, and close
// waits for that timer.
func (run *loadRun) injectFault(ctx context.Context, fault Fault) error {
	switch {
	case fault.Kind == faultOutage:
		run.discovery.SetDown(true)
		run.undoAfter(ctx, fault.For.Duration, func() { run.discovery.SetDown(false) })
		return nil
	case isProcessFault(fault.Kind):
		var errs []error
		for _, target := range fault.Target {
			errs = append(errs, run.injectProcessFault(ctx, fault, target))
		}
		return errors.Join(errs...)
	}
	links := run.matchLinks(fault.Target)
	if len(links) == 0 {
		return errors.New("no link of the scenario matches the targets")
	}
	for name, proxy := range links {
		run.injectLinkFault(ctx, fault, name, proxy)
	}
	return nil
}
