package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hitchvale/internal/fleet"
	"hitchvale/internal/timeline"
	"hitchvale/internal/tomlfile"
)

// Fleet makes a scenario one of the fleet's shared view: nodes with a part in it, over Sites, that report each
// Interval, while Schedules faults are drawn from Kinds (kill, pause, cut, leader, split, both), each waited out until
// every node is fresh in every node's view again.
type Fleet struct {
	Interval  Duration `toml:"interval"`
	Sites     int      `toml:"sites"`
	Schedules int      `toml:"schedules"`
	Kinds     []string `toml:"kinds"`
}

var fleetKinds = []string{"kill", "pause", "cut", "leader", "split", "both"}

func (f Fleet) check(s Scenario) error {
	switch {
	case s.Registries < 1:
		return tomlfile.Bad("registries", "a fleet needs at least 1 registry replica")
	case f.Interval.Duration < 50*time.Millisecond || f.Interval.Duration > time.Minute:
		return tomlfile.Bad("fleet.interval", "%s is outside 50ms to 1m", f.Interval)
	case f.Sites < 1 || f.Sites > 64:
		return tomlfile.Bad("fleet.sites", "%d is outside 1 to 64", f.Sites)
	case f.Schedules < 0 || f.Schedules > 100000:
		return tomlfile.Bad("fleet.schedules", "%d is outside 0 to 100000", f.Schedules)
	case f.Schedules > 0 && len(f.Kinds) == 0:
		return tomlfile.Bad("fleet.kinds", "none named")
	case len(s.Faults) > 0:
		return tomlfile.Bad("fault", "a fleet's faults are drawn: name their kinds in fleet.kinds")
	}
	for _, k := range f.Kinds {
		if !slices.Contains(fleetKinds, k) {
			return tomlfile.Bad("fleet.kinds", "%q is not one of %s", k, strings.Join(fleetKinds, ", "))
		}
	}
	return nil
}

// fleetRun is the experiment: real nodes and replicas, faults drawn between them, and what every reader of the view
// sees, taken down as it goes.
type fleetRun struct {
	*loadRun

	watchMu sync.Mutex
	last    map[string]fleet.ViewVersion // by reader: the last view
	texts   map[fleet.ViewVersion]string // what a view held, whoever read it
	shared  Check                        // one text under one stamp
	forward Check                        // no reader goes back
}

// followInterval is the time between two looks at a reader of the view.
const followInterval = 20 * time.Millisecond

func (l *fleetRun) run(ctx context.Context) (Report, error) {
	l.drained, l.last, l.texts = map[string]time.Time{}, map[string]fleet.ViewVersion{}, map[fleet.ViewVersion]string{}
	l.shared, l.forward = Check{Name: "a view is the same for all its readers"}, Check{Name: "no reader's view goes back"}
	if err := l.setUp(ctx); err != nil {
		return Report{}, err
	}
	l.start = time.Now()
	watch, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for i := range l.s.Nodes {
		watchers.Go(func() { l.follow(watch, fmt.Sprintf("node-%d", i), func() error { return l.lookNode(watch, i) }) })
	}
	for m := range l.registryAddr {
		watchers.Go(func() { l.follow(watch, fmt.Sprintf("registry-%d", m), func() error { return l.lookView(watch, m) }) })
	}
	err := l.playAll(ctx)
	stop()
	watchers.Wait()
	return l.report(err)
}

// playAll draws and plays the schedules; its error names the one that the fleet did not come back from.
func (l *fleetRun) playAll(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(l.s.Seed, 0xf1ee7))
	if err := l.settle(ctx); err != nil {
		return fmt.Errorf("at the start: %w", err)
	}
	for n := range l.s.Fleet.Schedules {
		kind := l.s.Fleet.Kinds[rng.IntN(len(l.s.Fleet.Kinds))]
		if err := l.schedule(ctx, rng, kind); err != nil {
			return fmt.Errorf("schedule %d (%s): %w", n, kind, err)
		}
		if err := l.settle(ctx); err != nil {
			return fmt.Errorf("after schedule %d (%s): %w", n, kind, err)
		}
	}
	return nil
}

// schedule plays one fault, or two at once, and undoes it.
func (l *fleetRun) schedule(ctx context.Context, rng *rand.Rand, kind string) error {
	interval := l.s.Fleet.Interval.Duration
	long := time.Duration(float64(interval) * (1 + 9*rng.Float64())) // shorter and longer than a session's five intervals
	i := rng.IntN(l.s.Nodes)
	node := l.procs["node"][i]
	switch kind {
	case "kill":
		l.noteFault("kill", node.Name)
		node.Kill()
		sleepUntil(ctx, time.Now().Add(long/4))
		return node.Start(l.spawn)
	case "pause":
		l.noteFault("pause", node.Name)
		node.Signal(syscall.SIGSTOP)
		sleepUntil(ctx, time.Now().Add(long))
		l.recordEvent(timeline.Faults, "go on %s", node.Name)
		return node.Signal(syscall.SIGCONT)
	case "cut":
		return l.partition(ctx, long, node.Name+":registry-*")
	case "leader":
		return l.killLeader(ctx)
	case "split":
		lead := l.leaderIndex(ctx)
		if lead < 0 {
			return errors.New("no leader to cut off")
		}
		return l.partition(ctx, long, fmt.Sprintf("registry-%d:registry-*", lead),
			fmt.Sprintf("registry-*:registry-%d", lead))
	}
	// both: a node stands still while the registry's leader goes
	l.noteFault("pause", node.Name)
	node.Signal(syscall.SIGSTOP)
	err := l.killLeader(ctx)
	sleepUntil(ctx, time.Now().Add(long/2))
	l.recordEvent(timeline.Faults, "go on %s", node.Name)
	return errors.Join(err, node.Signal(syscall.SIGCONT))
}

