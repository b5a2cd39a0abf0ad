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
	DrainGrace Duration        `toml:"grace"`
	Load       Load            `toml:"load"`
	Backend    BackendBehavior `toml:"backend"`
	Faults     []Fault         `toml:"fault"`
	// LeaseScenario, where set, makes the run a lease scenario: registry replicas and candidates for one duty, under
	// faults drawn from the seed, instead of nodes under load (see Duty).
	Lease *LeaseScenario `toml:"duty"`
	// Fleet, where set, makes the run one of the fleet's shared view, under faults drawn from the seed (see Fleet).
	Fleet *FleetScenario `toml:"fleet"`
	// Soak, where set, has faults drawn from the seed (see Soak).
	Soak *SoakScenario `toml:"soak"`
	// MaintenanceScenario, beside a fleet, has machines taken out for work under load (see Work).
	Maintenance *MaintenanceScenario `toml:"work"`

	claimDeadline   time.Duration // the deadline that the settings give the class of claims; 0: the load's
	idleConnections int           // idle connections of clients to each node
	emptyPlan       bool          // nodes run under the shim, which changes nothing
}

// LeaseScenario is a lease scenario: Candidates processes want one duty with a TTL; each does Work between its check of
// the lease and its fenced write. Schedules faults are played one after another, each of a kind drawn from Kinds (kill,
// pause, cut, term, leader; both: the holder paused while the leader is killed) and aimed at the duty's holder or, for
// leader, the registry's leader.
type LeaseScenario struct {
	Candidates int      `toml:"candidates"`
	TTL        Duration `toml:"ttl"`
	WorkTime   Duration `toml:"work"`
	FaultCount int      `toml:"schedules"`
	Kinds      []string `toml:"kinds"`
}

var leaseFaultKinds = map[string]bool{"kill": true, "pause": true, "cut": true, "term": true, "leader": true,
	"both": true}

func (lease LeaseScenario) check(registries int) error {
	switch {
	case registries < 1:
		return tomlfile.Bad("registries", "a duty needs at least 1 registry replica")
	case lease.Candidates < 2 || lease.Candidates > 32:
		return tomlfile.Bad("duty.candidates", "%d is outside 2 to 32", lease.Candidates)
	case lease.TTL.Duration < 200*time.Millisecond:
		return tomlfile.Bad("duty.ttl", "%s is shorter than two of the lab's election timeouts (200ms)", lease.TTL)
	case lease.WorkTime.Duration < 0 || lease.WorkTime.Duration >= lease.TTL.Duration:
		return tomlfile.Bad("duty.work", "%s is outside 0 to the TTL", lease.WorkTime)
	case lease.FaultCount < 1 || lease.FaultCount > 100000:
		return tomlfile.Bad("duty.schedules", "%d is outside 1 to 100000", lease.FaultCount)
	case len(lease.Kinds) == 0:
		return tomlfile.Bad("duty.kinds", "none named")
	}
	for _, k := range lease.Kinds {
		if !leaseFaultKinds[k] {
			return tomlfile.Bad("duty.kinds", "%q is not one of kill, pause, cut, term, leader, both", k)
		}
	}
	return nil
}

// Load is what the driver sends: Rate requests a second in all, spread over the nodes, at most Count of them.
// Unsafe is the share sent as POST without an idempotency key (the class that must never run twice).
type Load struct {
	Rate        float64  `toml:"rate"`
	Count       int      `toml:"count"`
	Deadline    Duration `toml:"deadline"` // the client's wait for an answer
	UnsafeShare float64  `toml:"unsafe"`
	// Keyed is the share sent with an idempotency key, Leave the share of clients that leave early; Improper has some
	// peers send half a request and stay.
	KeyedShare      float64 `toml:"keyed"`
	DisconnectShare float64 `toml:"leave"`
	// Late is the share of clients that connect long before they ask, and Begun of those that begin a request long before
	// its end. A new process of a node is not ready while one of the latter is with the old one.
	LateSendShare   float64 `toml:"late"`
	EarlyBeginShare float64 `toml:"begun"`
	ImproperPeers   bool    `toml:"improper"`
}

