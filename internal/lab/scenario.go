// Package lab is the project's fault lab: it starts real processes of the program on loopback (nodes, stand-in
// backends), places a TCP fault proxy on every link, plays a timeline of faults, records every request's outcome,
// checks the invariants from that history and writes a report with plots. See docs/ROADMAP.md for its design.
package lab

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"hitchvale/internal/tomlfile"
)

// Scenario is one experiment, as written in a TOML file.
type Scenario struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // how long the driver sends; the lab then waits for answers
	Nodes    int      `toml:"nodes"`
	Backends int      `toml:"backends"`
	// Registries is the number of registry replicas (hitchvale registry serve) that discovery comes from; 0: the
	// lab's stand-in discovery, with a proxy per node and backend.
	Registries int `toml:"registries"`
	// DrainGrace is how long a draining backend may still receive requests (the settings' drainGrace).
	Grace   Duration `toml:"grace"`
	Load    Load     `toml:"load"`
	Backend Behavior `toml:"backend"`
	Faults  []Fault  `toml:"fault"`
	// LeaseScenario, where set, makes the run a lease scenario: registry replicas and candidates for one duty, under
	// faults drawn from the seed, instead of nodes under load (see Duty).
	Duty *LeaseScenario `toml:"duty"`
	// Fleet, where set, makes the run one of the fleet's shared view, under faults drawn from the seed (see Fleet).
	Fleet *Fleet `toml:"fleet"`
	// Soak, where set, has faults drawn from the seed (see Soak).
	Soak *Soak `toml:"soak"`
	// MaintenanceScenario, beside a fleet, has machines taken out for work under load (see Work).
	Work *MaintenanceScenario `toml:"work"`

	longClass time.Duration // the deadline that the settings give the class of claims; 0: the load's
	crowd     int           // idle connections of clients to each node
	emptyPlan bool          // nodes run under the shim, which changes nothing
}

// LeaseScenario is a lease scenario: Candidates processes want one duty with a TTL; each does Work between its check of
// the lease and its fenced write. Schedules faults are played one after another, each of a kind drawn from Kinds (kill,
// pause, cut, term, leader; both: the holder paused while the leader is killed) and aimed at the duty's holder or, for
// leader, the registry's leader.
type LeaseScenario struct {
	Candidates int      `toml:"candidates"`
	TTL        Duration `toml:"ttl"`
	Work       Duration `toml:"work"`
	Schedules  int      `toml:"schedules"`
	Kinds      []string `toml:"kinds"`
}

var leaseFaultKinds = map[string]bool{"kill": true, "pause": true, "cut": true, "term": true, "leader": true,
	"both": true}

func (d LeaseScenario) check(registries int) error {
	switch {
	case registries < 1:
		return tomlfile.Bad("registries", "a duty needs at least 1 registry replica")
	case d.Candidates < 2 || d.Candidates > 32:
		return tomlfile.Bad("duty.candidates", "%d is outside 2 to 32", d.Candidates)
	case d.TTL.Duration < 200*time.Millisecond:
		return tomlfile.Bad("duty.ttl", "%s is shorter than two of the lab's election timeouts (200ms)", d.TTL)
	case d.Work.Duration < 0 || d.Work.Duration >= d.TTL.Duration:
		return tomlfile.Bad("duty.work", "%s is outside 0 to the TTL", d.Work)
	case d.Schedules < 1 || d.Schedules > 100000:
		return tomlfile.Bad("duty.schedules", "%d is outside 1 to 100000", d.Schedules)
	case len(d.Kinds) == 0:
		return tomlfile.Bad("duty.kinds", "none named")
	}
	for _, k := range d.Kinds {
		if !leaseFaultKinds[k] {
			return tomlfile.Bad("duty.kinds", "%q is not one of kill, pause, cut, term, leader, both", k)
		}
	}
	return nil
}

// Load is what the driver sends: Rate requests a second in all, spread over the nodes, at most Count of them.
// Unsafe is the share sent as POST without an idempotency key (the class that must never run twice).
type Load struct {
	Rate     float64  `toml:"rate"`
	Count    int      `toml:"count"`
	Deadline Duration `toml:"deadline"` // the client's wait for an answer
	Unsafe   float64  `toml:"unsafe"`
	// Keyed is the share sent with an idempotency key, Leave the share of clients that leave early; Improper has some
	// peers send half a request and stay.
	Keyed float64 `toml:"keyed"`
	Leave float64 `toml:"leave"`
	// Late is the share of clients that connect long before they ask, and Begun of those that begin a request long before
	// its end. A new process of a node is not ready while one of the latter is with the old one.
	Late     float64 `toml:"late"`
	Begun    float64 `toml:"begun"`
	Improper bool    `toml:"improper"`
}

