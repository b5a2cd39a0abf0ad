package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hitchvale/internal/sysfault"
	"hitchvale/internal/tomlfile"
)

// Soak has troubles drawn from the seed, several of which overlap, instead of written faults: stops, reloads, restarts,
// drains, outages of discovery, broken links and, under the shim, failing system calls and a stepped wall clock.
type SoakScenario struct {
	Seeds         int      `toml:"seeds"`   // how many seeds are played one after another, from the scenario's on
	FirstFaultAt  Duration `toml:"quiet"`   // before the first trouble
	GroupInterval Duration `toml:"every"`   // from one bout of troubles to the next
	GroupSize     int      `toml:"bout"`    // troubles in a bout
	TracedShare   float64  `toml:"shimmed"` // the share of nodes that run under the shim
	// Upgrades has nodes replaced by a second process among the troubles, some of them again while the first still leaves.
	Upgrades bool `toml:"upgrades"`
	// Deadlines are those of the clients, of which each seed takes one; none: the load's.
	Deadlines []Duration `toml:"deadlines"`
	// LongClass is the deadline that the settings give one class in every third seed, whatever its clients wait; 0: none.
	ClaimDeadline Duration `toml:"long_class"`
	// Crowd is how many idle connections clients hold to each node in every fourth seed.
	IdleConnections int `toml:"crowd"`
}

// forSeed returns the scenario as the present seed plays it.
func (scenario Scenario) forSeed() Scenario {
	if n := len(scenario.Soak.Deadlines); n > 0 {
		scenario.Load.Deadline = scenario.Soak.Deadlines[scenario.Seed%uint64(n)]
	}
	if scenario.Seed%3 == 0 {
		scenario.claimDeadline = scenario.Soak.ClaimDeadline.Duration
	}
	if scenario.Seed%4 == 0 {
		scenario.idleConnections = scenario.Soak.IdleConnections
	}
	if scenario.Seed%2 == 1 {
		// which would put off each end of an old process until nobody is late
		scenario.Load.EarlyBeginShare, scenario.Load.ImproperPeers = 0, false
	}
	scenario.Faults = drawSoak(scenario)
	return scenario
}

// burstSpan is the time within which the troubles of a bout begin: all of them last longer.
const groupSpan = 300 * time.Millisecond

func (soak SoakScenario) check(scenario Scenario) error {
	switch {
	case scenario.Registries > 0 || scenario.Fleet != nil || scenario.Maintenance != nil || len(scenario.Faults) > 0:
		return tomlfile.Bad("soak",
			"a soak has the stand-in discovery and draws its faults: no registries, fleet, work or [[fault]]")
	case soak.Seeds < 1 || soak.Seeds > 100000:
		return tomlfile.Bad("soak.seeds", "%d is outside 1 to 100000", soak.Seeds)
	case soak.FirstFaultAt.Duration < time.Second:
		return tomlfile.Bad("soak.quiet", "%s is below 1s, before which no node may be told to read its configuration again",
			soak.FirstFaultAt)
	case soak.GroupInterval.Duration < groupSpan:
		return tomlfile.Bad("soak.every", "%s is below %s", soak.GroupInterval, groupSpan)
	case soak.GroupSize < 1 || soak.GroupSize > 8:
		return tomlfile.Bad("soak.bout", "%d is outside 1 to 8", soak.GroupSize)
	case soak.TracedShare < 0 || soak.TracedShare > 1:
		return tomlfile.Bad("soak.shimmed", "%g is outside 0 to 1", soak.TracedShare)
	case soak.IdleConnections < 0 || soak.IdleConnections > 10000:
		return tomlfile.Bad("soak.crowd", "%d is outside 0 to 10000", soak.IdleConnections)
	}
	for _, d := range soak.Deadlines {
		if d.Duration < 10*time.Millisecond {
			return tomlfile.Bad("soak.deadlines", "%s is below 10ms", d)
		}
	}
	return nil
}

