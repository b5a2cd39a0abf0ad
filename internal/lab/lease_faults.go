package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// leaseFault is one injected fault of a lease run.
type leaseFault struct {
	Kind   string `json:"kind"`
	At     int64  `json:"at"`     // Unix time in nanoseconds
	Holder string `json:"holder"` // the lease's holder when the fault was injected
	Target string `json:"target"`
}

// injectFaults injects the scenario's faults one after another. Before the next fault it waits for the effect of the
// last one (a successor holds the lease, or the registry has a leader again) and undoes it.
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

// injectFault draws one fault, injects it into the holder or the registry's leader, waits for its effect and undoes it.
func (run *leaseRun) injectFault(ctx context.Context, rng *rand.Rand) (leaseFault, error) {
	ttl := run.scenario.Lease.TTL.Duration
	holder, err := run.waitHolder(ctx, "", eventTimeout)
	if err != nil {
		return leaseFault{}, err
	}
	index := candidateIndex(holder)
	if index < 0 || index >= len(run.processes[roleCandidate]) {
		return leaseFault{}, fmt.Errorf("the lease's holder %q is none of the run's candidates", holder)
	}
	process := run.processes[roleCandidate][index]
	// The fault comes at a drawn time within the holder's work, instead of always just after the grant.
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
		// The pause is longer than the TTL, so that a successor holds the lease before the paused holder writes with its
		// old token.
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

// endHolder ends the holder's process with a signal, waits for a successor and restarts the process. It ignores a
// missing successor: the checks report it, as their bound is far shorter than this wait.
func (run *leaseRun) endHolder(ctx context.Context, process *Process, holder string, signal syscall.Signal) error {
	exited := process.Exited()
	if err := process.Signal(signal); err != nil {
		return err
	}
	run.waitHolder(ctx, holder, eventTimeout)
	<-exited
	return process.Start(run.spawner)
}

// pauseHolder pauses the holder until there is a successor, and at least for duration from the fault's time.
func (run *leaseRun) pauseHolder(ctx context.Context, process *Process, fault leaseFault,
	duration time.Duration) error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	run.waitHolder(ctx, fault.Holder, eventTimeout)
	sleepUntil(ctx, time.Unix(0, fault.At).Add(duration))
	return process.Signal(syscall.SIGCONT)
}

// pauseHolderAndKillLeader pauses the holder and kills the leader that would have expired the lease. The next leader
// waits for a full TTL before it grants the lease to a successor. The old holder continues only after that grant.
func (run *leaseRun) pauseHolderAndKillLeader(ctx context.Context, process *Process, holder string) error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	_, err := run.killLeader(ctx, process.Name)
	run.waitHolder(ctx, holder, eventTimeout)
	return errors.Join(err, process.Signal(syscall.SIGCONT))
}

// partitionHolder cuts the holder off from all replicas until there is a successor, and at least for duration from the
// fault's time.
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

// killLeader kills the registry's leader, waits for the next leader, restarts the killed replica on its data and
// returns its name. Where no replica leads it returns fallback and an error.
func (run *leaseRun) killLeader(ctx context.Context, fallback string) (target string, err error) {
	leader := run.leaderIndex(ctx)
	if leader < 0 {
		return fallback, errNoLeaderToKill
	}
	return run.processes[roleRegistry][leader].Name, run.restartAfterElection(ctx, leader)
}
