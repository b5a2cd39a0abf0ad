package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// eventTimeout bounds the wait for something that must come about, on a busy machine too.
const eventTimeout = 30 * time.Second

// leaseName is the lease that a scenario's candidates want.
const leaseName = "duty"

// playedFault is one fault of a lease scenario: its kind, when it was applied (Unix ns) and the holder at that moment.
type playedFault struct {
	Kind   string `json:"kind"`
	At     int64  `json:"at"`
	Holder string `json:"holder"`
	Target string `json:"target"`
}

// leaseRun is the experiment of candidates for a lease.
type leaseRun struct {
	*cluster
	scenario Scenario
}

// run plays a lease scenario: the replicas, then the candidates, then Schedules faults one after another,
// each waited out (a successor holds, or the registry has a leader again) and undone before the next.
func (run *leaseRun) run(ctx context.Context) (Report, error) {
	if err := run.startRegistries(ctx, run.scenario.Registries); err != nil {
		return Report{}, err
	}
	if err := run.startCandidates(); err != nil {
		return Report{}, err
	}
	rng := rand.New(rand.NewPCG(run.scenario.Seed, 0xd07))
	run.start = time.Now()
	var plays []playedFault
	for n := range run.scenario.Lease.FaultCount {
		p, err := run.playFault(ctx, rng)
		if err != nil {
			return Report{}, fmt.Errorf("schedule %d (%s): %w", n, p.Kind, err)
		}
		plays = append(plays, p)
		run.recordFault(FaultMark{At: time.Duration(p.At - run.start.UnixNano()).Seconds(), Kind: p.Kind,
			Target: []string{p.Target}})
	}
	// room for the last fault's takeover to show in the logs
	sleepUntil(ctx, time.Now().Add(run.scenario.Lease.TTL.Duration+time.Second))
	var events []LeaseEvent
	for i, p := range run.processes["candidate"] {
		p.Stop(stopGrace)
		evs, err := readEvents(run.path("candidate-%d.events", i))
		if err != nil {
			return Report{}, err
		}
		events = append(events, evs...)
	}
	checks, fig := checkLeases(events, plays, run.scenario.Lease.TTL.Duration)
	r := Report{Scenario: run.scenario.Name, Passed: true, Checks: checks, Faults: run.faultMarks, Starts: run.starts(),
		Lease: &fig}
	for _, c := range checks {
		r.Passed = r.Passed && c.OK
	}
	return r, r.Write(run.opts.Out)
}

// startCandidates starts each candidate with a proxy of its own to every replica (candidate-i:registry-m).
func (run *leaseRun) startCandidates() error {
	d := run.scenario.Lease
	for i := range d.Candidates {
		name := fmt.Sprintf("candidate-%d", i)
		via, err := run.linkRegistries(name)
		if err != nil {
			return err
		}
		p := &Process{Name: name, env: os.Environ(), log: run.path("%s.log", name),
			argv: []string{run.opts.CommandBinary, "lab", "candidate", "--registry", strings.Join(via, ","), "--duty", leaseName,
				"--id", name, "--ttl", d.TTL.String(), "--work", d.WorkTime.String(),
				"--log", run.path("%s.events", name)}}
		if err := p.Start(run.spawner); err != nil {
			return err
		}
		run.processes["candidate"] = append(run.processes["candidate"], p)
	}
	return nil
}