// Behavior is how stand-in backends serve: a service time, a share of 500s, and a planted bug that runs every
// request twice (Twice), which the lab's check must catch.
type Behavior struct {
	Service Duration `toml:"service"`
	Errors  float64  `toml:"errors"`
	Resets  float64  `toml:"resets"` // share that runs and whose connection then ends
	Hangs   float64  `toml:"hangs"`  // share that is answered far too late
	Twice   bool     `toml:"twice"`
}

// Fault is one step of the timeline. Kinds and their targets:
//
//	kill, term, pause (For), restart    node-N or backend-N: SIGKILL, SIGTERM, SIGSTOP then SIGCONT, start again
//	power                               a list of targets killed at once
//	partition, delay (Delay), reset, drop (Share)   a link: client-node-N or node-N:backend-M, or a glob of them
//	drain                               backend-N set draining in discovery
//	fill                                node-N: Bytes written into its temporary folder
//	hup                                 node-N: discovery moves for it, its file names the new address, SIGHUP
//	upgrade                             node-N: a second process takes over, and the first is told to end
//	hold (For)                          node-N: SIGSTOP then SIGCONT, so short that it excuses nothing
//	rejoin                              backend-N: killed, started again and listed as ready, just started
//	outage (For)                        discovery: it resets every call
//
// A fault with For is undone after that time (partition healed, delay removed, process continued).
type Fault struct {
	At     Duration `toml:"at"`
	Kind   string   `toml:"kind"`
	Target []string `toml:"target"`
	For    Duration `toml:"for"`
	Delay  Duration `toml:"delay"`
	Share  float64  `toml:"share"`
	Bytes  int64    `toml:"bytes"`
}

// Duration is a time.Duration written as "2s" or "150ms" in TOML.
type Duration = tomlfile.Duration

var faultKinds = map[string]bool{"kill": true, "term": true, "pause": true, "restart": true, "power": true,
	"partition": true, "delay": true, "reset": true, "drop": true, "drain": true, "fill": true,
	"hup": true, "hold": true, "upgrade": true, "rejoin": true, "outage": true}

