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
type Soak struct {
	Seeds   int      `toml:"seeds"`   // how many seeds are played one after another, from the scenario's on
	Quiet   Duration `toml:"quiet"`   // before the first trouble
	Every   Duration `toml:"every"`   // from one bout of troubles to the next
	Bout    int      `toml:"bout"`    // troubles in a bout
	Shimmed float64  `toml:"shimmed"` // the share of nodes that run under the shim
	// Upgrades has nodes replaced by a second process among the troubles, some of them again while the first still leaves.
	Upgrades bool `toml:"upgrades"`
	// Deadlines are those of the clients, of which each seed takes one; none: the load's.
	Deadlines []Duration `toml:"deadlines"`
	// LongClass is the deadline that the settings give one class in every third seed, whatever its clients wait; 0: none.
	LongClass Duration `toml:"long_class"`
	// Crowd is how many idle connections clients hold to each node in every fourth seed.
	Crowd int `toml:"crowd"`
}

// forSeed returns the scenario as the present seed plays it.
func (s Scenario) forSeed() Scenario {
	if n := len(s.Soak.Deadlines); n > 0 {
		s.Load.Deadline = s.Soak.Deadlines[s.Seed%uint64(n)]
	}
	if s.Seed%3 == 0 {
		s.longClass = s.Soak.LongClass.Duration
	}
	if s.Seed%4 == 0 {
		s.crowd = s.Soak.Crowd
	}
	if s.Seed%2 == 1 {
		s.Load.Begun, s.Load.Improper = 0, false // which would put off each end of an old process until nobody is late
	}
	s.Faults = drawSoak(s)
	return s
}

// burstSpan is the time within which the troubles of a bout begin: all of them last longer.
const burstSpan = 300 * time.Millisecond

func (s Soak) check(sc Scenario) error {
	switch {
	case sc.Registries > 0 || sc.Fleet != nil || sc.Work != nil || len(sc.Faults) > 0:
		return tomlfile.Bad("soak",
			"a soak has the stand-in discovery and draws its faults: no registries, fleet, work or [[fault]]")
	case s.Seeds < 1 || s.Seeds > 100000:
		return tomlfile.Bad("soak.seeds", "%d is outside 1 to 100000", s.Seeds)
	case s.Quiet.Duration < time.Second:
		return tomlfile.Bad("soak.quiet", "%s is below 1s, before which no node may be told to read its configuration again",
			s.Quiet)
	case s.Every.Duration < burstSpan:
		return tomlfile.Bad("soak.every", "%s is below %s", s.Every, burstSpan)
	case s.Bout < 1 || s.Bout > 8:
		return tomlfile.Bad("soak.bout", "%d is outside 1 to 8", s.Bout)
	case s.Shimmed < 0 || s.Shimmed > 1:
		return tomlfile.Bad("soak.shimmed", "%g is outside 0 to 1", s.Shimmed)
	case s.Crowd < 0 || s.Crowd > 10000:
		return tomlfile.Bad("soak.crowd", "%d is outside 0 to 10000", s.Crowd)
	}
	for _, d := range s.Deadlines {
		if d.Duration < 10*time.Millisecond {
			return tomlfile.Bad("soak.deadlines", "%s is below 10ms", d)
		}
	}
	return nil
}

// hasSystemCallFaults tells whether a node runs under the shim.
func (s Scenario) hasSystemCallFaults(node int) bool {
	return s.Soak != nil && float64(node) < s.Soak.Shimmed*float64(s.Nodes)
}

// faultDraw draws a soak's troubles. Everything is a function of the scenario and its seed.
type faultDraw struct {
	s   Scenario
	rng *rand.Rand
	out []Fault
}

// drawSoak returns the faults of a soak.
func drawSoak(s Scenario) []Fault {
	d := &faultDraw{s: s, rng: rand.New(rand.NewPCG(s.Seed, 0x50a1))}
	// The last troubles end before the load does.
	last := s.Duration.Duration - s.Load.Deadline.Duration
	for at := s.Soak.Quiet.Duration; at < last; at += s.Soak.Every.Duration {
		// Troubles that meet at one node or backend are the ones that are rarely thought of together.
		node, backend := d.rng.IntN(s.Nodes), d.rng.IntN(s.Backends)
		for range s.Soak.Bout {
			if d.rng.IntN(2) == 0 {
				node, backend = d.rng.IntN(s.Nodes), d.rng.IntN(s.Backends)
			}
			d.drawFaultGroup(at+d.span(0, burstSpan), node, backend)
		}
	}
	slices.SortStableFunc(d.out, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	return d.out
}

// span draws a time between two.
func (d *faultDraw) span(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Float64()*float64(to-from))
}

func (d *faultDraw) add(at time.Duration, kind, target string, change ...func(*Fault)) {
	f := Fault{At: Duration{Duration: at}, Kind: kind, Target: []string{target}}
	for _, c := range change {
		c(&f)
	}
	d.out = append(d.out, f)
}

