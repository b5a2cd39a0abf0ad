package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hitchvale/internal/fleet"
	"hitchvale/internal/timeline"
)

// fleetRun is the experiment: real nodes and replicas, faults drawn between them, and what every reader of the view
// sees, taken down as it goes.
type fleetRun struct {
	*loadRun

	viewsMu        sync.Mutex
	lastVersion    map[string]fleet.ViewVersion // by reader: the last view
	viewTexts      map[fleet.ViewVersion]string // what a view held, whoever read it
	sameViewCheck  Check                        // one text under one stamp
	monotonicCheck Check                        // no reader goes back
}

// followInterval is the time between two looks at a reader of the view.
const readerPollInterval = 20 * time.Millisecond

func (run *fleetRun) run(ctx context.Context) (Report, error) {
	run.drained = map[string]time.Time{}
	run.lastVersion = map[string]fleet.ViewVersion{}
	run.viewTexts = map[fleet.ViewVersion]string{}
	run.sameViewCheck = Check{Name: "a view is the same for all its readers"}
	run.monotonicCheck = Check{Name: "no reader's view goes back"}
	if err := run.setUp(ctx); err != nil {
		return Report{}, err
	}
	run.start = time.Now()
	watch, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for i := range run.scenario.Nodes {
		watchers.Go(func() {
			run.pollReader(watch, fmt.Sprintf("node-%d", i), func() error { return run.sampleNode(watch, i) })
		})
	}
	for m := range run.registryAddr {
		watchers.Go(func() {
			run.pollReader(watch, fmt.Sprintf("registry-%d", m), func() error { return run.sampleView(watch, m) })
		})
	}
	err := run.playFaults(ctx)
	stop()
	watchers.Wait()
	return run.report(err)
}

// playAll draws and plays the schedules; its error names the one that the fleet did not come back from.
func (run *fleetRun) playFaults(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(run.scenario.Seed, 0xf1ee7))
	if err := run.awaitAllFresh(ctx); err != nil {
		return fmt.Errorf("at the start: %w", err)
	}
	for n := range run.scenario.Fleet.FaultCount {
		kind := run.scenario.Fleet.Kinds[rng.IntN(len(run.scenario.Fleet.Kinds))]
		if err := run.playFault(ctx, rng, kind); err != nil {
			return fmt.Errorf("schedule %d (%s): %w", n, kind, err)
		}
		if err := run.awaitAllFresh(ctx); err != nil {
			return fmt.Errorf("after schedule %d (%s): %w", n, kind, err)
		}
	}
	return nil
}

// schedule plays one fault, or two at once, and undoes it.
func (run *fleetRun) playFault(ctx context.Context, rng *rand.Rand, kind string) error {
	interval := run.scenario.Fleet.Interval.Duration
	long := time.Duration(float64(interval) * (1 + 9*rng.Float64())) // shorter and longer than a session's five intervals
	i := rng.IntN(run.scenario.Nodes)
	node := run.processes["node"][i]
	switch kind {
	case "kill":
		run.noteFault("kill", node.Name)
		node.Kill()
		sleepUntil(ctx, time.Now().Add(long/4))
		return node.Start(run.spawner)
	case "pause":
		run.noteFault("pause", node.Name)
		node.Signal(syscall.SIGSTOP)
		sleepUntil(ctx, time.Now().Add(long))
		run.recordEvent(timeline.Faults, "go on %s", node.Name)
		return node.Signal(syscall.SIGCONT)
	case "cut":
		return run.partition(ctx, long, node.Name+":registry-*")
	case "leader":
		return run.killLeader(ctx)
	case "split":
		lead := run.leaderIndex(ctx)
		if lead < 0 {
			return errors.New("no leader to cut off")
		}
		return run.partition(ctx, long, fmt.Sprintf("registry-%d:registry-*", lead),
			fmt.Sprintf("registry-*:registry-%d", lead))
	}
	// both: a node stands still while the registry's leader goes
	run.noteFault("pause", node.Name)
	node.Signal(syscall.SIGSTOP)
	err := run.killLeader(ctx)
	sleepUntil(ctx, time.Now().Add(long/2))
	run.recordEvent(timeline.Faults, "go on %s", node.Name)
	return errors.Join(err, node.Signal(syscall.SIGCONT))
}

// partition cuts links for a while.
func (run *fleetRun) partition(ctx context.Context, long time.Duration, targets ...string) error {
	links := run.matchLinks(targets)
	if len(links) == 0 {
		return fmt.Errorf("no link matches %v", targets)
	}
	run.noteFault("cut", targets...)
	for _, p := range links {
		p.Partition(true)
	}
	sleepUntil(ctx, time.Now().Add(long))
	for _, p := range links {
		p.Partition(false)
	}
	run.recordEvent(timeline.Faults, "heal %s", targets[0])
	return nil
}