// LoadScenario reads and checks a scenario file. Errors name the file, the line and the key.
func LoadScenario(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	s, err := ParseScenario(text)
	if err != nil {
		return Scenario{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// ParseScenario decodes a scenario strictly: an unknown key, a wrong type or a value out of range is an error
// that names its line and key.
func ParseScenario(text []byte) (Scenario, error) {
	s := Scenario{Duration: Duration{Duration: 10 * time.Second}, Grace: Duration{Duration: time.Second},
		Load: Load{Rate: 100, Count: 100000, Deadline: Duration{Duration: time.Second}}}
	if err := tomlfile.Decode(text, &s); err != nil {
		return Scenario{}, err
	}
	return s, tomlfile.Locate(text, s.check())
}

func (s Scenario) check() error {
	if s.Duty != nil {
		if s.Nodes != 0 || s.Backends != 0 || len(s.Faults) != 0 {
			return tomlfile.Bad("duty", "a lease scenario has no nodes, backends or [[fault]]: its faults are drawn")
		}
		return s.Duty.check(s.Registries)
	}
	switch {
	case s.Nodes < 1 || s.Nodes > 64:
		return tomlfile.Bad("nodes", "%d is outside 1 to 64", s.Nodes)
	case s.Backends < 1 || s.Backends > 256:
		return tomlfile.Bad("backends", "%d is outside 1 to 256", s.Backends)
	case s.Registries < 0 || s.Registries > 7:
		return tomlfile.Bad("registries", "%d is outside 0 to 7", s.Registries)
	case s.Duration.Duration <= 0 || s.Duration.Duration > time.Hour:
		return tomlfile.Bad("duration", "%s is outside 0 to 1h", s.Duration)
	case s.Load.Rate <= 0 || s.Load.Rate > 20000:
		return tomlfile.Bad("load.rate", "%g is outside 0 to 20000", s.Load.Rate)
	case s.Load.Count < 1:
		return tomlfile.Bad("load.count", "%d is below 1", s.Load.Count)
	case s.Load.Deadline.Duration < 10*time.Millisecond:
		return tomlfile.Bad("load.deadline", "%s is below 10ms", s.Load.Deadline)
	case s.Load.Unsafe < 0 || s.Load.Unsafe > 1:
		return tomlfile.Bad("load.unsafe", "%g is outside 0 to 1", s.Load.Unsafe)
	case s.Load.Keyed < 0 || s.Load.Keyed+s.Load.Unsafe > 1:
		return tomlfile.Bad("load.keyed", "%g is outside 0 to 1 less unsafe", s.Load.Keyed)
	case s.Load.Leave < 0 || s.Load.Leave > 1:
		return tomlfile.Bad("load.leave", "%g is outside 0 to 1", s.Load.Leave)
	case s.Load.Late < 0 || s.Load.Late > 1:
		return tomlfile.Bad("load.late", "%g is outside 0 to 1", s.Load.Late)
	case s.Load.Begun < 0 || s.Load.Late+s.Load.Begun > 1:
		return tomlfile.Bad("load.begun", "%g is outside 0 to 1 less late", s.Load.Begun)
	case s.Backend.Errors < 0 || s.Backend.Errors > 1:
		return tomlfile.Bad("backend.errors", "%g is outside 0 to 1", s.Backend.Errors)
	}
	if s.Fleet != nil {
		if err := s.Fleet.check(s); err != nil {
			return err
		}
	}
	if s.Soak != nil {
		if err := s.Soak.check(s); err != nil {
			return err
		}
	}
	if s.Work != nil {
		if err := s.Work.check(s); err != nil {
			return err
		}
	}
	for i, f := range s.Faults {
		if err := s.checkFault(f); err != nil {
			return fmt.Errorf("fault %d (%s at %s): %w", i+1, f.Kind, f.At, err)
		}
	}
	return nil
}

func (s Scenario) checkFault(f Fault) error {
	if !faultKinds[f.Kind] {
		return tomlfile.Bad("kind", "%q is not a fault kind", f.Kind)
	}
	if f.At.Duration < 0 || f.At.Duration > s.Duration.Duration {
		return tomlfile.Bad("at", "%s is outside the scenario's duration", f.At)
	}
	if len(f.Target) == 0 {
		return errors.New("key \"target\": missing")
	}
	for _, t := range f.Target {
		if err := s.checkTarget(f.Kind, t); err != nil {
			return tomlfile.Bad("target", "%v", err)
		}
	}
	if f.Kind == "drop" && (f.Share <= 0 || f.Share > 1) {
		return tomlfile.Bad("share", "%g is outside 0 to 1", f.Share)
	}
	if f.Kind == "delay" && f.Delay.Duration <= 0 {
		return errors.New("key \"delay\": missing")
	}
	return nil
}

// checkTarget accepts node-N and backend-N for processes, and links for the proxy's faults.
func (s Scenario) checkTarget(kind, t string) error {
	switch kind {
	case "partition", "delay", "reset", "drop":
		if _, _, err := s.parseLink(t); err != nil {
			return err
		}
		return nil
	}
	if kind == "outage" {
		if t != "discovery" || s.Registries > 0 {
			return fmt.Errorf("%q: an outage is one of the stand-in discovery", t)
		}
		return nil
	}
	role, i, err := parseProc(t)
	if err != nil {
		return err
	}
	if n := s.count(role); i >= n {
		return fmt.Errorf("%q: there are %d of %s", t, n, role)
	}
	if (kind == "hup" || kind == "hold" || kind == "upgrade") && role != "node" || kind == "rejoin" &&
		(role != "backend" || s.Registries > 0) {
		return fmt.Errorf("%q: %s does not apply to a %s here", t, kind, role)
	}
	if (kind == "drain" && role != "backend") || (kind == "fill" && role == "backend") {
		return fmt.Errorf("%q: %s does not apply to a %s", t, kind, role)
	}
	return nil
}

func (s Scenario) count(role string) int {
	switch role {
	case "node":
		return s.Nodes
	case "registry":
		return s.Registries
	}
	return s.Backends
}

// parseProc reads node-N or backend-N.
func parseProc(t string) (role string, i int, err error) {
	for _, role := range []string{"node", "backend", "registry"} {
		if rest, ok := strings.CutPrefix(t, role+"-"); ok {
			if _, err := fmt.Sscanf(rest, "%d", &i); err == nil && fmt.Sprint(i) == rest {
				return role, i, nil
			}
		}
	}
	return "", 0, fmt.Errorf("%q is not node-N, backend-N or registry-N", t)
}

// parseLink reads client-node-N, node-N:backend-M, node-N:registry-M or registry-N:registry-M, with * for N or M.
func (s Scenario) parseLink(t string) (from, to string, err error) {
	if rest, ok := strings.CutPrefix(t, "client-"); ok {
		role, i, err := parseProc(rest)
		if err != nil || role != "node" || i >= s.Nodes {
			return "", "", fmt.Errorf("%q is not a link to a node of the scenario", t)
		}
		return "client", rest, nil
	}
	from, to, ok := strings.Cut(t, ":")
	if !ok {
		return "", "", fmt.Errorf("%q is not a link (client-node-N, node-N:backend-M, node-N:registry-M "+
			"or registry-N:registry-M)", t)
	}
	near, far := "node", "backend"
	if strings.HasPrefix(from, "registry-") {
		near = "registry"
	}
	if strings.HasPrefix(to, "registry-") {
		far = "registry"
	}
	if near == "registry" && far != near {
		return "", "", fmt.Errorf("%q: a replica has links to replicas alone", t)
	}
	type endOfLink struct {
		name string
		role string
	}
	for _, side := range []endOfLink{{from, near}, {to, far}} {
		if side.name == side.role+"-*" {
			continue
		}
		role, i, err := parseProc(side.name)
		if err != nil || role != side.role || i >= s.count(role) {
			return "", "", fmt.Errorf("%q is not a link of the scenario", t)
		}
	}
	return from, to, nil
}
