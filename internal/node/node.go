package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/accept"
	"hitchvale/internal/admin"
	"hitchvale/internal/connpool"
	"hitchvale/internal/discovery"
)

// Node is one process of a node. New opens its sockets, Run serves.
type Node struct {
	cfg       Config
	log       *slog.Logger
	listener  *limitListener
	server    *clientServer
	loop      *eventLoop
	pool      *connpool.Pool
	discovery *discovery.Client
	counters  *counters
	metrics   *metrics

	maxClientConns  int // of all processes of the node together
	maxBackendConns int // likewise

	peers    *peers        // nil: no gossip
	admin    *admin.Server // nil: no second address
	cordons  *cordonFile   // nil: no second address
	handover *handover     // nil: no second address
	fleet    *fleetMember  // nil: not a member of a fleet

	firstListTimeout time.Duration
}

// New opens the sockets of a node. With a second address it takes the listener of a process that runs already. The
// error names what could not be opened; an address that is in use for a moment is waited for.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	balancer, err := balance.New(cfg.Settings.Config, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:              cfg,
		log:              log,
		counters:         newCounters(cfg.Settings.Classes),
		firstListTimeout: firstListTimeout,
	}
	n.metrics = newMetrics(n.counters)
	if cfg.Admin != "" {
		n.handover = newHandover(cfg, log)
		n.handover.connectToPredecessor()
		if list, ok := n.handover.inheritedList(cfg); ok {
			n.cfg.Known = list
		}
	}
	n.buildUpstream(balancer)
	n.buildServer()
	n.buildDiscovery()
	if err := n.openPeers(); err != nil {
		return nil, err
	}
	if cfg.Fleet != nil {
		n.fleet = newFleetMember(n)
	}
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// buildUpstream makes the pool of connections to backends and the event loop.
func (n *Node) buildUpstream(balancer *balance.Balancer) {
	settings := n.cfg.Settings.Config
	limits := settings.Limits
	n.maxClientConns, n.maxBackendConns = n.cfg.Limits.divideDescriptors(n.cfg.Admin != "")
	n.pool = newBackendPool(n.maxBackendConns, limits, &n.counters.closes)
	inlineReports := settings.LoadReports == balance.InlineLoadReports
	upstream := newUpstreamTransport(n.pool, inlineReports, &n.counters.attemptsWritten, n.log)
	n.loop = newEventLoop(balancer, upstream, n.counters, n.log)
	n.loop.guard = newGuard(settings, n.log)
	n.metrics.guard = n.loop.guard
}

// buildServer makes the side of the clients.
func (n *Node) buildServer() {
	n.server = newClientServer(n.loop, n.cfg.Settings, n.maxClientConns, n.log)
	n.server.bodyMemory = newMemoryBudget(n.cfg.Limits.MemoryMB)
	n.loop.upstream.bodyMemory = n.server.bodyMemory
	n.server.maxInFlight = min(n.server.maxInFlight, int64(n.maxBackendConns))
	n.server.streaming = n.cfg.Admin != ""
}

// buildDiscovery makes the client of discovery, and connects it with the event loop.
func (n *Node) buildDiscovery() {
	n.discovery = discovery.NewClient(discovery.Config{
		Address:     n.cfg.Discovery,
		Replicas:    n.cfg.Registry,
		Settings:    n.cfg.Settings,
		InitialList: n.cfg.Known,
		Log:         n.log,
		OnList:      n.onList,
		OnFailure:   func() { n.loop.post(discoveryFailed{}) },
		OnCall:      n.metrics.observeDiscoveryCall,
	})
	n.metrics.listRevision.Set(float64(n.cfg.Known.Revision))
	n.loop.requestDiscovery = n.discovery.Request
	n.loop.takeDiscoveryCalls = n.discovery.TakeCallCount
}

// onList sends an endpoint list to the event loop.
func (n *Node) onList(list discovery.List) {
	kind := balance.ListChanges
	if list.Complete {
		kind = balance.CompleteList
	}
	n.metrics.listRevision.Set(float64(list.Revision))
	n.loop.post(endpointListReceived{kind: kind, list: list})
}

// openPeers opens the socket for gossip, if there is to be one.
func (n *Node) openPeers() error {
	address := n.cfg.PeerListen
	if address == "" {
		return nil
	}
	opened, err := accept.OpenWithRetry(func() (*peers, error) { return listenPeers(&n.cfg) }, n.logOpenRetries(address))
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	n.peers = opened
	n.loop.sendToPeer = opened.enqueue
	return nil
}

// listen opens the second address and the one for clients, or takes over the predecessor's listener.
func (n *Node) listen() error {
	if n.cfg.Admin != "" {
		n.cordons = newCordonFile(n.cfg.StateDir, n.cfg.Name, n.log)
		server, err := accept.OpenWithRetry(func() (*admin.Server, error) {
			return admin.Listen(n.cfg.Admin, adminView{n}, n.log)
		}, n.logOpenRetries(n.cfg.Admin))
		if err != nil {
			return err
		}
		n.admin = server
	}
	if n.handover != nil && n.handover.inheritedListener != nil {
		n.listener = newLimitListener(n.handover.inheritedListener, 0)
		n.listener.setPaused(true) // until the predecessor has stopped accepting
		return nil
	}
	listenConfig := net.ListenConfig{}
	if n.handover != nil {
		listenConfig.Control = sharePort // with a predecessor that does not hand over
	}
	listener, err := accept.OpenWithRetry(func() (net.Listener, error) {
		return listenConfig.Listen(context.Background(), "tcp", n.cfg.Listen)
	}, n.logOpenRetries(n.cfg.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.listener = newLimitListener(listener, n.maxClientConns)
	return nil
}

// logOpenRetries returns a function that logs each failed attempt to open an address.
func (n *Node) logOpenRetries(address string) func(error) {
	return func(err error) {
		n.log.Warn("listen failed, retrying", "address", address, "error", err)
	}
}

// close closes the sockets of a node that does not run.
func (n *Node) close() {
	if n.peers != nil {
		n.peers.conn.Close()
	}
	if n.admin != nil {
		n.admin.Close()
	}
	if n.handover != nil {
		n.handover.discard()
	}
}

// Addr returns the address for clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Reload applies a configuration that replaces the node's own while it runs: discovery may have moved. All other keys
// hold from the start of the process.
func (n *Node) Reload(cfg Config) {
	n.log.Info("configuration replaced", "discovery", cfg.Discovery)
	n.discovery.SetAddress(cfg.Discovery)
}