// hasSystemCallFaults tells whether a node runs under the shim.
func (scenario Scenario) hasSystemCallFaults(node int) bool {
	return scenario.Soak != nil && float64(node) < scenario.Soak.TracedShare*float64(scenario.Nodes)
}

// faultDraw draws a soak's troubles. Everything is a function of the scenario and its seed.
type faultDraw struct {
	scenario Scenario
	rng      *rand.Rand
	faults   []Fault
}

// drawSoak returns the faults of a soak.
func drawSoak(s Scenario) []Fault {
	d := &faultDraw{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0x50a1))}
	// The last troubles end before the load does.
	last := s.Duration.Duration - s.Load.Deadline.Duration
	for at := s.Soak.FirstFaultAt.Duration; at < last; at += s.Soak.GroupInterval.Duration {
		// Troubles that meet at one node or backend are the ones that are rarely thought of together.
		node, backend := d.rng.IntN(s.Nodes), d.rng.IntN(s.Backends)
		for range s.Soak.GroupSize {
			if d.rng.IntN(2) == 0 {
				node, backend = d.rng.IntN(s.Nodes), d.rng.IntN(s.Backends)
			}
			d.drawFaultGroup(at+d.span(0, groupSpan), node, backend)
		}
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	return d.faults
}

// span draws a time between two.
func (draw *faultDraw) span(from, to time.Duration) time.Duration {
	return from + time.Duration(draw.rng.Float64()*float64(to-from))
}

func (draw *faultDraw) add(at time.Duration, kind, target string, change ...func(*Fault)) {
	f := Fault{At: Duration{Duration: at}, Kind: kind, Target: []string{target}}
	for _, c := range change {
		c(&f)
	}
	draw.faults = append(draw.faults, f)
}

// drawFaultGroup draws one trouble that begins at a time.
func (draw *faultDraw) drawFaultGroup(at time.Duration, i, j int) {
	node, backend := fmt.Sprintf("node-%d", i), fmt.Sprintf("backend-%d", j)
	lasting := func(from, to time.Duration) func(*Fault) {
		span := draw.span(from, to)
		return func(f *Fault) { f.For.Duration = span }
	}
	stopWithin := draw.scenario.killAfter()
	kinds := plainFaultGroups
	if draw.scenario.Soak.Upgrades {
		kinds += upgradeFaultGroups
	}
	switch kind := draw.rng.IntN(kinds); kind {
	default:
		draw.drawUpgradeFaults(kind-plainFaultGroups, at, node)
	case 0:
		draw.add(at, "term", node)
		draw.add(at+stopWithin, "restart", node)
	case 1: // a reload beside a stop
		draw.add(at, "hup", node)
		stop := at + draw.span(0, groupSpan)
		draw.add(stop, "term", node)
		draw.add(stop+stopWithin, "restart", node)
	case 2:
		draw.add(at, "term", node)
		draw.add(at+draw.span(0, groupSpan), "hup", node)
		draw.add(at+stopWithin, "restart", node)
	case 3:
		draw.add(at, "kill", node)
		draw.add(at+draw.span(300*time.Millisecond, time.Second), "restart", node)
	case 4:
		draw.add(at, "hup", node)
	case 5:
		draw.add(at, "drain", backend)
		draw.add(at+draw.span(1500*time.Millisecond, 3*time.Second), "rejoin", backend)
	case 6:
		draw.add(at, "kill", backend)
		draw.add(at+draw.span(500*time.Millisecond, 2*time.Second), "rejoin", backend)
	case 7:
		draw.add(at, "pause", backend, lasting(300*time.Millisecond, 2*time.Second))
	case 8:
		draw.add(at, "outage", "discovery", lasting(500*time.Millisecond, 3*time.Second))
	case 9:
		link := []string{node + ":backend-*", "node-*:" + backend}[draw.rng.IntN(2)]
		kind := []string{"partition", "delay", "reset"}[draw.rng.IntN(3)]
		delay := draw.span(20*time.Millisecond, 300*time.Millisecond)
		draw.add(at, kind, link, lasting(300*time.Millisecond, 1500*time.Millisecond),
			func(f *Fault) { f.Delay.Duration = delay })
	case 10:
		if draw.scenario.hasSystemCallFaults(i) {
			draw.add(at, "hup", node) // a traced process can't be held up by a signal
			return
		}
		draw.add(at, "hold", node, lasting(40*time.Millisecond, 120*time.Millisecond))
	}
}