// killLeader kills the registry's leader and starts it again on its data once another leads.
func (run *fleetRun) killLeader(ctx context.Context) error {
	lead := run.leaderIndex(ctx)
	if lead < 0 {
		return errors.New("no leader to kill")
	}
	run.noteFault("kill", run.processes["registry"][lead].Name)
	return run.restartAfterElection(ctx, lead)
}

// settle waits until every node's view has every node fresh.
func (run *fleetRun) awaitAllFresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	for i := 0; i < run.scenario.Nodes; {
		s, err := run.status(ctx, i)
		if err == nil && s.Nodes == run.scenario.Nodes && s.Fresh == s.Nodes && !s.Superseded {
			i++
			continue
		}
		if ctx.Err() != nil {
			return fmt.Errorf("node-%d has not all nodes fresh in its view: %+v, %v", i, s, err)
		}
		sleepUntil(ctx, time.Now().Add(readerPollInterval))
	}
	run.recordEvent(timeline.Faults, "all fresh")
	return nil
}

func (run *fleetRun) status(ctx context.Context, i int) (s fleet.AgentStatus, err error) {
	return s, run.registryCall(ctx, http.MethodGet, run.adminAddr[i], "/admin/fleet", nil, &s)
}

// follow looks again and again until ctx ends; a look that fails says so in the reader's column.
func (run *fleetRun) pollReader(ctx context.Context, who string, look func() error) {
	for ctx.Err() == nil {
		if err := look(); err != nil && ctx.Err() == nil {
			run.recordChange(who, "no answer")
		}
		sleepUntil(ctx, time.Now().Add(readerPollInterval))
	}
}

// lookNode takes down how a node's agent stands.
func (run *fleetRun) sampleNode(ctx context.Context, i int) error {
	starts := run.processes["node"][i].starts()
	s, err := run.status(ctx, i)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("term %d, %d of %d fresh", s.Version.Term, s.Fresh, s.Nodes)
	if s.Superseded {
		text = "superseded"
	}
	run.recordChange(fmt.Sprintf("node-%d", i), text)
	if run.processes["node"][i].starts() == starts { // else it may be the word of the process before
		run.recordView(fmt.Sprintf("node-%d, start %d", i, starts), s.Version, "")
	}
	return nil
}

// lookView takes down the view as a replica gives it: the leader's own or, forwarded, the leader's.
func (run *fleetRun) sampleView(ctx context.Context, m int) error {
	var text json.RawMessage
	if err := run.registryCall(ctx, http.MethodGet, run.registryAddr[m], "/registry/fleet/view", nil, &text); err != nil {
		return err
	}
	var v fleet.View
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	run.recordChange(fmt.Sprintf("registry-%d", m), fmt.Sprintf("view of term %d", v.Term))
	run.recordView("", v.ViewVersion, string(text))
	return nil
}

// read holds a view against what was read before: by the reader named, and by anyone under its stamp.
func (run *fleetRun) recordView(who string, s fleet.ViewVersion, text string) {
	run.viewsMu.Lock()
	defer run.viewsMu.Unlock()
	if who != "" {
		if s.Before(run.lastVersion[who]) {
			run.monotonicCheck.add(fmt.Sprintf("%s went from %v to %v", who, run.lastVersion[who], s))
		}
		run.lastVersion[who] = s
	}
	if text == "" {
		return
	}
	if was, ok := run.viewTexts[s]; ok && was != text {
		run.sameViewCheck.add(fmt.Sprintf("two views under %v", s))
	}
	run.viewTexts[s] = text
}

// report writes what was found: the checks, and the timeline.
func (run *fleetRun) report(err error) (Report, error) {
	settled := Check{Name: "every node is fresh in every view again after each fault"}
	if err != nil {
		settled.add(err.Error())
	}
	r := Report{Scenario: run.scenario.Name, Passed: true, Faults: run.faultMarks, Starts: run.starts(),
		Checks: []Check{run.sameViewCheck.done(), run.monotonicCheck.done(), settled.done()}}
	for _, c := range r.Checks {
		r.Passed = r.Passed && c.OK
	}
	var columns []string
	for i := range run.scenario.Nodes {
		columns = append(columns, fmt.Sprintf("node-%d", i))
	}
	if r.Timeline, err = run.drawTimeline(columns); err != nil {
		return r, err
	}
	return r, r.Write(run.opts.Out)
}
