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
	// leaseName is the name of the lease that the candidates compete for.
	leaseName = "duty"
	// leaseFaultStream is the random stream of a lease run's faults. It keeps their draws independent of other draws from
	// the same seed.
	leaseFaultStream = 0xd07
	// holderPollInterval is the time between two polls of the registry for the lease's holder.
	holderPollInterval = 5 * time.Millisecond
)

// leaseRun is a run in which candidates compete for a lease while faults are injected.
type leaseRun struct {
	*cluster
	scenario Scenario
}

// run starts the replicas and the candidates, injects the faults, ends the candidates and checks their logs.
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
	// This wait is long enough for the last fault's takeover to be in the logs.
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

// startCandidates starts the candidates, each with its own proxy to every replica (candidate-N:registry-M).
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
		process := &Process{Name: name, env: os.Environ(), logPath: run.path("%s.log", name), argv: argv}
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
		candidateEvents, err := readEvents(run.path("candidate-%d.events", i))
		if err != nil {
			return nil, err
		}
		events = append(events, candidateEvents...)
	}
	return events, nil
}

// waitHolder waits until a holder other than except has the lease, and returns that holder. After timeout it returns an
// error.
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
			return "", fmt.Errorf("the lease has no holder other than %q within %s", except, timeout)
		case <-time.After(holderPollInterval):
		}
	}
}

// holderAt returns the lease's holder according to one replica. It returns false if the lease has no holder there or
// the replica does not answer.
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

// sleepUntil waits until t or until ctx ends.
func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}

// candidateIndex returns N of a holder's id candidate-N.PID, or -1 if the id has another form.
func candidateIndex(holder string) int {
	var index, pid int
	if _, err := fmt.Sscanf(holder, "candidate-%d.%d", &index, &pid); err != nil {
		return -1
	}
	return index
}
