package registry

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"time"

	"hitchvale/internal/tomlfile"
)

// Config is a replica's configuration file (TOML; docs/registry.md lists the keys, deploy/registry.toml is an example).
type Config struct {
	ID        string `toml:"id"`       // raft's server ID, among Peers
	DataDir   string `toml:"data_dir"` // of raft's store and the snapshots
	HTTPAddr  string `toml:"http"`     // host:port of the HTTP interface
	RaftAddr  string `toml:"raft"`     // host:port of raft's transport, as peers dial it
	Bootstrap bool   `toml:"bootstrap"`
	// RaftListenAddr is where raft's transport listens if that is not RaftAddr, as behind a proxy.
	RaftListenAddr string `toml:"raft_listen"`
	// RaftDialHost is the local host that raft dials its peers from; if empty, the system chooses.
	RaftDialHost string `toml:"raft_from"`
	// MaxStaleness is for how long after its last contact with the leader a follower still serves reads.
	MaxStaleness tomlfile.Duration `toml:"stale_read"`
	// ChangeLogSize is the number of changes of the list that are remembered for watches.
	ChangeLogSize int `toml:"ring"`
	// MaxConcurrentCalls is the number of calls in flight above which further ones are rejected with 503.
	MaxConcurrentCalls int `toml:"max_calls"`
	// DefaultTTL applies to members registered without a TTL; with 0 they stay until deregistered.
	DefaultTTL tomlfile.Duration `toml:"default_ttl"`
	// FleetInterval is how often the leader compiles the nodes' reports into a view.
	FleetInterval tomlfile.Duration `toml:"fleet_interval"`
	Timing        Timing            `toml:"raft_timing"`
	Peers         []Peer            `toml:"peer"`
}

// Timing holds raft's timeouts and snapshot policy, by the names of hashicorp/raft's Config.
type Timing struct {
	Heartbeat         tomlfile.Duration `toml:"heartbeat"`
	Election          tomlfile.Duration `toml:"election"`
	LeaderLease       tomlfile.Duration `toml:"leader_lease"`
	Commit            tomlfile.Duration `toml:"commit"`
	SnapshotInterval  tomlfile.Duration `toml:"snapshot_interval"`
	SnapshotThreshold uint64            `toml:"snapshot_threshold"` // log entries since the last snapshot
	TrailingLogs      uint64            `toml:"trailing_logs"`      // log entries retained after a snapshot
}

// Peer is one replica of the cluster, this one included.
type Peer struct {
	ID       string `toml:"id"`
	RaftAddr string `toml:"raft"`
	HTTPAddr string `toml:"http"`
}

// The lowest values that a configuration may have.
const (
	minChangeLogSize      = 16
	minMaxConcurrentCalls = 1
	minHeartbeat          = 5 * time.Millisecond
	minFleetInterval      = 10 * time.Millisecond
)

// defaultConfig returns the values of keys that a file leaves out.
func defaultConfig() Config {
	duration := func(d time.Duration) tomlfile.Duration { return tomlfile.Duration{Duration: d} }
	return Config{
		MaxStaleness:       duration(time.Second),
		ChangeLogSize:      4096,
		MaxConcurrentCalls: 2048,
		FleetInterval:      duration(time.Second),
		Timing: Timing{
			Heartbeat:         duration(500 * time.Millisecond),
			Election:          duration(500 * time.Millisecond),
			LeaderLease:       duration(250 * time.Millisecond),
			Commit:            duration(10 * time.Millisecond),
			SnapshotInterval:  duration(30 * time.Second),
			SnapshotThreshold: 8192,
			TrailingLogs:      10240,
		},
	}
}

// ListenRaft returns the address that raft's transport listens on.
func (c Config) ListenRaft() string { return cmp.Or(c.RaftListenAddr, c.RaftAddr) }

