package node

import (
	"errors"
	"fmt"
	"net/netip"

	"hitchvale/internal/discovery"
	"hitchvale/internal/siteconfig"
)

// Config is the configuration of a node. Each address consists of an IP address and a port.
type Config struct {
	Name       string   // the name of the node, which all of its processes share
	Listen     string   // the address for clients
	Discovery  string   // the address of the discovery service
	Registry   []string // the addresses of all replicas of a replicated registry; if empty, only Discovery is used
	Admin      string   // the admin address; "" for none
	StateDir   string   // the directory of the files that the processes of a node share; unused without an admin address
	Seed       uint64   // the seed of the Balancer's random numbers
	Limits     Limits
	PeerListen string         // the address that receives gossip; "" for none
	Peers      []string       // the gossip addresses of the other nodes, by index
	PeersAll   string         // an address that reaches all other nodes; "" for none
	Known      discovery.List // the endpoint list that the node starts with
	Settings   siteconfig.Settings
	// LimitRuntime makes the node limit the Go runtime of its process to the memory in Limits.
	LimitRuntime bool
	Fleet        *FleetConfig // nil if the node is not a member of a fleet
}

// Limits are the limits of the machine that a node runs on. A limit of 0 is unknown.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`   // the number of descriptors that the node may use
}

// FleetConfig configures a node's membership of a fleet.
type FleetConfig struct {
	Registry   []string `json:"registry"`    // the addresses of all replicas of the registry
	Site       string   `json:"site"`        // the site of the node
	IntervalMs int64    `json:"interval_ms"` // the time between reports, the registry's fleet_interval; 0: default
	Tenants    int      `json:"tenants"`     // the number of counters in the sketch of heavy tenants; 0: default
}

// The defaults and bounds of FleetConfig.
const (
	defaultFleetIntervalMs = 1000
	minFleetIntervalMs     = 10
	maxFleetIntervalMs     = 60_000
	defaultFleetTenants    = 64
	maxFleetTenants        = 4096
)

// SetAdmin replaces the admin address. It returns an error if the address is malformed.
func (c *Config) SetAdmin(address string) error {
	c.Admin = address
	return c.check()
}

// check returns an error that names the first key with an invalid value.
func (c *Config) check() error {
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if err := c.Fleet.check(); err != nil {
		return err
	}
	if err := c.checkAddressLists(); err != nil {
		return err
	}
	return c.Limits.check()
}

// checkAddresses checks the keys that hold one address.
func (c *Config) checkAddresses() error {
	for _, entry := range []struct {
		key      string
		address  string
		required bool
	}{
		{key: "listen", address: c.Listen, required: true},
		{key: "discovery", address: c.Discovery, required: true},
		{key: "admin", address: c.Admin},
		{key: "peer_listen", address: c.PeerListen},
		{key: "peers_all", address: c.PeersAll},
	} {
		if entry.address == "" && !entry.required {
			continue
		}
		if err := checkAddress(entry.key, entry.address); err != nil {
			return err
		}
	}
	return nil
}

// checkAddressLists checks the keys that hold a list of addresses.
func (c *Config) checkAddressLists() error {
	var fleetRegistry []string
	if c.Fleet != nil {
		fleetRegistry = c.Fleet.Registry
	}
	for _, list := range []struct {
		key       string
		addresses []string
	}{
		{key: "peers", addresses: c.Peers},
		{key: "registry", addresses: c.Registry},
		{key: "fleet.registry", addresses: fleetRegistry},
	} {
		for _, address := range list.addresses {
			if err := checkAddress(list.key, address); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkAddress checks the address that is the value of a key.
func checkAddress(key, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: %q is invalid, it must be an IP address with a port", key, address)
	}
	return nil
}

// check returns an error for a limit that is negative, or too low for a node to run.
func (l Limits) check() error {
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return fmt.Errorf("limits: a limit is negative (cores %v, memory_mb %d, sockets %d), each must be 0 or more",
			l.Cores, l.MemoryMB, l.Sockets)
	}
	if l.Sockets > 0 && l.Sockets < minDescriptors {
		return fmt.Errorf("limits.sockets: %d is too low, it must be 0 (unknown) or at least %d", l.Sockets, minDescriptors)
	}
	return nil
}

// check sets the defaults and checks the values. A nil FleetConfig is valid.
func (c *FleetConfig) check() error {
	if c == nil {
		return nil
	}
	if c.IntervalMs == 0 {
		c.IntervalMs = defaultFleetIntervalMs
	}
	if c.Tenants == 0 {
		c.Tenants = defaultFleetTenants
	}
	switch {
	case len(c.Registry) == 0:
		return errors.New("fleet.registry: no replica is named, the list must have at least one")
	case c.IntervalMs < minFleetIntervalMs || c.IntervalMs > maxFleetIntervalMs:
		return fmt.Errorf("fleet.interval_ms: %d is out of range, it must be %d to %d, or 0 for the default of %d",
			c.IntervalMs, minFleetIntervalMs, maxFleetIntervalMs, defaultFleetIntervalMs)
	case c.Tenants < 1 || c.Tenants > maxFleetTenants:
		return fmt.Errorf("fleet.tenants: %d is out of range, it must be 1 to %d, or 0 for the default of %d",
			c.Tenants, maxFleetTenants, defaultFleetTenants)
	}
	return nil
}
