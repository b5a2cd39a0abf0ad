package lab

import (
	"fmt"
	"os"
	"time"

	"hitchvale/internal/tomlfile"
)

// Scenario is one experiment, as written in a TOML file.
type Scenario struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // how long requests are sent; the lab then waits for their responses
	Nodes    int      `toml:"nodes"`
	Backends int      `toml:"backends"`
	// Registries is the number of registry replicas (hitchvale registry serve) that serve discovery; 0: the lab's
	// stand-in discovery, with a proxy for each node and backend.
	Registries int `toml:"registries"`
	// DrainGrace is how long a draining backend may still receive requests (the settings' drainGrace).
	DrainGrace Duration        `toml:"grace"`
	Load       Load            `toml:"load"`
	Backend    BackendBehavior `toml:"backend"`
	Faults     []Fault         `toml:"fault"`
	// Lease, where set, makes the run one of registry replicas and candidates for a lease instead of nodes under load.
	Lease *LeaseScenario `toml:"duty"`
	// Fleet, where set, makes the run one of the fleet's shared view.
	Fleet *FleetScenario `toml:"fleet"`
	// Soak, where set, plays several seeds, each with faults of its own.
	Soak *SoakScenario `toml:"soak"`
	// Maintenance, beside Fleet, has backends taken out for maintenance under load.
	Maintenance *MaintenanceScenario `toml:"work"`

	claimDeadline   time.Duration // deadline of the claim class in the settings; 0: the load's
	idleConnections int           // clients' idle connections to each node
	emptyPlan       bool          // nodes are traced, under a plan without faults
}

// Load is what the driver sends: Rate requests a second in all, spread over the nodes, at most Count of them. Shares
// are fractions of the requests, 0 to 1.
type Load struct {
	Rate     float64  `toml:"rate"`
	Count    int      `toml:"count"`
	Deadline Duration `toml:"deadline"` // how long a client waits for its response
	// UnsafeShare is sent as POST without an idempotency key and must never run twice.
	UnsafeShare float64 `toml:"unsafe"`
	// KeyedShare is sent with an idempotency key.
	KeyedShare float64 `toml:"keyed"`
	// DisconnectShare is that of clients that disconnect before their response.
	DisconnectShare float64 `toml:"leave"`
	// DelayedRequestShare is that of clients that connect long before they send their request.
	DelayedRequestShare float64 `toml:"late"`
	// SplitRequestShare is that of clients that begin a request long before its end. A new process of a node is not ready
	// while the old one has such a request.
	SplitRequestShare float64 `toml:"begun"`
	// StalledClients has some peers send half a request and stay connected.
	StalledClients bool `toml:"improper"`
}

// BackendBehavior is how stand-in backends serve. Shares are fractions of the requests, 0 to 1.
type BackendBehavior struct {
	ServiceTime Duration `toml:"service"`
	ErrorShare  float64  `toml:"errors"` // answered 500
	ResetShare  float64  `toml:"resets"` // executed, then the connection is broken
	HangShare   float64  `toml:"hangs"`  // answered after hangDuration
	// RunTwice is a planted fault that the lab's checks must find: every POST is executed twice.
	RunTwice bool `toml:"twice"`
}

// Duration is a time.Duration written as "2s" or "150ms" in TOML.
type Duration = tomlfile.Duration

// LoadScenario reads and checks a scenario file. Errors name the file, the line and the key.
func LoadScenario(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	scenario, err := ParseScenario(text)
	if err != nil {
		return Scenario{}, fmt.Errorf("%s: %w", path, err)
	}
	return scenario, nil
}

// ParseScenario decodes a scenario strictly: an unknown key, a wrong type or a value out of range is an error
// that names its line and key.
func ParseScenario(text []byte) (Scenario, error) {
	scenario := Scenario{
		Duration:   Duration{Duration: 10 * time.Second},
		DrainGrace: Duration{Duration: time.Second},
		Load:       Load{Rate: 100, Count: 100000, Deadline: Duration{Duration: time.Second}},
	}
	if err := tomlfile.Decode(text, &scenario); err != nil {
		return Scenario{}, err
	}
	return scenario, tomlfile.Locate(text, scenario.check())
}
