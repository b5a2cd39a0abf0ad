package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// The limits of a node's container. A node whose clients hold idle connections gets few descriptors, so that the idle
// connections use them up.
const (
	nodeCores       = 1
	defaultMemoryMB = 256
	fewDescriptors  = 256
	manyDescriptors = 1024
)

// keyWindow is how long backends drop repeated executions of a keyed request.
const keyWindow = 2 * time.Second

// nodeSeedFactor is the distance between the node seeds of consecutive scenario seeds. It is larger than the number of
// nodes, so that nodes of different scenario seeds have different seeds.
const nodeSeedFactor = 7919

// nodeAddresses are the addresses in a node's configuration.
type nodeAddresses struct {
	listen    string
	admin     string
	discovery string
	replicas  []string // of the registry; empty: discovery is the stand-in
}

// nodeConfig is a node's configuration file in the platform's form (DEPLOY-hitchvale.md). Durations in the settings are
// in nanoseconds, as on the wire.
type nodeConfig struct {
	Name      string       `json:"name"`
	Listen    string       `json:"listen"`
	Discovery string       `json:"discovery"`
	Admin     string       `json:"admin"`
	Seed      string       `json:"seed"`
	Limits    nodeLimits   `json:"limits"`
	Settings  nodeSettings `json:"settings"`
	Registry  []string     `json:"registry,omitempty"`
	Fleet     *nodeFleet   `json:"fleet,omitempty"`
}

type nodeLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type nodeFleet struct {
	Registry   []string `json:"registry"`
	Site       string   `json:"site"`
	IntervalMs int64    `json:"interval_ms"`
}

type nodeSettings struct {
	Nodes       int             `json:"nInstances"`
	Index       int             `json:"index"`
	Classes     []nodeClass     `json:"classes"`
	Obligations nodeObligations `json:"obligations"`
	Limits      *attemptLimits  `json:"limits,omitempty"`
}

type nodeClass struct {
	Name             string        `json:"name"`
	Effect           string        `json:"effect"`
	Deadline         time.Duration `json:"deadline"`
	LatencyObjective time.Duration `json:"aim"`
	PriorityWeight   int           `json:"points"`
	LateWeight       float64       `json:"lateWorth"`
	KeyScope         string        `json:"keyScope,omitempty"`
	KeyWindow        time.Duration `json:"window,omitempty"`
}

type nodeObligations struct {
	DrainGrace        time.Duration `json:"drainGrace"`
	GraceToAnswer     time.Duration `json:"graceToAnswer"`
	SlowStartFraction float64       `json:"coldShare,omitempty"`
	FallMultiple      float64       `json:"fallMultiple,omitempty"`
	SlowStartDuration time.Duration `json:"warmWithin,omitempty"`
	OverloadFor       time.Duration `json:"overloadFor,omitempty"`
}

type attemptLimits struct {
	Cancelling     bool          `json:"cancelling"`
	RetryAfter     bool          `json:"retryAfter"`
	MaxAttempts    int           `json:"maxAttempts"`
	ConnectTimeout time.Duration `json:"connectTimeout"`
}

// nodeConfig returns the configuration file of a node, as JSON.
func (run *loadRun) nodeConfig(i int, addresses nodeAddresses) []byte {
	config := nodeConfig{
		Name:      processName(roleNode, i),
		Listen:    addresses.listen,
		Discovery: addresses.discovery,
		Admin:     addresses.admin,
		Seed:      fmt.Sprintf("%016x", run.scenario.Seed*nodeSeedFactor+uint64(i)),
		Limits: nodeLimits{
			Cores:    cmp.Or(run.scenario.Abuse.Cores, nodeCores),
			MemoryMB: run.scenario.MemoryMB,
			Sockets:  run.scenario.descriptorLimit(),
		},
		Settings: run.scenario.nodeSettings(i),
		Registry: addresses.replicas,
	}
	if fleetScenario := run.scenario.Fleet; fleetScenario != nil {
		config.Fleet = &nodeFleet{Registry: addresses.replicas, Site: fmt.Sprintf("site-%d", i%fleetScenario.Sites),
			IntervalMs: fleetScenario.Interval.Milliseconds()}
	}
	text, _ := json.Marshal(config) // values of these types always encode
	return text
}

// descriptorLimit returns how many descriptors a node may have open.
func (scenario Scenario) descriptorLimit() int {
	if scenario.Abuse.Descriptors > 0 {
		return scenario.Abuse.Descriptors
	}
	if scenario.idleConnections > 0 {
		return fewDescriptors
	}
	return manyDescriptors
}

// nodeSettings returns the settings that a node gets from the platform. In a soak, they also contain rules for slow
// start, overload and retries.
func (scenario Scenario) nodeSettings(i int) nodeSettings {
	settings := nodeSettings{
		Nodes:   scenario.Nodes,
		Index:   i,
		Classes: scenario.nodeClasses(),
		Obligations: nodeObligations{
			DrainGrace:    scenario.DrainGrace.Duration,
			GraceToAnswer: responseGrace,
		},
	}
	if scenario.Soak != nil {
		settings.Limits = &attemptLimits{Cancelling: true, RetryAfter: true, MaxAttempts: 3,
			ConnectTimeout: 300 * time.Millisecond}
		settings.Obligations.SlowStartFraction = 0.2
		settings.Obligations.FallMultiple = 3
		settings.Obligations.SlowStartDuration = 5 * time.Second
		settings.Obligations.OverloadFor = 1500 * time.Millisecond
	}
	return settings
}

// nodeClasses returns the classes of requests: read (GET, idempotent), claim (POST without a key, not idempotent) and
// token (POST with an idempotency key).
func (scenario Scenario) nodeClasses() []nodeClass {
	deadline := scenario.Load.Deadline.Duration
	newClass := func(name, effect string) nodeClass {
		return nodeClass{Name: name, Effect: effect, Deadline: deadline, LatencyObjective: deadline / 2,
			PriorityWeight: 1, LateWeight: 0.5}
	}
	read := newClass(classRead, "pure")
	claim := newClass(classClaim, "side_effect")
	if scenario.claimDeadline > 0 {
		claim.Deadline = scenario.claimDeadline
	}
	token := newClass(classToken, "token")
	token.KeyScope = "all"
	token.KeyWindow = keyWindow
	return []nodeClass{read, claim, token}
}
