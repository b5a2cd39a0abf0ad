package lab

import (
	"fmt"
	"os"
	"time"

	"hitchvale/internal/tomlfile"
)

// Scenario describes a run of the lab, or the runs of a soak. It is read from a TOML file.
type Scenario struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // how long requests are sent; afterwards the lab waits for their responses
	Nodes    int      `toml:"nodes"`
	Backends int      `toml:"backends"`
	// MemoryMB is the memory limit in a node's configuration, in MiB. Nodes buffer less of long bodies with less memory.
	MemoryMB int `toml:"memory_mb"`
	// Registries is the number of registry replicas (hitchvale registry serve) that serve discovery. With 0 the lab serves
	// a stand-in discovery, with a proxy for each pair of a node and a backend.
	Registries int `toml:"registries"`
	// DrainGrace is how long a backend may still receive requests after it was set draining (the settings' drainGrace).
	DrainGrace Duration        `toml:"grace"`
	Load       Load            `toml:"load"`
	Backend    BackendBehavior `toml:"backend"`
	Faults     []Fault         `toml:"fault"`
	// Lease, where set, makes this a run of registry replicas and candidates for a lease, without nodes and load.
	Lease *LeaseScenario `toml:"duty"`
	// Fleet, where set, makes this a run of the fleet's shared view, or of maintenance where Maintenance is set too.
	Fleet *FleetScenario `toml:"fleet"`
	// Soak, where set, runs several seeds, each with its own faults.
	Soak *SoakScenario `toml:"soak"`
	// Abuse adds clients that misuse their connections.
	Abuse AbuseScenario `toml:"abuse"`
	// Maintenance, where set, takes backends out for maintenance under load. It needs Fleet.
	Maintenance *MaintenanceScenario `toml:"work"`

	claimDeadline   time.Duration // deadline of the claim class in the nodes' settings; 0: the load's deadline
	idleConnections int           // number of the clients' idle connections to each node
	emptyPlan       bool          // nodes are traced with a plan that has no faults
}

// Load describes the requests that the driver sends: Rate requests a second in total, spread over the nodes, and at
// most Count requests. Shares are fractions of the requests, 0 to 1.
type Load struct {
	Rate     float64  `toml:"rate"`
	Count    int      `toml:"count"`
	Deadline Duration `toml:"deadline"` // how long a client waits for its response
	// UnsafeShare is the share sent as POST without an idempotency key. These requests must never be executed twice.
	UnsafeShare float64 `toml:"unsafe"`
	// KeyedShare is the share sent with an idempotency key.
	KeyedShare float64 `toml:"keyed"`
	// DisconnectShare is the share whose client disconnects before the response.
	DisconnectShare float64 `toml:"leave"`
	// DelayedRequestShare is the share whose client connects long before it sends the request.
	DelayedRequestShare float64 `toml:"late"`
	// SplitRequestShare is the share whose client sends the beginning of the request long before the remainder. A new
	// process of a node is not ready while the old process has such a request.
	SplitRequestShare float64 `toml:"begun"`
	// SlowBodyShare is the share whose client sends a long body slowly, if the request is a POST.
	SlowBodyShare float64 `toml:"slow_bodies"`
	// LongBodyShare is the share whose client sends a body of several megabytes at once, if the request is a POST and is
	// not delayed. The clients of such a load connect to the nodes directly, and not through proxies.
	LongBodyShare float64 `toml:"long_bodies"`
	// StalledClients replaces some requests by clients that send the beginning of a request and then stay connected.
	StalledClients bool `toml:"improper"`
}

// BackendBehavior describes how the stand-in backends serve requests. Shares are fractions of the requests, 0 to 1.
type BackendBehavior struct {
	ServiceTime Duration `toml:"service"`
	ErrorShare  float64  `toml:"errors"` // share answered with status 500
	ResetShare  float64  `toml:"resets"` // share executed and then ended by a reset of the connection
	HangShare   float64  `toml:"hangs"`  // share answered after hangDuration
	// StopReadingShare is the share of which the backend reads a part of the body, and then reads and answers nothing for
	// stopReadingDuration.
	StopReadingShare float64 `toml:"stops_reading"`
	// RunTwice makes the backends record two executions of every POST. It is a deliberate fault that the lab's checks must
	// detect.
	RunTwice bool `toml:"twice"`
}

// Duration is a time.Duration that TOML writes as "2s" or "150ms".
type Duration = tomlfile.Duration

// LoadScenario reads and checks a scenario file. Its errors name the file and, where they can, the line and the key.
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

// ParseScenario decodes and checks a scenario. An unknown key, a wrong type or a value out of range is an error that
// names its line and key. Errors in a [[fault]] name the fault's number instead of the line.
func ParseScenario(text []byte) (Scenario, error) {
	scenario := Scenario{
		Duration:   Duration{Duration: 10 * time.Second},
		DrainGrace: Duration{Duration: time.Second},
		MemoryMB:   defaultMemoryMB,
		Load:       Load{Rate: 100, Count: 100000, Deadline: Duration{Duration: time.Second}},
	}
	if err := tomlfile.Decode(text, &scenario); err != nil {
		return Scenario{}, err
	}
	return scenario, tomlfile.Locate(text, scenario.check())
}
