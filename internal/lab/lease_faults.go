package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// leaseFault is one fault of a lease run.
type leaseFault struct {
	Kind   string `json:"kind"`
	At     int64  `json:"at"`     // Unix time in nanoseconds
	Holder string `json:"holder"` // of the lease when the fault was applied
	Target string `json:"target"`
}

// injectFaults plays the scenario's faults one after another. The effect of each is awaited (a successor holds the lease,
// or the registry has a leader again) and the fault undone before the next.
func (run *leaseRun) injectFaults(ctx context.Context) ([]leaseFault, error) {
	rng := rand.New(rand.NewPCG(run.scenario.Seed, leaseFaultStream))
	run.start = time.Now()
	var faults []leaseFault
	for n := range run.scenario.Lease.FaultCount {
		fault, err := run.injectFault(ctx, rng)
		if err != nil {
			return nil, fmt.Errorf("fault %d (%s): %w", n, fault.Kind, err)
		}
		faults = append(faults, fault)
		run.recordFault(InjectedFault{At: time.Duration(fault.At - run.start.UnixNano()).Seconds(), Kind: fault.Kind,
			Target: []string{fault.Target}})
	}
	return faults, nil
}

// injectFault draws one fault, applies it to the holder or the registry's leader, awaits its effect and undoes it.
func (run *leaseRun) injectFault(ctx context.Context, rng *rand.Rand) (leaseFault, error) {
	ttl := run.scenario.Lease.TTL.Duration
	holder, err := run.waitHolder(ctx, "", eventTimeout)
	if err != nil {
		return leaseFault{}, err
	}
	index := candidateIndex(holder)
	if index < 0 || index >= len(run.processes[roleCandidate]) {
		return leaseFault{}, fmt.Errorf("holder %q is none of the candidates", holder)
	}
	process := run.processes[roleCandidate][index]
	// Somewhere in the holder's work, not always just after its grant.
	sleepUntil(ctx, time.Now().Add(time.Duration(rng.Int64N(int64(ttl/2)))))
	kinds := run.scenario.Lease.Kinds
	fault := leaseFault{Kind: kinds[rng.IntN(len(kinds))], Holder: holder, Target: process.Name,
		At: time.Now().UnixNano()}
	switch fault.Kind {
	case leaseFaultKill:
		err = run.endHolder(ctx, process, holder, syscall.SIGKILL)
	case leaseFaultTerminate:
		err = run.endHolder(ctx, process, holder, syscall.SIGTERM)
	case leaseFaultPause:
		// Past the TTL, so that a successor holds the lease before the paused holder writes with its old token.
		duration := time.Duration(float64(ttl) * (1.5 + rng.Float64()))
		err = run.pauseHolder(ctx, process, fault, duration)
	case leaseFaultBoth:
		err = run.pauseHolderAndKillLeader(ctx, process, holder)
	case leaseFaultPartition:
		run.partitionHolder(ctx, process, fault, 2*ttl)
	default:
		fault.Target, err = run.killLeader(ctx, process.Name)
	}
	return fault, err
}

// endHolder ends the holder by a signal, awaits its successor and starts it again. A successor that does not come is
// found by the checks; the wait is far longer than their bound.
func (run *leaseRun) endHolder(ctx context.Context, process *Process, holder string, signal syscall.Signal) error {
	exited := process.Exited()
	if err := process.Signal(signal); err != nil {
		return err
	}
	run.waitHolder(ctx, holder, eventTimeout)
	<-exited
	return process.Start(run.spawner)
}

// pauseHolder pauses the holder for a while from the fault's time, and until there is a successor.
func (run *leaseRun) pauseHolder(ctx context.Context, process *Process, fault leaseFault,
	duration time.Duration) error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	run.waitHolder(ctx, fault.Holder, eventTimeout)
	sleepUntil(ctx, time.Unix(0, fault.At).Add(duration))
	return process.Signal(syscall.SIGCONT)
}

// pauseHolderAndKillLeader pauses the holder and kills the leader that would have expired its lease. The next leader
// waits a full TTL of its own before a successor may hold it; only then does the old holder continue.
func (run *leaseRun) pauseHolderAndKillLeader(ctx context.Context, process *Process, holder string) error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	_, err := run.killLeader(ctx, process.Name)
	run.waitHolder(ctx, holder, eventTimeout)
	return errors.Join(err, process.Signal(syscall.SIGCONT))
}

// partitionHolder cuts the holder off from all replicas for a while from the fault's time, and until there is a
// successor.
func (run *leaseRun) partitionHolder(ctx context.Context, process *Process, fault leaseFault, duration time.Duration) {
	links := run.matchLinks([]string{process.Name + ":registry-*"})
	for _, proxy := range links {
		proxy.Partition(true)
	}
	run.waitHolder(ctx, fault.Holder, eventTimeout)
	sleepUntil(ctx, time.Unix(0, fault.At).Add(duration))
	for _, proxy := range links {
		proxy.Partition(false)
	}
}

// killLeader kills the registry's leader, waits for the next, starts the old one again on its data and returns its
// name; otherwise where no replica leads.
func (run *leaseRun) killLeader(ctx context.Context, otherwise string) (target string, err error) {
	leader := run.leaderIndex(ctx)
	if leader < 0 {
		return otherwise, errNoLeaderToKill
	}
	return run.processes[roleRegistry][leader].Name, run.restartAfterElection(ctx, leader)
}
