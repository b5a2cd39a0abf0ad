package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"hitchvale/internal/discovery"
	"hitchvale/internal/siteconfig"
)

// Config is what a node is told at its start.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Registry   []string // every replica of a replicated discovery; empty: Discovery alone, as the platform has it
	Admin      string   // the second address; "": none
	StateDir   string   // where processes of the node leave what the others need; with an admin
	Seed       uint64
	Limits     Limits
	PeerListen string
	Peers      []string
	PeersAll   string
	Known      discovery.List
	Settings   siteconfig.Settings
	Fleet      *FleetConfig // nil: this node has no part in the fleet's view
}

// FleetConfig is a node's part in the fleet's shared view; it is off unless the key `fleet` is there.
type FleetConfig struct {
	Registry   []string `json:"registry"`    // every replica
	Site       string   `json:"site"`        // where the node stands
	IntervalMs int64    `json:"interval_ms"` // between two reports; the registry's fleet_interval; 0: 1000
	Tenants    int      `json:"tenants"`     // counters of the sketch of heavy tenants; 0: 64
}

func (c *FleetConfig) check() error {
	if c == nil {
		return nil
	}
	if c.IntervalMs == 0 {
		c.IntervalMs = 1000
	}
	if c.Tenants == 0 {
		c.Tenants = 64
	}
	switch {
	case len(c.Registry) == 0:
		return errors.New("fleet.registry: no replica named")
	case c.IntervalMs < 10 || c.IntervalMs > 60_000:
		return fmt.Errorf("fleet.interval_ms: %d is outside 10 to 60000", c.IntervalMs)
	case c.Tenants < 1 || c.Tenants > 4096:
		return fmt.Errorf("fleet.tenants: %d is outside 1 to 4096", c.Tenants)
	}
	return nil
}

// Limits are those of the machine that a node runs on. Zero: not told.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LoadConfig reads the configuration from a file.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("configuration: no file named")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %s: %w", path, err)
	}
	return cfg, nil
}

// ParseConfig decodes and checks a configuration. Unknown keys are skipped.
func ParseConfig(text []byte) (Config, error) {
	var raw struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Registry   []string        `json:"registry"`
		Admin      string          `json:"admin"`
		Seed       string          `json:"seed"`
		Limits     Limits          `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
		Fleet      *FleetConfig    `json:"fleet"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	cfg := Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Registry: raw.Registry, Admin: raw.Admin, StateDir: os.TempDir(), Limits: raw.Limits,
		PeerListen: raw.PeerListen, Peers: raw.Peers, PeersAll: raw.PeersAll, Fleet: raw.Fleet}
	var err error
	if raw.Seed != "" {
		if cfg.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
			return Config{}, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", raw.Seed)
		}
	}
	if len(raw.Settings) == 0 || bytes.Equal(raw.Settings, []byte("null")) {
		return Config{}, errors.New("settings: missing")
	}
	if cfg.Settings, err = siteconfig.Parse(raw.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if len(cfg.Settings.Classes) == 0 {
		return Config{}, errors.New("settings: no classes")
	}
	if err := cfg.Settings.CheckNames(); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if len(raw.Known) > 0 && !bytes.Equal(raw.Known, []byte("null")) {
		if cfg.Known, err = discovery.ParseList(raw.Known, cfg.Settings); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	return cfg, cfg.check()
}

// SetAdmin names another second address.
func (c *Config) SetAdmin(addr string) error {
	c.Admin = addr
	return c.check()
}

func (c *Config) check() error {
	for _, a := range []struct {
		name, addr string
		needed     bool
	}{
		{"listen", c.Listen, true}, {"discovery", c.Discovery, true}, {"admin", c.Admin, false},
		{"peer_listen", c.PeerListen, false}, {"peers_all", c.PeersAll, false},
	} {
		if a.addr == "" && !a.needed {
			continue
		}
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not an address with a port", a.name, a.addr)
		}
	}
	if err := c.Fleet.check(); err != nil {
		return err
	}
	var replicas []string
	if c.Fleet != nil {
		replicas = c.Fleet.Registry
	}
	for _, list := range []struct {
		name  string
		addrs []string
	}{{"peers", c.Peers}, {"registry", c.Registry}, {"fleet.registry", replicas}} {
		for _, a := range list.addrs {
			if _, err := netip.ParseAddrPort(a); err != nil {
				return fmt.Errorf("%s: %q is not an address with a port", list.name, a)
			}
		}
	}
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return errors.New("limits: a negative limit")
	}
	if s := c.Limits.Sockets; s > 0 && s < minDescriptors {
		return fmt.Errorf("limits: %d sockets are too few, %d are needed", s, minDescriptors)
	}
	return nil
}

const (
	// leastSockets is the smallest limit on descriptors that a node starts with, otherSockets what it keeps
	// for all but clients and backends: listeners, discovery, standard streams, the runtime's own. adminSockets
	// are kept beside for the second address and for what a second process of the node opens.
	minDescriptors, reservedDescriptors, adminDescriptors = 64, 32, 16
	// usualSockets stands for a limit that is not told.
	defaultDescriptors = 1024
)

// share divides the descriptors: so many connections of clients, and so many to backends. A request in flight
// holds one of each; backends get the rest as idle ones are kept there and probes need some.
func (l Limits) divideDescriptors(admin bool) (clients, backends int) {
	n := l.Sockets
	if n == 0 {
		n = defaultDescriptors
	}
	n -= reservedDescriptors
	if admin {
		// Many connections of clients may stand idle, and those need none at a backend.
		n -= min(adminDescriptors, n/2)
		return n * 5 / 8, n - n*5/8
	}
	return n / 2, n - n/2
}