// drawFaultGroup draws one trouble that begins at a time.
func (d *faultDraw) drawFaultGroup(at time.Duration, i, j int) {
	node, backend := fmt.Sprintf("node-%d", i), fmt.Sprintf("backend-%d", j)
	lasting := func(from, to time.Duration) func(*Fault) {
		span := d.span(from, to)
		return func(f *Fault) { f.For.Duration = span }
	}
	stopWithin := d.s.killAfter()
	kinds := plainFaultGroups
	if d.s.Soak.Upgrades {
		kinds += upgradeFaultGroups
	}
	switch kind := d.rng.IntN(kinds); kind {
	default:
		d.drawUpgradeFaults(kind-plainFaultGroups, at, node)
	case 0:
		d.add(at, "term", node)
		d.add(at+stopWithin, "restart", node)
	case 1: // a reload beside a stop
		d.add(at, "hup", node)
		stop := at + d.span(0, burstSpan)
		d.add(stop, "term", node)
		d.add(stop+stopWithin, "restart", node)
	case 2:
		d.add(at, "term", node)
		d.add(at+d.span(0, burstSpan), "hup", node)
		d.add(at+stopWithin, "restart", node)
	case 3:
		d.add(at, "kill", node)
		d.add(at+d.span(300*time.Millisecond, time.Second), "restart", node)
	case 4:
		d.add(at, "hup", node)
	case 5:
		d.add(at, "drain", backend)
		d.add(at+d.span(1500*time.Millisecond, 3*time.Second), "rejoin", backend)
	case 6:
		d.add(at, "kill", backend)
		d.add(at+d.span(500*time.Millisecond, 2*time.Second), "rejoin", backend)
	case 7:
		d.add(at, "pause", backend, lasting(300*time.Millisecond, 2*time.Second))
	case 8:
		d.add(at, "outage", "discovery", lasting(500*time.Millisecond, 3*time.Second))
	case 9:
		link := []string{node + ":backend-*", "node-*:" + backend}[d.rng.IntN(2)]
		kind := []string{"partition", "delay", "reset"}[d.rng.IntN(3)]
		delay := d.span(20*time.Millisecond, 300*time.Millisecond)
		d.add(at, kind, link, lasting(300*time.Millisecond, 1500*time.Millisecond),
			func(f *Fault) { f.Delay.Duration = delay })
	case 10:
		if d.s.hasSystemCallFaults(i) {
			d.add(at, "hup", node) // a traced process can't be held up by a signal
			return
		}
		d.add(at, "hold", node, lasting(40*time.Millisecond, 120*time.Millisecond))
	}
}

// plainFaultGroups and upgradeFaultGroups are how many troubles there are of either sort.
const (
	plainFaultGroups   = 11
	upgradeFaultGroups = 7
)

// drawUpgradeFaults draws a trouble that replaces a node's process. Backends hang in half of them.
func (d *faultDraw) drawUpgradeFaults(kind int, at time.Duration, node string) {
	if d.rng.IntN(2) == 0 {
		from, span := at+d.span(0, 800*time.Millisecond), d.span(time.Second, 2500*time.Millisecond)
		for j := d.rng.IntN(2); j < d.s.Backends; j += 2 {
			d.add(from, "pause", fmt.Sprintf("backend-%d", j), func(f *Fault) { f.For.Duration = span })
		}
	}
	d.add(at, "upgrade", node)
	soon := min(at+d.span(20*time.Millisecond, 1500*time.Millisecond), d.s.Duration.Duration)
	switch kind {
	case 0: // a series
		d.add(soon, "upgrade", node)
	case 1: // the successor ends, before the old process is told to end or after
		d.add(soon, "kill", node)
		d.add(soon+d.span(500*time.Millisecond, 2*time.Second), "restart", node)
	case 2: // the successor is told to end
		d.add(soon, "term", node)
		d.add(soon+d.s.killAfter(), "restart", node)
	case 3:
		d.add(soon, "hup", node)
	case 4: // the successor is told twice
		d.add(soon, "term", node)
		d.add(min(soon+d.span(50*time.Millisecond, 600*time.Millisecond), d.s.Duration.Duration), "term", node)
		d.add(soon+d.s.killAfter(), "restart", node)
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
func (s Scenario) killAfter() time.Duration {
	return min(max(s.Load.Deadline.Duration, s.longClass), maxKillDeadline) + killGrace
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
		f := sysfault.Fault{Kind: kinds[rng.IntN(len(kinds))], From: span(s.Soak.Quiet.Duration, s.Duration.Duration)}
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
		sum.join(s.Seed, r)
		if r.Passed {
			os.RemoveAll(one.Out) // what a seed that passed has left would fill the disk
		}
		s.Seed++
	}
	return sum, sum.Write(opts.Out)
}

// join adds a seed's report to a sum.
func (r *Report) join(seed uint64, one Report) {
	r.Passed = r.Passed && one.Passed
	r.Runs += one.Runs
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
func (l *loadRun) checkNodeLogs() Check {
	c := Check{Name: "no node breaks an invariant, panics or ends by itself"}
	for i := range l.s.Nodes {
		text, err := os.ReadFile(l.path("node-%d.log", i))
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