// plainFaultGroups and upgradeFaultGroups are how many troubles there are of either sort.
const (
	plainFaultGroups   = 11
	upgradeFaultGroups = 7
)

// drawUpgradeFaults draws a trouble that replaces a node's process. Backends hang in half of them.
func (draw *faultDraw) drawUpgradeFaults(kind int, at time.Duration, node string) {
	if draw.rng.IntN(2) == 0 {
		from, span := at+draw.span(0, 800*time.Millisecond), draw.span(time.Second, 2500*time.Millisecond)
		for j := draw.rng.IntN(2); j < draw.scenario.Backends; j += 2 {
			draw.add(from, "pause", fmt.Sprintf("backend-%d", j), func(f *Fault) { f.For.Duration = span })
		}
	}
	draw.add(at, "upgrade", node)
	soon := min(at+draw.span(20*time.Millisecond, 1500*time.Millisecond), draw.scenario.Duration.Duration)
	switch kind {
	case 0: // a series
		draw.add(soon, "upgrade", node)
	case 1: // the successor ends, before the old process is told to end or after
		draw.add(soon, "kill", node)
		draw.add(soon+draw.span(500*time.Millisecond, 2*time.Second), "restart", node)
	case 2: // the successor is told to end
		draw.add(soon, "term", node)
		draw.add(soon+draw.scenario.killAfter(), "restart", node)
	case 3:
		draw.add(soon, "hup", node)
	case 4: // the successor is told twice
		draw.add(soon, "term", node)
		draw.add(min(soon+draw.span(50*time.Millisecond, 600*time.Millisecond), draw.scenario.Duration.Duration), "term",
			node)
		draw.add(soon+draw.scenario.killAfter(), "restart", node)
	default:
	}
}

// The earliest kill of a process that was told to end (PROTOCOL): the longest deadline, maxKillDeadline at most, and
// killGrace.
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// killAfter is how long after SIGTERM SIGKILL comes.
func (scenario Scenario) killAfter() time.Duration {
	return min(max(scenario.Load.Deadline.Duration, scenario.claimDeadline), maxKillDeadline) + killGrace
}

// drawSystemCallPlan draws what befalls the system calls of a node under the shim.
func drawSystemCallPlan(s Scenario, node int) sysfault.Plan {
	rng := rand.New(rand.NewPCG(s.Seed, 0x5419+uint64(node)))
	span := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Float64()*float64(to-from))
	}
	kinds := []sysfault.Kind{sysfault.Accept, sysfault.Accept, sysfault.Connect, sysfault.Interrupt, sysfault.Short,
		sysfault.Break, sysfault.Open, sysfault.Clock, sysfault.Clock}
	steps := []time.Duration{-time.Hour, time.Hour, -5 * time.Second, 5 * time.Second}
	var plan sysfault.Plan
	for range 2 + rng.IntN(4) {
		f := sysfault.Fault{Kind: kinds[rng.IntN(len(kinds))], From: span(s.Soak.FirstFaultAt.Duration, s.Duration.Duration)}
		if f.Kind == sysfault.Clock {
			f.Step = steps[rng.IntN(len(steps))]
		} else {
			f.For, f.Share = span(100*time.Millisecond, 2*time.Second), 0.05+0.45*rng.Float64()
		}
		plan = append(plan, f)
	}
	return plan
}

