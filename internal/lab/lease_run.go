package lab

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// leaseName is the lease that the candidates compete for.
	leaseName = "duty"
	// leaseFaultStream sets the draws of a lease run's faults apart from others of the same seed.
	leaseFaultStream = 0xd07
	// holderPollInterval is how often the registry is polled for the lease's holder.
	holderPollInterval = 5 * time.Millisecond
)

// leaseRun is the experiment of candidates for a lease.
type leaseRun struct {
	*cluster
	scenario Scenario
}

// run starts the replicas and the candidates, plays the faults, ends the candidates and checks their logs.
func (run *leaseRun) run(ctx context.Context) (Report, error) {
	if err := run.startRegistries(ctx, run.scenario.Registries); err != nil {
		return Report{}, err
	}
	if err := run.startCandidates(); err != nil {
		return Report{}, err
	}
	faults, err := run.injectFaults(ctx)
	if err != nil {
		return Report{}, err
	}
	// The last fault's takeover has to be in the logs.
	sleepUntil(ctx, time.Now().Add(run.scenario.Lease.TTL.Duration+takeoverGrace))
	events, err := run.stopCandidates()
	if err != nil {
		return Report{}, err
	}
	checks, figures := checkLeases(events, faults, run.scenario.Lease.TTL.Duration)
	report := Report{Scenario: run.scenario.Name, Passed: true, Checks: checks, Faults: run.injectedFaults,
		Starts: run.starts(), Lease: &figures}
	for _, check := range checks {
		report.Passed = report.Passed && check.OK
	}
	return report, report.Write(run.opts.Out)
}

// startCandidates starts each candidate with a proxy of its own to every replica (candidate-N:registry-M).
func (run *leaseRun) startCandidates() error {
	config := run.scenario.Lease
	for i := range config.Candidates {
		name := processName(roleCandidate, i)
		replicas, err := run.linkRegistries(name)
		if err != nil {
			return err
		}
		argv := []string{run.opts.CommandBinary, "lab", "candidate",
			"--registry", strings.Join(replicas, ","),
			"--duty", leaseName,
			"--id", name,
			"--ttl", config.TTL.String(),
			"--work", config.WorkTime.String(),
			"--log", run.path("%s.events", name)}
		process := &Process{Name: name, env: os.Environ(), log: run.path("%s.log", name), argv: argv}
		if err := process.Start(run.spawner); err != nil {
			return err
		}
		run.processes[roleCandidate] = append(run.processes[roleCandidate], process)
	}
	return nil
}

// stopCandidates ends the candidates and reads their logs.
func (run *leaseRun) stopCandidates() ([]LeaseEvent, error) {
	var events []LeaseEvent
	for i, process := range run.processes[roleCandidate] {
		process.Stop(stopGrace)
		ofCandidate, err := readEvents(run.path("candidate-%d.events", i))
		if err != nil {
			return nil, err
		}
		events = append(events, ofCandidate...)
	}
	return events, nil
}

// waitHolder waits until the lease is held by someone other than except, and returns that holder; "" and an error
// after timeout.
func (run *leaseRun) waitHolder(ctx context.Context, except string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		for _, addr := range run.registryAddr {
			if holder, ok := run.holderAt(ctx, addr); ok && holder != except {
				return holder, nil
			}
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no holder other than %q within %s", except, timeout)
		case <-time.After(holderPollInterval):
		}
	}
}

// holderAt is the lease's holder as a replica has it; false where it has none or does not answer.
func (run *leaseRun) holderAt(ctx context.Context, addr string) (holder string, ok bool) {
	var list struct {
		Leases []struct {
			Name   string
			Holder string
		} `json:"leases"`
	}
	if run.registryCall(ctx, http.MethodGet, addr, "/registry/leases", nil, &list) != nil {
		return "", false
	}
	for _, held := range list.Leases {
		if held.Name == leaseName {
			return held.Holder, true
		}
	}
	return "", false
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}

// candidateIndex reads N from a holder's id, candidate-N.PID; -1 where it is not one.
func candidateIndex(holder string) int {
	var index, pid int
	if _, err := fmt.Sscanf(holder, "candidate-%d.%d", &index, &pid); err != nil {
		return -1
	}
	return index
}
