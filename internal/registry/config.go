package registry

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"time"

	"hitchvale/internal/tomlfile"
)

// Config is a replica's configuration file (TOML; see deploy/registry.toml and docs/registry.md).
type Config struct {
	ID        string `toml:"id"`
	DataDir   string `toml:"data_dir"`
	HTTPAddr  string `toml:"http"` // host:port of the list's HTTP side
	RaftAddr  string `toml:"raft"` // host:port of raft's TCP transport
	Bootstrap bool   `toml:"bootstrap"`
	// RaftListen is where raft's transport listens where that differs from Raft, the address that peers dial.
	RaftListenAddr string `toml:"raft_listen"`
	// RaftFrom is the host that raft dials its peers from; empty: the system picks.
	RaftDialHost string `toml:"raft_from"`
	// StaleRead is how long since it last heard from the leader a follower still serves reads.
	MaxStaleness       tomlfile.Duration `toml:"stale_read"`
	ChangeLogSize      int               `toml:"ring"`      // changes kept for watches
	MaxConcurrentCalls int               `toml:"max_calls"` // calls served at once; more get 503 at once
	// DefaultTTL applies to members registered without a TTL; 0 keeps them until deregistered.
	DefaultTTL tomlfile.Duration `toml:"default_ttl"`
	// FleetInterval is how often the leader compiles the nodes' reports into a view.
	FleetInterval tomlfile.Duration `toml:"fleet_interval"`
	Timing        Timing            `toml:"raft_timing"`
	Peers         []Peer            `toml:"peer"`
}

// Timing are raft's timeouts and snapshot policy (hashicorp/raft's Config of the same names).
type Timing struct {
	Heartbeat         tomlfile.Duration `toml:"heartbeat"`
	Election          tomlfile.Duration `toml:"election"`
	LeaderLease       tomlfile.Duration `toml:"leader_lease"`
	Commit            tomlfile.Duration `toml:"commit"`
	SnapshotInterval  tomlfile.Duration `toml:"snapshot_interval"`
	SnapshotThreshold uint64            `toml:"snapshot_threshold"`
	TrailingLogs      uint64            `toml:"trailing_logs"`
}

// Peer is one replica of the cluster, this one included.
type Peer struct {
	ID       string `toml:"id"`
	RaftAddr string `toml:"raft"`
	HTTPAddr string `toml:"http"`
}

func defaultConfig() Config {
	d := func(v time.Duration) tomlfile.Duration { return tomlfile.Duration{Duration: v} }
	return Config{MaxStaleness: d(time.Second), ChangeLogSize: 4096, MaxConcurrentCalls: 2048, FleetInterval: d(time.Second), Timing: Timing{
		Heartbeat: d(500 * time.Millisecond), Election: d(500 * time.Millisecond), LeaderLease: d(250 * time.Millisecond),
		Commit: d(10 * time.Millisecond), SnapshotInterval: d(30 * time.Second), SnapshotThreshold: 8192, TrailingLogs: 10240}}
}

// ListenRaft is the address that raft's transport is to listen on.
func (c Config) ListenRaft() string { return cmp.Or(c.RaftListenAddr, c.RaftAddr) }

// LoadConfig reads and checks a replica's file; errors name the file, and the line and key where they can.
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

// ParseConfig decodes a configuration strictly and checks it.
func ParseConfig(text []byte) (Config, error) {
	c := defaultConfig()
	if err := tomlfile.Decode(text, &c); err != nil {
		return Config{}, err
	}
	return c, tomlfile.Locate(text, c.Validate())
}

// Check refuses what cannot work: missing names, bad addresses, a cluster without this replica, timeouts out of
// order.
func (c Config) Validate() error {
	if c.ID == "" {
		return tomlfile.Bad("id", "missing")
	}
	if c.DataDir == "" {
		return tomlfile.Bad("data_dir", "missing")
	}
	for _, a := range []struct{ key, addr string }{{"http", c.HTTPAddr}, {"raft", c.RaftAddr}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return tomlfile.Bad(a.key, "%q is not an address with a port", a.addr)
		}
	}
	if _, err := netip.ParseAddrPort(c.RaftListenAddr); c.RaftListenAddr != "" && err != nil {
		return tomlfile.Bad("raft_listen", "%q is not an address with a port", c.RaftListenAddr)
	}
	if _, err := netip.ParseAddr(c.RaftDialHost); c.RaftDialHost != "" && err != nil {
		return tomlfile.Bad("raft_from", "%q is not an address", c.RaftDialHost)
	}
	t := c.Timing
	switch {
	case c.ChangeLogSize < 16:
		return tomlfile.Bad("ring", "%d is below 16", c.ChangeLogSize)
	case c.MaxConcurrentCalls < 1:
		return tomlfile.Bad("max_calls", "%d is below 1", c.MaxConcurrentCalls)
	case t.Heartbeat.Duration < 5*time.Millisecond:
		return tomlfile.Bad("raft_timing.heartbeat", "%s is below 5ms", t.Heartbeat)
	case t.Election.Duration < t.Heartbeat.Duration:
		return tomlfile.Bad("raft_timing.election", "%s is below the heartbeat's %s", t.Election, t.Heartbeat)
	case t.LeaderLease.Duration <= 0 || t.LeaderLease.Duration > t.Heartbeat.Duration:
		return tomlfile.Bad("raft_timing.leader_lease", "%s is not within 0 and the heartbeat's %s", t.LeaderLease, t.Heartbeat)
	case t.Commit.Duration <= 0:
		return tomlfile.Bad("raft_timing.commit", "must be above 0")
	case c.FleetInterval.Duration < 10*time.Millisecond:
		return tomlfile.Bad("fleet_interval", "%s is below 10ms", c.FleetInterval)
	case c.MaxStaleness.Duration < 0:
		return tomlfile.Bad("stale_read", "negative")
	}
	self := false
	seen := map[string]bool{}
	for i, p := range c.Peers {
		if p.ID == "" || seen[p.ID] {
			return fmt.Errorf("peer %d: key %q: missing or repeated", i+1, "id")
		}
		seen[p.ID] = true
		for _, a := range []struct{ key, addr string }{{"raft", p.RaftAddr}, {"http", p.HTTPAddr}} {
			if _, err := netip.ParseAddrPort(a.addr); err != nil {
				return fmt.Errorf("peer %s: key %q: %q is not an address with a port", p.ID, a.key, a.addr)
			}
		}
		if p.ID == c.ID {
			self = true
			if p.RaftAddr != c.RaftAddr || p.HTTPAddr != c.HTTPAddr {
				return fmt.Errorf("peer %s: addresses differ from the replica's own", p.ID)
			}
		}
	}
	if len(c.Peers) > 0 && !self {
		return tomlfile.Bad("peer", "this replica (%s) is not among the peers", c.ID)
	}
	return nil
}
