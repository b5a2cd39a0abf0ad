package node

import (
	"errors"
	"fmt"
	"net/netip"

	"hitchvale/internal/discovery"
	"hitchvale/internal/siteconfig"
)

// Config is the configuration of a node. Addresses have a host and a port.
type Config struct {
	Name       string   // of the node; all of its processes have it
	Listen     string   // for clients
	Discovery  string   // the address of discovery
	Registry   []string // every replica of a replicated registry; empty: Discovery alone
	Admin      string   // the second address; "": none
	StateDir   string   // for files that the processes of a node share; used with a second address
	Seed       uint64   // of the Balancer's random numbers
	Limits     Limits
	PeerListen string         // for gossip; "": none
	Peers      []string       // the other nodes, by index
	PeersAll   string         // reaches all of them
	Known      discovery.List // the endpoint list to begin with
	Settings   siteconfig.Settings
	Fleet      *FleetConfig // nil: the node is not a member of a fleet
}

// Limits are those of the machine that a node runs on. Zero: unknown.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors
}

// FleetConfig is a node's membership of a fleet.
type FleetConfig struct {
	Registry   []string `json:"registry"`    // every replica
	Site       string   `json:"site"`        // where the node is
	IntervalMs int64    `json:"interval_ms"` // between reports, as the registry's fleet_interval; 0: default
	Tenants    int      `json:"tenants"`     // counters of the sketch of heavy tenants; 0: default
}

const (
	defaultFleetIntervalMs = 1000
	minFleetIntervalMs     = 10
	maxFleetIntervalMs     = 60_000
	defaultFleetTenants    = 64
	maxFleetTenants        = 4096
)

// SetAdmin replaces the second address. The error names an address that is malformed.
func (c *Config) SetAdmin(address string) error {
	c.Admin = address
	return c.check()
}

// check returns an error that names the first key with a value that can't be used.
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

func checkAddress(key, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: %q is not an address with a port", key, address)
	}
	return nil
}

func (l Limits) check() error {
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return errors.New("limits: a negative limit")
	}
	if l.Sockets > 0 && l.Sockets < minDescriptors {
		return fmt.Errorf("limits: %d sockets are too few, %d are needed", l.Sockets, minDescriptors)
	}
	return nil
}

// check sets defaults and checks the values. A nil FleetConfig is valid.
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
		return errors.New("fleet.registry: no replica named")
	case c.IntervalMs < minFleetIntervalMs || c.IntervalMs > maxFleetIntervalMs:
		return fmt.Errorf("fleet.interval_ms: %d is outside %d to %d", c.IntervalMs,
			minFleetIntervalMs, maxFleetIntervalMs)
	case c.Tenants < 1 || c.Tenants > maxFleetTenants:
		return fmt.Errorf("fleet.tenants: %d is outside 1 to %d", c.Tenants, maxFleetTenants)
	}
	return nil
}