// Behavior is how stand-in backends serve: a service time, a share of 500s, and a planted bug that runs every
// request twice (Twice), which the lab's check must catch.
type BackendBehavior struct {
	ServiceTime Duration `toml:"service"`
	ErrorShare  float64  `toml:"errors"`
	ResetShare  float64  `toml:"resets"` // share that runs and whose connection then ends
	HangShare   float64  `toml:"hangs"`  // share that is answered far too late
	RunTwice    bool     `toml:"twice"`
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
	s := Scenario{Duration: Duration{Duration: 10 * time.Second}, DrainGrace: Duration{Duration: time.Second},
		Load: Load{Rate: 100, Count: 100000, Deadline: Duration{Duration: time.Second}}}
	if err := tomlfile.Decode(text, &s); err != nil {
		return Scenario{}, err
	}
	return s, tomlfile.Locate(text, s.check())
}

func (scenario Scenario) check() error {
	if scenario.Lease != nil {
		if scenario.Nodes != 0 || scenario.Backends != 0 || len(scenario.Faults) != 0 {
			return tomlfile.Bad("duty", "a lease scenario has no nodes, backends or [[fault]]: its faults are drawn")
		}
		return scenario.Lease.check(scenario.Registries)
	}
	switch {
	case scenario.Nodes < 1 || scenario.Nodes > 64:
		return tomlfile.Bad("nodes", "%d is outside 1 to 64", scenario.Nodes)
	case scenario.Backends < 1 || scenario.Backends > 256:
		return tomlfile.Bad("backends", "%d is outside 1 to 256", scenario.Backends)
	case scenario.Registries < 0 || scenario.Registries > 7:
		return tomlfile.Bad("registries", "%d is outside 0 to 7", scenario.Registries)
	case scenario.Duration.Duration <= 0 || scenario.Duration.Duration > time.Hour:
		return tomlfile.Bad("duration", "%s is outside 0 to 1h", scenario.Duration)
	case scenario.Load.Rate <= 0 || scenario.Load.Rate > 20000:
		return tomlfile.Bad("load.rate", "%g is outside 0 to 20000", scenario.Load.Rate)
	case scenario.Load.Count < 1:
		return tomlfile.Bad("load.count", "%d is below 1", scenario.Load.Count)
	case scenario.Load.Deadline.Duration < 10*time.Millisecond:
		return tomlfile.Bad("load.deadline", "%s is below 10ms", scenario.Load.Deadline)
	case scenario.Load.UnsafeShare < 0 || scenario.Load.UnsafeShare > 1:
		return tomlfile.Bad("load.unsafe", "%g is outside 0 to 1", scenario.Load.UnsafeShare)
	case scenario.Load.KeyedShare < 0 || scenario.Load.KeyedShare+scenario.Load.UnsafeShare > 1:
		return tomlfile.Bad("load.keyed", "%g is outside 0 to 1 less unsafe", scenario.Load.KeyedShare)
	case scenario.Load.DisconnectShare < 0 || scenario.Load.DisconnectShare > 1:
		return tomlfile.Bad("load.leave", "%g is outside 0 to 1", scenario.Load.DisconnectShare)
	case scenario.Load.LateSendShare < 0 || scenario.Load.LateSendShare > 1:
		return tomlfile.Bad("load.late", "%g is outside 0 to 1", scenario.Load.LateSendShare)
	case scenario.Load.EarlyBeginShare < 0 || scenario.Load.LateSendShare+scenario.Load.EarlyBeginShare > 1:
		return tomlfile.Bad("load.begun", "%g is outside 0 to 1 less late", scenario.Load.EarlyBeginShare)
	case scenario.Backend.ErrorShare < 0 || scenario.Backend.ErrorShare > 1:
		return tomlfile.Bad("backend.errors", "%g is outside 0 to 1", scenario.Backend.ErrorShare)
	}
	if scenario.Fleet != nil {
		if err := scenario.Fleet.check(scenario); err != nil {
			return err
		}
	}
	if scenario.Soak != nil {
		if err := scenario.Soak.check(scenario); err != nil {
			return err
		}
	}
	if scenario.Maintenance != nil {
		if err := scenario.Maintenance.check(scenario); err != nil {
			return err
		}
	}
	for i, f := range scenario.Faults {
		if err := scenario.checkFault(f); err != nil {
			return fmt.Errorf("fault %d (%s at %s): %w", i+1, f.Kind, f.At, err)
		}
	}
	return nil
}

