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

// Node is one process of a load-balancing node. New opens its sockets, and Run serves requests.
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
	memory    *runtimeMemory

	maxClientConns  int // limit for all processes of the node together
	maxBackendConns int // limit for all processes of the node together

	peers    *peers        // nil if the node exchanges no gossip
	admin    *admin.Server // nil without an admin address
	cordons  *cordonFile   // nil without an admin address
	handover *handover     // nil without an admin address
	fleet    *fleetMember  // nil if the node is not a member of a fleet

	firstListTimeout time.Duration
}

// New opens the sockets of a node. If the configuration has an admin address and another process of the node runs, New
// inherits the listener of that process. An address that is in use is retried for a short time. The error names the
// socket that could not be opened.
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
	n.memory = newRuntimeMemory(cfg)
	if cfg.Admin != "" {
		n.handover = newHandover(cfg, log)
		n.handover.connectToPredecessor()
		if n.handover.predecessor != nil {
			n.memory.share(handoverProcesses)
		}
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

// buildUpstream creates the pool of connections to backends and the event loop.
func (n *Node) buildUpstream(balancer *balance.Balancer) {
	settings := n.cfg.Settings.Config
	limits := settings.Limits
	n.maxClientConns, n.maxBackendConns = n.cfg.Limits.divideDescriptors(n.cfg.Admin != "")
	n.pool = newBackendPool(n.maxBackendConns, limits, &n.counters.closes)
	inlineReports := settings.LoadReports == balance.InlineLoadReports
	upstream := newUpstreamTransport(n.pool, inlineReports, &n.counters.attemptsWritten, n.log)
	n.loop = newEventLoop(balancer, upstream, n.counters, n.log)
	n.loop.guard = newGuard(settings, n.log)
	n.loop.begun = newBegunRequests(n.cfg.Limits.MemoryMB)
	n.metrics.guard = n.loop.guard
}

// buildServer creates the HTTP server for clients.
func (n *Node) buildServer() {
	n.server = newClientServer(n.loop, n.cfg.Settings, n.maxClientConns, n.log)
	n.server.bodyMemory = newBodyBudget(n.cfg.Limits.MemoryMB)
	n.server.streamBuffers = newBufferPool(n.cfg.Limits.MemoryMB)
	n.loop.upstream.bodyMemory = n.server.bodyMemory
	n.loop.upstream.streamBuffers = n.server.streamBuffers
	n.server.maxInFlight = min(n.server.maxInFlight, int64(n.maxBackendConns), int64(n.cfg.Limits.maxRequests()))
	n.server.streaming = n.cfg.Admin != ""
}

// buildDiscovery creates the client of discovery and connects it with the event loop.
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

// openPeers opens the socket for gossip if the configuration has an address for it.
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

// listen opens the admin address and the address for clients. For clients it uses the listener that was inherited from
// the predecessor, if there is one.
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
	conns := newClientLimits(n.cfg.Limits.MemoryMB, &n.counters.closes)
	if n.handover != nil && n.handover.inheritedListener != nil {
		n.listener = newLimitListener(n.handover.inheritedListener, 0, conns)
		n.listener.setPaused(true) // until the predecessor has stopped accepting
		return nil
	}
	listenConfig := net.ListenConfig{}
	if n.handover != nil {
		listenConfig.Control = sharePort // a predecessor that does not hand over may use the same address
	}
	listener, err := accept.OpenWithRetry(func() (net.Listener, error) {
		return listenConfig.Listen(context.Background(), "tcp", n.cfg.Listen)
	}, n.logOpenRetries(n.cfg.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.listener = newLimitListener(listener, n.maxClientConns, conns)
	return nil
}

// logOpenRetries returns a function that logs each failed attempt to open an address.
func (n *Node) logOpenRetries(address string) func(error) {
	return func(err error) {
		n.log.Warn("listen failed, retrying", "address", address, "error", err)
	}
}

// close closes the sockets of a node whose Run is never called.
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

// Addr returns the address on which the node accepts clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Reload applies a new configuration to the running node. It only takes over the address of discovery; all other keys
// keep the values that the process started with.
func (n *Node) Reload(cfg Config) {
	n.log.Info("configuration replaced, using its address of discovery", "discovery", cfg.Discovery)
	n.discovery.SetAddress(cfg.Discovery)
}
