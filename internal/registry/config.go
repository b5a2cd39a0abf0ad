package registry

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"time"

	"hitchvale/internal/tomlfile"
)

// Config is the configuration of a replica, which is a TOML file. docs/registry.md lists the keys, and
// deploy/registry.toml is an example.
type Config struct {
	ID        string `toml:"id"`        // raft's server ID; the ID of one of Peers, if there are any
	DataDir   string `toml:"data_dir"`  // directory of raft's store and the snapshots
	HTTPAddr  string `toml:"http"`      // IP address and port of the HTTP interface
	RaftAddr  string `toml:"raft"`      // IP address and port at which peers dial raft's transport
	Bootstrap bool   `toml:"bootstrap"` // start the cluster of Peers if data_dir has no raft state
	// RaftListenAddr is the address that raft's transport listens on if it differs from RaftAddr, for example because
	// peers connect through a proxy.
	RaftListenAddr string `toml:"raft_listen"`
	// RaftDialHost is the local IP address from which raft dials its peers. If it is empty, the system chooses the
	// address.
	RaftDialHost string `toml:"raft_from"`
	// MaxStaleness is the time after its last contact with the leader during which a follower still serves reads.
	MaxStaleness tomlfile.Duration `toml:"stale_read"`
	// ChangeLogSize is the number of changes of the member list that are kept for watches.
	ChangeLogSize int `toml:"ring"`
	// MaxConcurrentCalls is the maximum number of calls in flight. Further calls are rejected with 503.
	MaxConcurrentCalls int `toml:"max_calls"`
	// DefaultTTL is the TTL of members that are registered without one. If it is 0, they stay until deregistered.
	DefaultTTL tomlfile.Duration `toml:"default_ttl"`
	// FleetInterval is the interval at which the leader compiles the nodes' reports into a view.
	FleetInterval tomlfile.Duration `toml:"fleet_interval"`
	Timing        Timing            `toml:"raft_timing"`
	Peers         []Peer            `toml:"peer"`
}

// Timing holds raft's timeouts and snapshot policy. Its fields are named after those of raft.Config.
type Timing struct {
	Heartbeat         tomlfile.Duration `toml:"heartbeat"`
	Election          tomlfile.Duration `toml:"election"`
	LeaderLease       tomlfile.Duration `toml:"leader_lease"`
	Commit            tomlfile.Duration `toml:"commit"`
	SnapshotInterval  tomlfile.Duration `toml:"snapshot_interval"`
	SnapshotThreshold uint64            `toml:"snapshot_threshold"` // log entries since the last snapshot
	TrailingLogs      uint64            `toml:"trailing_logs"`      // log entries retained after a snapshot
}

// Peer is one replica of the cluster. The list of peers includes the replica itself.
type Peer struct {
	ID       string `toml:"id"`
	RaftAddr string `toml:"raft"`
	HTTPAddr string `toml:"http"`
}

// The minimum values in a configuration.
const (
	minChangeLogSize      = 16
	minMaxConcurrentCalls = 1
	minHeartbeat          = 5 * time.Millisecond
	minFleetInterval      = 10 * time.Millisecond
)

// defaultConfig returns the values of the keys that a configuration file omits.
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

// LoadConfig reads and validates a configuration file. Errors name the file and, where known, the line and the key.
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

// Validate returns an error for a missing key, an invalid address, a value out of range, or a list of peers that does
// not include this replica.
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
		return tomlfile.KeyErrorf("http", "%q is not an IP address with a port", c.HTTPAddr)
	}
	if _, err := netip.ParseAddrPort(c.RaftAddr); err != nil {
		return tomlfile.KeyErrorf("raft", "%q is not an IP address with a port", c.RaftAddr)
	}
	if _, err := netip.ParseAddrPort(c.RaftListenAddr); c.RaftListenAddr != "" && err != nil {
		return tomlfile.KeyErrorf("raft_listen", "%q is not an IP address with a port", c.RaftListenAddr)
	}
	if _, err := netip.ParseAddr(c.RaftDialHost); c.RaftDialHost != "" && err != nil {
		return tomlfile.KeyErrorf("raft_from", "%q is not an IP address", c.RaftDialHost)
	}
	return nil
}

func (c Config) validateRanges() error {
	t := c.Timing
	switch {
	case c.ChangeLogSize < minChangeLogSize:
		return tomlfile.KeyErrorf("ring", "%d is below the minimum of %d", c.ChangeLogSize, minChangeLogSize)
	case c.MaxConcurrentCalls < minMaxConcurrentCalls:
		return tomlfile.KeyErrorf("max_calls", "%d is below the minimum of %d", c.MaxConcurrentCalls, minMaxConcurrentCalls)
	case t.Heartbeat.Duration < minHeartbeat:
		return tomlfile.KeyErrorf("raft_timing.heartbeat", "%s is below the minimum of %s", t.Heartbeat, minHeartbeat)
	case t.Election.Duration < t.Heartbeat.Duration:
		return tomlfile.KeyErrorf("raft_timing.election", "%s is below raft_timing.heartbeat (%s)", t.Election, t.Heartbeat)
	case t.LeaderLease.Duration <= 0 || t.LeaderLease.Duration > t.Heartbeat.Duration:
		return tomlfile.KeyErrorf("raft_timing.leader_lease",
			"%s is not in the range above 0 and up to raft_timing.heartbeat (%s)",
			t.LeaderLease, t.Heartbeat)
	case t.Commit.Duration <= 0:
		return tomlfile.KeyErrorf("raft_timing.commit", "%s must be above 0", t.Commit)
	case c.FleetInterval.Duration < minFleetInterval:
		return tomlfile.KeyErrorf("fleet_interval", "%s is below the minimum of %s", c.FleetInterval, minFleetInterval)
	case c.MaxStaleness.Duration < 0:
		return tomlfile.KeyErrorf("stale_read", "%s is negative; it must be 0 or more", c.MaxStaleness)
	}
	return nil
}

// validatePeers checks each peer. If there are peers, this replica must be one of them, with the same addresses as in
// its own keys.
func (c Config) validatePeers() error {
	if len(c.Peers) == 0 {
		return nil
	}
	listed := false
	seen := map[string]bool{}
	for i, p := range c.Peers {
		if p.ID == "" || seen[p.ID] {
			return fmt.Errorf("peer %d: key %q: the id is missing or used twice; each id must be unique", i+1, "id")
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
			return fmt.Errorf("peer %s: the addresses differ from the replica's own keys raft (%s) and http (%s)",
				p.ID, c.RaftAddr, c.HTTPAddr)
		}
	}
	if !listed {
		return tomlfile.KeyErrorf("peer", "the list of peers does not include this replica (%s)", c.ID)
	}
	return nil
}

func (p Peer) validate() error {
	if _, err := netip.ParseAddrPort(p.RaftAddr); err != nil {
		return fmt.Errorf("peer %s: key %q: %q is not an IP address with a port", p.ID, "raft", p.RaftAddr)
	}
	if _, err := netip.ParseAddrPort(p.HTTPAddr); err != nil {
		return fmt.Errorf("peer %s: key %q: %q is not an IP address with a port", p.ID, "http", p.HTTPAddr)
	}
	return nil
}
