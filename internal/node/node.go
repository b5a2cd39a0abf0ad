// Package node is one real node: the Balancer of package balance between clients, backends, discovery and peers
// on real sockets.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/accept"
	"hitchvale/internal/admin"
	"hitchvale/internal/siteconfig"
)

const (
	// clearFor is how long there must be room to accept, for the backlog to be empty.
	clearFor = 50 * time.Millisecond
	// firstListWithin is how long a process waits for the first pushed list before it says that it is ready. An agent
	// answers at once; one that is down must not keep the node away, which has 30 s to be ready.
	firstListWithin = 3 * time.Second
	// stillFor is how long nothing may be in flight before connections that never sent a request are cut.
	stillFor, lookEvery = 300 * time.Millisecond, 10 * time.Millisecond
)

// Node is one node. New opens its sockets, Run serves.
type Node struct {
	cfg      Config
	log      *slog.Logger
	listener *limitListener
	peers    *peers
	pool     *connPool
	loop     *eventLoop
	server   *clientServer
	disco    *discovery
	figures  *figures
	metrics  *metrics
	clients  int           // connections of clients, over all processes of the node
	backends int           // and to backends
	admin    *admin.Server // nil: none is told
	cordons  *cordonFile   // where there is an admin
	handover *handover     // likewise
	fleet    *fleetPart    // where the configuration has a part in the fleet

	firstList time.Duration // how long Run waits for a pushed list before the node is ready without
}

// New returns a node that is ready to run.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	bal, err := balance.New(cfg.Settings.Config, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, firstList: firstListWithin, figures: newFigures(cfg.Settings.Classes)}
	n.metrics = newMetrics(n.figures)
	limits := cfg.Settings.Config.Limits
	if cfg.Admin != "" {
		n.handover = newHandover(cfg, log)
		n.handover.claim()
		if list, ok := n.handover.list(cfg); ok {
			n.cfg.Known = list
		}
	}
	n.clients, n.backends = cfg.Limits.share(cfg.Admin != "")
	n.pool = newConnPool(n.backends, limits.ConnectTimeout, limits.IdleClose)
	n.pool.closes = &n.figures.closes
	n.loop = newEventLoop(bal, newUpstreamTransport(n.pool, cfg.Settings.Config.LoadReports == balance.InlineLoadReports, &n.figures.upstream, log),
		n.figures, log)
	n.loop.guard = newGuard(cfg.Settings.Config, log)
	n.metrics.guard = n.loop.guard
	n.server = newClientServer(n.loop, cfg.Settings, n.clients, log)
	n.server.bodyMemory = newMemoryBudget(cfg.Limits.MemoryMB)
	n.loop.upstream.bodyMemory = n.server.bodyMemory
	n.server.maxInFlight = min(n.server.maxInFlight, int64(n.backends))
	n.server.streaming = cfg.Admin != ""
	n.disco = newDiscovery(cfg.Discovery, cfg.Registry, cfg.Settings, log,
		func(list List) {
			kind := balance.ListChanges
			if list.Complete {
				kind = balance.CompleteList
			}
			n.metrics.revision.Set(float64(list.Revision))
			n.loop.post(endpointListReceived{kind: kind, list: list})
		},
		func() { n.loop.post(discoveryFailed{}) })
	n.disco.have, n.disco.after = len(n.cfg.Known.Members) > 0, n.cfg.Known.Revision
	n.disco.timed = n.metrics.called
	n.metrics.revision.Set(float64(n.cfg.Known.Revision))
	n.loop.requestDiscovery = n.disco.ask
	n.loop.takeDiscoveryCalls = func() int64 { return n.disco.calls.Swap(0) }
	if cfg.PeerListen != "" {
		n.peers, err = accept.Open(func() (*peers, error) { return listenPeers(&cfg) }, n.waitsFor(cfg.PeerListen))
		if err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		n.loop.sendToPeer = n.peers.tell
	}
	if cfg.Fleet != nil {
		n.fleet = newFleetPart(n)
	}
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// listen opens the addresses of the node.
func (n *Node) listen() (err error) {
	if n.cfg.Admin != "" {
		n.cordons = newCordonFile(n.cfg.StateDir, n.cfg.Name, n.log)
		if n.admin, err = accept.Open(func() (*admin.Server, error) {
			return admin.Listen(n.cfg.Admin, adminView{n}, n.log)
		}, n.waitsFor(n.cfg.Admin)); err != nil {
			return err
		}
	}
	if n.handover != nil && n.handover.inherited != nil {
		n.listener = newLimitListener(n.handover.inherited, 0)
		n.listener.setPaused(true) // until the old process says that it has stopped
		return nil
	}
	lc := net.ListenConfig{}
	if n.handover != nil {
		lc.Control = sharePort // with an old process that does not answer
	}
	l, err := accept.Open(func() (net.Listener, error) {
		return lc.Listen(context.Background(), "tcp", n.cfg.Listen)
	}, n.waitsFor(n.cfg.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.listener = newLimitListener(l, n.clients)
	return nil
}

// waitsFor logs that the node waits until it can open an address.
func (n *Node) waitsFor(addr string) func(error) {
	return func(err error) {
		n.log.Warn("an address can't be opened yet: trying again", "address", addr, "error", err)
	}
}

// close ends a node that does not run.
func (n *Node) close() {
	if n.peers != nil {
		n.peers.conn.Close()
	}
	if n.admin != nil {
		n.admin.Close()
	}
	if n.handover != nil {
		n.handover.close()
	}
}

// Addr is the address that the node listens on for clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Reload takes in a configuration that has replaced the node's own while it runs: discovery may have moved. All
// else is fixed at the start.
func (n *Node) Reload(cfg Config) {
	n.log.Info("configuration replaced", "discovery", cfg.Discovery)
	n.disco.move(cfg.Discovery)
}

// Run serves until ctx ends, then answers all that it has taken and returns.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	if n.cordons != nil {
		n.loop.applyCordons(n.cordons.start())
		wg.Go(func() {
			n.cordons.follow(work, func(c cordons) { n.loop.post(cordonsChanged{cordons: c}) })
		})
	}
	// A pushed list counts as told from the first moment of a process, so it must not serve on an older one.
	n.loop.awaitingFirstList = !n.cfg.Settings.Config.PollDiscovery && (n.handover == nil || n.handover.inherited == nil)
	first := time.AfterFunc(n.firstList, func() { n.loop.post(firstListOverdue{}) })
	defer first.Stop()
	known := n.cfg.Known
	known.Complete = true
	n.loop.updateEndpoints(balance.CachedList, known)
	wg.Go(func() { n.loop.run(work.Done()) })
	wg.Go(func() { n.pool.run(work) })
	wg.Go(func() { n.disco.run(work) })
	if n.peers != nil {
		wg.Go(func() {
			n.peers.run(work, func(peer int, payload []byte) {
				n.loop.post(peerMessageReceived{peer: peer, payload: payload})
			})
		})
	}
	if n.fleet != nil {
		wg.Go(func() { n.fleet.run(work) })
	}
	srv := n.server.httpServer()
	listenerLost := make(chan error, 1)
	n.listener.logFailures(n.log)
	go func() { listenerLost <- srv.Serve(n.listener) }()
	if n.admin != nil {
		wg.Go(func() {
			if err := n.admin.Run(work); err != nil {
				n.log.Error("the second address has ended, requests are served on: restart the node when it suits", "error", err)
			}
		})
	}
	n.log.Info("serving", "name", n.cfg.Name, "listen", n.Addr().String())
	site := n.cfg.Settings.Config
	n.log.Info("told", "nodes", site.Instances, "index", site.Index, "zone", site.Zone, "limits", site.Limits,
		"prices", site.Prices, "rules", site.Rules, "classes", site.Classes, "machine", n.cfg.Limits)
	var replaced chan struct{} // stays nil where nobody can
	if n.handover != nil {
		replaced = make(chan struct{})
		wg.Go(func() { n.succession(work, replaced) })
	}
	var lost error
	select {
	case err := <-listenerLost:
		// No later call could accept again. What has been taken is still owed.
		lost = fmt.Errorf("accepting on %s, restart the node: %w", n.cfg.Listen, err)
		n.log.Error("the listener is lost: ending", "error", err)
	case <-replaced:
		n.log.Info("replaced, and done")
	case <-ctx.Done():
	}
	return errors.Join(lost, n.leave(srv))
}

