package lab

import (
	"errors"
	"fmt"
	"time"

	"hitchvale/internal/tomlfile"
)

// check returns the first invalid value of the scenario, as an error that names its key.
func (scenario Scenario) check() error {
	if scenario.Lease != nil {
		if scenario.Nodes != 0 || scenario.Backends != 0 || len(scenario.Faults) != 0 {
			return tomlfile.KeyErrorf("duty", "a lease scenario draws its faults: it cannot be combined with nodes, backends "+
				"or [[fault]]")
		}
		return scenario.Lease.check(scenario.Registries)
	}
	if err := scenario.checkSize(); err != nil {
		return err
	}
	if err := scenario.Load.check(); err != nil {
		return err
	}
	if share := scenario.Backend.ErrorShare; share < 0 || share > 1 {
		return tomlfile.KeyErrorf("backend.errors", "%g is outside 0 to 1", share)
	}
	if err := scenario.Abuse.check(); err != nil {
		return err
	}
	if err := scenario.checkTables(); err != nil {
		return err
	}
	for i, fault := range scenario.Faults {
		if err := scenario.checkFault(fault); err != nil {
			return fmt.Errorf("fault %d (%s at %s): %w", i+1, fault.Kind, fault.At, err)
		}
	}
	return nil
}

// checkSize checks the number of processes of a run and its duration.
func (scenario Scenario) checkSize() error {
	switch {
	case scenario.Nodes < 1 || scenario.Nodes > 64:
		return tomlfile.KeyErrorf("nodes", "%d is outside 1 to 64", scenario.Nodes)
	case scenario.Backends < 1 || scenario.Backends > 256:
		return tomlfile.KeyErrorf("backends", "%d is outside 1 to 256", scenario.Backends)
	case scenario.MemoryMB < 1 || scenario.MemoryMB > 1<<20:
		return tomlfile.KeyErrorf("memory_mb", "%d is outside 1 to 1048576", scenario.MemoryMB)
	case scenario.Registries < 0 || scenario.Registries > 7:
		return tomlfile.KeyErrorf("registries", "%d is outside 0 to 7", scenario.Registries)
	case scenario.Duration.Duration <= 0 || scenario.Duration.Duration > time.Hour:
		return tomlfile.KeyErrorf("duration", "%s must be above 0 and at most 1h", scenario.Duration)
	}
	return nil
}

// check returns the first invalid value of the load, as an error that names its key.
func (load Load) check() error {
	switch {
	case load.Rate <= 0 || load.Rate > 20000:
		return tomlfile.KeyErrorf("load.rate", "%g must be above 0 and at most 20000", load.Rate)
	case load.Count < 1:
		return tomlfile.KeyErrorf("load.count", "%d is below the minimum of 1", load.Count)
	case load.Deadline.Duration < minClientDeadline:
		return tomlfile.KeyErrorf("load.deadline", "%s is below the minimum of %s", load.Deadline, minClientDeadline)
	case load.UnsafeShare < 0 || load.UnsafeShare > 1:
		return tomlfile.KeyErrorf("load.unsafe", "%g is outside 0 to 1", load.UnsafeShare)
	case load.KeyedShare < 0 || load.KeyedShare+load.UnsafeShare > 1:
		return tomlfile.KeyErrorf("load.keyed", "%g is below 0, or above 1 together with load.unsafe", load.KeyedShare)
	case load.DisconnectShare < 0 || load.DisconnectShare > 1:
		return tomlfile.KeyErrorf("load.leave", "%g is outside 0 to 1", load.DisconnectShare)
	case load.DelayedRequestShare < 0 || load.DelayedRequestShare > 1:
		return tomlfile.KeyErrorf("load.late", "%g is outside 0 to 1", load.DelayedRequestShare)
	case load.SplitRequestShare < 0 || load.DelayedRequestShare+load.SplitRequestShare > 1:
		return tomlfile.KeyErrorf("load.begun", "%g is below 0, or above 1 together with load.late", load.SplitRequestShare)
	case load.SlowBodyShare < 0 || load.DelayedRequestShare+load.SplitRequestShare+load.SlowBodyShare > 1:
		return tomlfile.KeyErrorf("load.slow_bodies", "%g is below 0, or above 1 together with load.late and load.begun",
			load.SlowBodyShare)
	case load.LongBodyShare < 0 || load.LongBodyShare > 1:
		return tomlfile.KeyErrorf("load.long_bodies", "%g is outside 0 to 1", load.LongBodyShare)
	}
	return nil
}

// minClientDeadline is the shortest client deadline that a scenario may set.
const minClientDeadline = 10 * time.Millisecond

// checkTables checks the tables [fleet], [soak] and [work], which add to or replace the [[fault]] schedule.
func (scenario Scenario) checkTables() error {
	if scenario.Fleet != nil {
		if err := scenario.Fleet.check(scenario); err != nil {
			return err
		}
	}
	if scenario.Soak != nil {
		if err := scenario.Soak.check(scenario); err != nil {
			return err
		}
	}
	if scenario.Maintenance != nil {
		return scenario.Maintenance.check(scenario)
	}
	return nil
}

// faultKindsText lists the kinds of faults in an error message.
const faultKindsText = faultKill + ", " + faultPower + ", " + faultTerminate + ", " + faultPause + ", " + faultRestart +
	", " + faultFill + ", " + faultReload + ", " + faultHold + ", " + faultUpgrade + ", " + faultDrain + ", " +
	faultRejoin + ", " + faultOutage + ", " + faultPartition + ", " + faultDelay + ", " + faultReset + ", " + faultDrop

// checkFault checks one fault of the schedule: its kind, time, targets and the fields that the kind needs.
func (scenario Scenario) checkFault(fault Fault) error {
	if !isProcessFault(fault.Kind) && !isLinkFault(fault.Kind) && fault.Kind != faultOutage {
		return tomlfile.KeyErrorf("kind", "%q is not a fault kind; the kinds are %s", fault.Kind, faultKindsText)
	}
	if fault.At.Duration < 0 || fault.At.Duration > scenario.Duration.Duration {
		return tomlfile.KeyErrorf("at", "%s is outside 0 to the scenario's duration of %s", fault.At, scenario.Duration)
	}
	if len(fault.Target) == 0 {
		return errors.New("key \"target\": no target is named; a fault needs at least one")
	}
	for _, target := range fault.Target {
		if err := scenario.checkTarget(fault.Kind, target); err != nil {
			return tomlfile.KeyErrorf("target", "%v", err)
		}
	}
	if fault.Kind == faultDrop && (fault.Share <= 0 || fault.Share > 1) {
		return tomlfile.KeyErrorf("share", "%g must be above 0 and at most 1", fault.Share)
	}
	if fault.Kind == faultDelay && fault.Delay.Duration <= 0 {
		return fmt.Errorf("key \"delay\": %s must be above 0", fault.Delay)
	}
	return nil
}