func (scenario Scenario) checkFault(f Fault) error {
	if !faultKinds[f.Kind] {
		return tomlfile.Bad("kind", "%q is not a fault kind", f.Kind)
	}
	if f.At.Duration < 0 || f.At.Duration > scenario.Duration.Duration {
		return tomlfile.Bad("at", "%s is outside the scenario's duration", f.At)
	}
	if len(f.Target) == 0 {
		return errors.New("key \"target\": missing")
	}
	for _, t := range f.Target {
		if err := scenario.checkTarget(f.Kind, t); err != nil {
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
func (scenario Scenario) checkTarget(kind, target string) error {
	switch kind {
	case "partition", "delay", "reset", "drop":
		if _, _, err := scenario.parseLink(target); err != nil {
			return err
		}
		return nil
	}
	if kind == "outage" {
		if target != "discovery" || scenario.Registries > 0 {
			return fmt.Errorf("%q: an outage is one of the stand-in discovery", target)
		}
		return nil
	}
	role, index, err := parseProcess(target)
	if err != nil {
		return err
	}
	if n := scenario.count(role); index >= n {
		return fmt.Errorf("%q: there are %d of %s", target, n, role)
	}
	if (kind == "hup" || kind == "hold" || kind == "upgrade") && role != "node" || kind == "rejoin" &&
		(role != "backend" || scenario.Registries > 0) {
		return fmt.Errorf("%q: %s does not apply to a %s here", target, kind, role)
	}
	if (kind == "drain" && role != "backend") || (kind == "fill" && role == "backend") {
		return fmt.Errorf("%q: %s does not apply to a %s", target, kind, role)
	}
	return nil
}

func (scenario Scenario) count(role string) int {
	switch role {
	case "node":
		return scenario.Nodes
	case "registry":
		return scenario.Registries
	}
	return scenario.Backends
}

// parseProc reads node-N or backend-N.
func parseProcess(target string) (role string, i int, err error) {
	for _, role := range []string{"node", "backend", "registry"} {
		if number, ok := strings.CutPrefix(target, role+"-"); ok {
			if _, err := fmt.Sscanf(number, "%d", &i); err == nil && fmt.Sprint(i) == number {
				return role, i, nil
			}
		}
	}
	return "", 0, fmt.Errorf("%q is not node-N, backend-N or registry-N", target)
}

// parseLink reads client-node-N, node-N:backend-M, node-N:registry-M or registry-N:registry-M, with * for N or M.
func (scenario Scenario) parseLink(target string) (from, to string, err error) {
	if node, ok := strings.CutPrefix(target, "client-"); ok {
		role, index, err := parseProcess(node)
		if err != nil || role != "node" || index >= scenario.Nodes {
			return "", "", fmt.Errorf("%q is not a link to a node of the scenario", target)
		}
		return "client", node, nil
	}
	from, to, ok := strings.Cut(target, ":")
	if !ok {
		return "", "", fmt.Errorf("%q is not a link (client-node-N, node-N:backend-M, node-N:registry-M "+
			"or registry-N:registry-M)", target)
	}
	near, far := "node", "backend"
	if strings.HasPrefix(from, "registry-") {
		near = "registry"
	}
	if strings.HasPrefix(to, "registry-") {
		far = "registry"
	}
	if near == "registry" && far != near {
		return "", "", fmt.Errorf("%q: a replica has links to replicas alone", target)
	}
	type endOfLink struct {
		name string
		role string
	}
	for _, side := range []endOfLink{{from, near}, {to, far}} {
		if side.name == side.role+"-*" {
			continue
		}
		role, index, err := parseProcess(side.name)
		if err != nil || role != side.role || index >= scenario.count(role) {
			return "", "", fmt.Errorf("%q is not a link of the scenario", target)
		}
	}
	return from, to, nil
}