// LoadConfig reads and validates a configuration file. Errors name the file, and the line and key if they can.
func LoadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("registry configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// ParseConfig decodes and validates a configuration. Unknown keys are errors.
func ParseConfig(text []byte) (Config, error) {
	c := defaultConfig()
	if err := tomlfile.Decode(text, &c); err != nil {
		return Config{}, err
	}
	return c, tomlfile.Locate(text, c.Validate())
}

// Validate reports missing keys, bad addresses, values out of range, and peers that do not include this replica.
func (c Config) Validate() error {
	if c.ID == "" {
		return tomlfile.KeyErrorf("id", "missing")
	}
	if c.DataDir == "" {
		return tomlfile.KeyErrorf("data_dir", "missing")
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	if err := c.validateRanges(); err != nil {
		return err
	}
	return c.validatePeers()
}

func (c Config) validateAddresses() error {
	if _, err := netip.ParseAddrPort(c.HTTPAddr); err != nil {
		return tomlfile.KeyErrorf("http", "%q is not an address with a port", c.HTTPAddr)
	}
	if _, err := netip.ParseAddrPort(c.RaftAddr); err != nil {
		return tomlfile.KeyErrorf("raft", "%q is not an address with a port", c.RaftAddr)
	}
	if _, err := netip.ParseAddrPort(c.RaftListenAddr); c.RaftListenAddr != "" && err != nil {
		return tomlfile.KeyErrorf("raft_listen", "%q is not an address with a port", c.RaftListenAddr)
	}
	if _, err := netip.ParseAddr(c.RaftDialHost); c.RaftDialHost != "" && err != nil {
		return tomlfile.KeyErrorf("raft_from", "%q is not an address", c.RaftDialHost)
	}
	return nil
}

func (c Config) validateRanges() error {
	t := c.Timing
	switch {
	case c.ChangeLogSize < minChangeLogSize:
		return tomlfile.KeyErrorf("ring", "%d is below %d", c.ChangeLogSize, minChangeLogSize)
	case c.MaxConcurrentCalls < minMaxConcurrentCalls:
		return tomlfile.KeyErrorf("max_calls", "%d is below %d", c.MaxConcurrentCalls, minMaxConcurrentCalls)
	case t.Heartbeat.Duration < minHeartbeat:
		return tomlfile.KeyErrorf("raft_timing.heartbeat", "%s is below %s", t.Heartbeat, minHeartbeat)
	case t.Election.Duration < t.Heartbeat.Duration:
		return tomlfile.KeyErrorf("raft_timing.election", "%s is below the heartbeat's %s", t.Election, t.Heartbeat)
	case t.LeaderLease.Duration <= 0 || t.LeaderLease.Duration > t.Heartbeat.Duration:
		return tomlfile.KeyErrorf("raft_timing.leader_lease", "%s is not within 0 and the heartbeat's %s",
			t.LeaderLease, t.Heartbeat)
	case t.Commit.Duration <= 0:
		return tomlfile.KeyErrorf("raft_timing.commit", "must be above 0")
	case c.FleetInterval.Duration < minFleetInterval:
		return tomlfile.KeyErrorf("fleet_interval", "%s is below %s", c.FleetInterval, minFleetInterval)
	case c.MaxStaleness.Duration < 0:
		return tomlfile.KeyErrorf("stale_read", "negative")
	}
	return nil
}

// validatePeers checks each peer and, if there are any, that this replica is among them by its own addresses.
func (c Config) validatePeers() error {
	if len(c.Peers) == 0 {
		return nil
	}
	listed := false
	seen := map[string]bool{}
	for i, p := range c.Peers {
		if p.ID == "" || seen[p.ID] {
			return fmt.Errorf("peer %d: key %q: missing or repeated", i+1, "id")
		}
		seen[p.ID] = true
		if err := p.validate(); err != nil {
			return err
		}
		if p.ID != c.ID {
			continue
		}
		listed = true
		if p.RaftAddr != c.RaftAddr || p.HTTPAddr != c.HTTPAddr {
			return fmt.Errorf("peer %s: addresses differ from the replica's own", p.ID)
		}
	}
	if !listed {
		return tomlfile.KeyErrorf("peer", "this replica (%s) is not among the peers", c.ID)
	}
	return nil
}

func (p Peer) validate() error {
	if _, err := netip.ParseAddrPort(p.RaftAddr); err != nil {
		return fmt.Errorf("peer %s: key %q: %q is not an address with a port", p.ID, "raft", p.RaftAddr)
	}
	if _, err := netip.ParseAddrPort(p.HTTPAddr); err != nil {
		return fmt.Errorf("peer %s: key %q: %q is not an address with a port", p.ID, "http", p.HTTPAddr)
	}
	return nil
}