// partition cuts links for a while.
func (l *fleetRun) partition(ctx context.Context, long time.Duration, targets ...string) error {
	links := l.matchLinks(targets)
	if len(links) == 0 {
		return fmt.Errorf("no link matches %v", targets)
	}
	l.noteFault("cut", targets...)
	for _, p := range links {
		p.Partition(true)
	}
	sleepUntil(ctx, time.Now().Add(long))
	for _, p := range links {
		p.Partition(false)
	}
	l.recordEvent(timeline.Faults, "heal %s", targets[0])
	return nil
}

// killLeader kills the registry's leader and starts it again on its data once another leads.
func (l *fleetRun) killLeader(ctx context.Context) error {
	lead := l.leaderIndex(ctx)
	if lead < 0 {
		return errors.New("no leader to kill")
	}
	l.noteFault("kill", l.procs["registry"][lead].Name)
	return l.restartAfterElection(ctx, lead)
}

// settle waits until every node's view has every node fresh.
func (l *fleetRun) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	for i := 0; i < l.s.Nodes; {
		s, err := l.status(ctx, i)
		if err == nil && s.Nodes == l.s.Nodes && s.Fresh == s.Nodes && !s.Superseded {
			i++
			continue
		}
		if ctx.Err() != nil {
			return fmt.Errorf("node-%d has not all nodes fresh in its view: %+v, %v", i, s, err)
		}
		sleepUntil(ctx, time.Now().Add(followInterval))
	}
	l.recordEvent(timeline.Faults, "all fresh")
	return nil
}

func (l *fleetRun) status(ctx context.Context, i int) (s fleet.AgentStatus, err error) {
	return s, l.registryCall(ctx, http.MethodGet, l.adminAddr[i], "/admin/fleet", nil, &s)
}

// follow looks again and again until ctx ends; a look that fails says so in the reader's column.
func (l *fleetRun) follow(ctx context.Context, who string, look func() error) {
	for ctx.Err() == nil {
		if err := look(); err != nil && ctx.Err() == nil {
			l.recordChange(who, "no answer")
		}
		sleepUntil(ctx, time.Now().Add(followInterval))
	}
}

// lookNode takes down how a node's agent stands.
func (l *fleetRun) lookNode(ctx context.Context, i int) error {
	starts := l.procs["node"][i].starts()
	s, err := l.status(ctx, i)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("term %d, %d of %d fresh", s.Version.Term, s.Fresh, s.Nodes)
	if s.Superseded {
		text = "superseded"
	}
	l.recordChange(fmt.Sprintf("node-%d", i), text)
	if l.procs["node"][i].starts() == starts { // else it may be the word of the process before
		l.read(fmt.Sprintf("node-%d, start %d", i, starts), s.Version, "")
	}
	return nil
}

// lookView takes down the view as a replica gives it: the leader's own or, forwarded, the leader's.
func (l *fleetRun) lookView(ctx context.Context, m int) error {
	var text json.RawMessage
	if err := l.registryCall(ctx, http.MethodGet, l.registryAddr[m], "/registry/fleet/view", nil, &text); err != nil {
		return err
	}
	var v fleet.View
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	l.recordChange(fmt.Sprintf("registry-%d", m), fmt.Sprintf("view of term %d", v.Term))
	l.read("", v.ViewVersion, string(text))
	return nil
}

// read holds a view against what was read before: by the reader named, and by anyone under its stamp.
func (l *fleetRun) read(who string, s fleet.ViewVersion, text string) {
	l.watchMu.Lock()
	defer l.watchMu.Unlock()
	if who != "" {
		if s.Before(l.last[who]) {
			l.forward.add(fmt.Sprintf("%s went from %v to %v", who, l.last[who], s))
		}
		l.last[who] = s
	}
	if text == "" {
		return
	}
	if was, ok := l.texts[s]; ok && was != text {
		l.shared.add(fmt.Sprintf("two views under %v", s))
	}
	l.texts[s] = text
}

// report writes what was found: the checks, and the timeline.
func (l *fleetRun) report(err error) (Report, error) {
	settled := Check{Name: "every node is fresh in every view again after each fault"}
	if err != nil {
		settled.add(err.Error())
	}
	r := Report{Scenario: l.s.Name, Passed: true, Faults: l.faultMarks, Starts: l.starts(),
		Checks: []Check{l.shared.done(), l.forward.done(), settled.done()}}
	for _, c := range r.Checks {
		r.Passed = r.Passed && c.OK
	}
	var columns []string
	for i := range l.s.Nodes {
		columns = append(columns, fmt.Sprintf("node-%d", i))
	}
	if r.Timeline, err = l.drawTimeline(columns); err != nil {
		return r, err
	}
	return r, r.Write(l.opts.Out)
}