// leave ends the node in order: it goes on accepting until nobody sends anything new, answers what it has taken, and closes
// each connection after an answer or once it rests. What it takes until then is answered before it may be killed.
func (n *Node) leave(srv *http.Server) error {
	n.log.Info("leaving")
	schedule := n.server.shutdown
	n.server.injectShutdownFault()
	schedule.start()
	if n.handover != nil {
		n.handover.giveBack()
	}
	ctx, cancel := n.leaveWithin()
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	watched, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	wg.Go(func() { n.answerInTime(watched) })

	pause(ctx, time.Until(schedule.acceptUntil().Time()))
	var err error
	for accepting := true; accepting; {
		if !n.server.handedOver.Load() {
			n.emptyBacklog(ctx)
			err, accepting = n.listener.Close(), false
		}
		n.server.drain(ctx)
		if n.server.handedOver.Load() {
			break // the listener stayed open for the case that the other process ends: what waits there had nobody else
		}
	}
	n.listener.Close()
	srv.Close()
	n.log.Info("left")
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// leaveWithin bounds the time for which a node that leaves waits for what it can't end itself: answers that are still being
// passed on, and requests that are. Where they may have any length they take as long as they do, and whoever can't wait
// kills the process.
func (n *Node) leaveWithin() (context.Context, context.CancelFunc) {
	if n.server.streaming {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), gracePeriodBase+2*longestDeadline(n.cfg.Settings))
}

// emptyBacklog accepts what stands in the backlog, for want of room or since accept fails: that has been taken too, and closing
// the listener would reset it.
func (n *Node) emptyBacklog(ctx context.Context) {
	for free := time.Duration(0); free < clearFor && ctx.Err() == nil && !n.server.shutdown.responsesDue(); free += lookEvery {
		pause(ctx, lookEvery)
		if n.listener.backlogged() {
			free = 0
		}
		if !n.server.shutdown.admits() {
			n.server.conns.closeWaiting() // who waits is answered
		}
	}
}

// answerInTime has all that was taken answered when that is due, and counts what is not.
func (n *Node) answerInTime(ctx context.Context) {
	schedule := n.server.shutdown
	pause(ctx, time.Until(schedule.responseDeadline().Time()))
	for checked := false; ctx.Err() == nil; {
		n.loop.post(finalResponsesDue{})
		pause(ctx, lookEvery)
		if !checked && schedule.expired() {
			checked = true
			n.loop.post(shutdownCheckDue{})
		}
	}
}

// longestDeadline is the longest time for which a request may be in flight.
func longestDeadline(s siteconfig.Settings) time.Duration {
	var longest time.Duration
	for _, c := range s.Config.Classes {
		longest = max(longest, cmp.Or(c.Deadline, defaultDeadline))
	}
	return longest
}