// schedule draws one fault, applies it, waits for its effect and undoes it.
func (run *leaseRun) playFault(ctx context.Context, rng *rand.Rand) (playedFault, error) {
	d := run.scenario.Lease
	ttl := d.TTL.Duration
	holder, err := run.waitHolder(ctx, "", eventTimeout)
	if err != nil {
		return playedFault{}, err
	}
	i := holderIndex(holder)
	if i < 0 || i >= len(run.processes["candidate"]) {
		return playedFault{}, fmt.Errorf("holder %q is none of the candidates", holder)
	}
	p := run.processes["candidate"][i]
	// Somewhere in the holder's work, not always just after its grant.
	sleepUntil(ctx, time.Now().Add(time.Duration(rng.Int64N(int64(ttl/2)))))
	pl := playedFault{Kind: d.Kinds[rng.IntN(len(d.Kinds))], Holder: holder, Target: p.Name, At: time.Now().UnixNano()}
	settle := eventTimeout // far past the takeover bound, so that a miss shows in the check rather than here
	switch pl.Kind {
	case "kill", "term":
		sig := map[string]syscall.Signal{"kill": syscall.SIGKILL, "term": syscall.SIGTERM}[pl.Kind]
		exited := p.Exited()
		if err := p.Signal(sig); err != nil {
			return pl, err
		}
		run.waitHolder(ctx, holder, settle)
		<-exited
		return pl, p.Start(run.spawner)
	case "pause":
		// Past the TTL, so that a successor holds and then the paused holder wakes to write with its old token.
		pause := time.Duration(float64(ttl) * (1.5 + rng.Float64()))
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return pl, err
		}
		run.waitHolder(ctx, holder, settle)
		sleepUntil(ctx, time.Unix(0, pl.At).Add(pause))
		return pl, p.Signal(syscall.SIGCONT)
	case "both":
		// The holder stands still while the leader that would have expired it is killed: the next leader waits a full
		// TTL of its own, and only then may a successor hold; then the old holder wakes to write.
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return pl, err
		}
		_, err := run.killLeader(ctx, pl)
		run.waitHolder(ctx, holder, settle)
		return pl, errors.Join(err, p.Signal(syscall.SIGCONT))
	case "cut":
		links := run.matchLinks([]string{p.Name + ":registry-*"})
		for _, x := range links {
			x.Partition(true)
		}
		run.waitHolder(ctx, holder, settle)
		sleepUntil(ctx, time.Unix(0, pl.At).Add(2*ttl))
		for _, x := range links {
			x.Partition(false)
		}
		return pl, nil
	}
	return run.killLeader(ctx, pl)
}

// killLeader kills the registry's leader, waits for the next, and starts the old one again on its data.
func (run *leaseRun) killLeader(ctx context.Context, pl playedFault) (playedFault, error) {
	lead := run.leaderIndex(ctx)
	if lead < 0 {
		return pl, errors.New("no leader to kill")
	}
	pl.Target = run.processes["registry"][lead].Name
	return pl, run.restartAfterElection(ctx, lead)
}

// restartAfterElection kills a replica, waits for a leader among the others, and starts it again on its data.
func (cluster *cluster) restartAfterElection(ctx context.Context, m int) error {
	p := cluster.processes["registry"][m]
	p.Kill()
	if err := cluster.waitLeader(ctx); err != nil {
		return err
	}
	if err := p.Start(cluster.spawner); err != nil {
		return err
	}
	return waitReady(ctx, p, cluster.registryAddr[m], "/registry/status")
}

// leaderIndex is the replica that says it leads, waiting for one; -1 after 20 s.
func (cluster *cluster) leaderIndex(ctx context.Context) int {
	if cluster.waitLeader(ctx) != nil {
		return -1
	}
	for i, addr := range cluster.registryAddr {
		var st struct {
			State string `json:"state"`
		}
		if cluster.registryCall(ctx, http.MethodGet, addr, "/registry/status", nil, &st) == nil && st.State == "Leader" {
			return i
		}
	}
	return -1
}

// waitHolder waits, for at most limit, until the duty's lease is held by someone other than not, and gives the
// holder ("" and an error where none came).
func (run *leaseRun) waitHolder(ctx context.Context, not string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		for _, addr := range run.registryAddr {
			var ans struct {
				Leases []struct {
					Name   string
					Holder string
				} `json:"leases"`
			}
			if run.registryCall(ctx, http.MethodGet, addr, "/registry/leases", nil, &ans) != nil {
				continue
			}
			for _, x := range ans.Leases {
				if x.Name == leaseName && x.Holder != not {
					return x.Holder, nil
				}
			}
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no holder other than %q within %s", not, limit)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}

// holderIndex reads N from a holder id candidate-N.PID; -1 where it is not one.
func holderIndex(holder string) int {
	var i, pid int
	if _, err := fmt.Sscanf(holder, "candidate-%d.%d", &i, &pid); err != nil {
		return -1
	}
	return i
}

// readEvents reads a candidate's log; a killed candidate may leave its last line half written, which is skipped,
// while a bad line before the last is damage and an error that names it.
func readEvents(path string) ([]LeaseEvent, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	var out []LeaseEvent
	for n, line := range lines {
		var e LeaseEvent
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			if n == len(lines)-1 {
				break
			}
			return nil, fmt.Errorf("%s:%d: %w", path, n+1, err)
		}
		out = append(out, e)
	}
	return out, nil
}