// seedResult is what seeds.jsonl holds of each seed.
type seedResult struct {
	Seed   uint64         `json:"seed"`
	Passed bool           `json:"passed"`
	Counts map[string]int `json:"counts"`
	// StarvedMs is the longest that a thread of a child waited for a processor within a tenth of a second; 0: nothing of
	// note.
	StarvedMs int64  `json:"starved_ms"`
	Error     string `json:"error,omitempty"`
}

// runSoak plays a soak's seeds, each in a folder of its own, and sums them up. A seed that could not be played ends the
// soak with an error.
func runSoak(ctx context.Context, s Scenario, opts Options) (Report, error) {
	if err := claimOutput(opts.Out); err != nil {
		return Report{}, err
	}
	lines, err := os.Create(filepath.Join(opts.Out, "seeds.jsonl"))
	if err != nil {
		return Report{}, fmt.Errorf("output: %w", err)
	}
	defer lines.Close()
	sum := Report{Scenario: s.Name, Passed: true, Counts: map[string]int{}, Starts: map[string]int{}}
	for range s.Soak.Seeds {
		one := opts
		one.Out = filepath.Join(opts.Out, fmt.Sprintf("seed-%d", s.Seed))
		r, err := runLoad(ctx, s.forSeed(), one)
		line := seedResult{Seed: s.Seed, Passed: r.Passed, Counts: r.Counts}
		for _, st := range r.Starved {
			line.StarvedMs = max(line.StarvedMs, st.For.Milliseconds())
		}
		if err != nil {
			line.Error, line.Passed = err.Error(), false
		}
		if werr := json.NewEncoder(lines).Encode(line); werr != nil {
			return sum, fmt.Errorf("output: %w", werr)
		}
		if err != nil {
			return sum, fmt.Errorf("seed %d: %w", s.Seed, err)
		}
		sum.addSeed(s.Seed, r)
		if r.Passed {
			os.RemoveAll(one.Out) // what a seed that passed has left would fill the disk
		}
		s.Seed++
	}
	return sum, sum.Write(opts.Out)
}

// join adds a seed's report to a sum.
func (r *Report) addSeed(seed uint64, one Report) {
	r.Passed = r.Passed && one.Passed
	r.Executions += one.Executions
	for kind, n := range one.Counts {
		r.Counts[kind] += n
	}
	for _, c := range one.Checks {
		i := slices.IndexFunc(r.Checks, func(have Check) bool { return have.Name == c.Name })
		if i < 0 {
			r.Checks = append(r.Checks, Check{Name: c.Name, OK: true, Reasons: map[string]int{}})
			i = len(r.Checks) - 1
		}
		have := &r.Checks[i]
		have.OK = have.OK && c.OK
		have.Violations += c.Violations
		have.Excused += c.Excused
		for reason, n := range c.Reasons {
			have.Reasons[reason] += n
		}
		for _, e := range c.Examples {
			if len(have.Examples) < maxExamples {
				have.Examples = append(have.Examples, fmt.Sprintf("seed %d: %s", seed, e))
			}
		}
	}
}

// logFaultMarkers are lines of a node's log that tell of a fault of the program.
var logFaultMarkers = []string{"invariant violated", "panic:", "fatal error:", "SIGSEGV", "hitchvale-node: "}

// checkNodeLogs looks for such lines.
func (run *loadRun) checkNodeLogs() Check {
	c := Check{Name: "no node breaks an invariant, panics or ends by itself"}
	for i := range run.scenario.Nodes {
		text, err := os.ReadFile(run.path("node-%d.log", i))
		if err != nil {
			c.add(err.Error())
			continue
		}
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(logFaultMarkers, func(t string) bool { return strings.Contains(line, t) }) {
				c.add(fmt.Sprintf("node-%d: %s", i, strings.TrimSpace(line)))
			}
		}
	}
	return c.done()
}
