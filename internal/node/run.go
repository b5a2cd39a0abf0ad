package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hitchvale/balance"
)

// firstListTimeout is how long a process waits for the first pushed list before it reports ready without that list. A
// discovery service that is up answers immediately. If it is down, the node must start nevertheless, and it has to be
// ready within 30 s.
const firstListTimeout = 3 * time.Second

// Run serves until ctx ends, a successor has replaced this process, or the listener can't accept any more. Run then
// shuts down gracefully and returns. The error comes from the listener.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	n.runCordons(background, &running)
	defer n.loadKnownList().Stop()
	running.Go(func() { n.loop.run(background.Done()) })
	running.Go(func() { n.pool.Run(background) })
	running.Go(func() { n.discovery.Run(background) })
	running.Go(func() { n.server.conns.relieve(background, n.listener) })
	n.runPeers(background, &running)
	if n.fleet != nil {
		running.Go(func() { n.fleet.run(background) })
	}
	server := n.server.httpServer()
	listenerLost := make(chan error, 1)
	n.listener.logFailures(n.log)
	go func() { listenerLost <- server.Serve(n.listener) }()
	n.runAdmin(background, &running)
	n.logStart()
	var replaced chan struct{} // nil: no successor can replace this process
	if n.handover != nil {
		replaced = make(chan struct{})
		running.Go(func() { n.runHandover(background, replaced) })
	}
	listenerErr := n.awaitEnd(ctx, listenerLost, replaced)
	return errors.Join(listenerErr, n.shutDown(server))
}

// awaitEnd waits until this process has to shut down. It returns an error only if the listener has failed in a way in
// which every later call of accept would fail too.
func (n *Node) awaitEnd(ctx context.Context, listenerLost <-chan error, replaced <-chan struct{}) error {
	select {
	case err := <-listenerLost:
		n.log.Error("listener lost, shutting down", "error", err)
		return fmt.Errorf("accepting on %s, restart the node: %w", n.cfg.Listen, err)
	case <-replaced:
		n.log.Info("replaced by successor, ending this process")
	case <-ctx.Done():
	}
	return nil
}

// runCordons applies the recorded cordons, and starts to watch for changes that other processes of the node make.
func (n *Node) runCordons(ctx context.Context, running *sync.WaitGroup) {
	if n.cordons == nil {
		return
	}
	n.loop.applyCordons(n.cordons.loadAtStart())
	running.Go(func() {
		n.cordons.watch(ctx, func(record cordonRecord) { n.loop.post(cordonsChanged{record: record}) })
	})
}

// loadKnownList gives the event loop the endpoint list of the configuration or of the predecessor. Where discovery
// pushes lists, the node counts as notified of the current list from the start of its process. A node with only the
// list of its configuration is therefore not ready until discovery has pushed a list, or until the returned timer
// fires.
func (n *Node) loadKnownList() *time.Timer {
	inherited := n.handover != nil && n.handover.inheritedListener != nil
	n.loop.awaitingFirstList = !n.cfg.Settings.Config.PollDiscovery && !inherited
	timer := time.AfterFunc(n.firstListTimeout, func() { n.loop.post(firstListOverdue{}) })
	known := n.cfg.Known
	known.Complete = true
	n.loop.updateEndpoints(balance.CachedList, known)
	return timer
}

// runPeers starts the exchange of gossip with other nodes, if it is configured.
func (n *Node) runPeers(ctx context.Context, running *sync.WaitGroup) {
	if n.peers == nil {
		return
	}
	running.Go(func() {
		n.peers.run(ctx, func(peer int, payload []byte) {
			n.loop.post(peerMessageReceived{peer: peer, payload: payload})
		})
	})
}

// runAdmin starts the admin server, if it is configured. The node continues to serve requests if the admin server ends.
func (n *Node) runAdmin(ctx context.Context, running *sync.WaitGroup) {
	if n.admin == nil {
		return
	}
	running.Go(func() {
		if err := n.admin.Run(ctx); err != nil {
			n.log.Error("admin server ended, still serving requests", "error", err)
		}
	})
}

// logStart logs the addresses and settings that the node runs with.
func (n *Node) logStart() {
	n.log.Info("serving", "name", n.cfg.Name, "listen", n.Addr().String())
	settings := n.cfg.Settings.Config
	n.log.Info("settings",
		"nodes", settings.Instances,
		"index", settings.Index,
		"zone", settings.Zone,
		"limits", settings.Limits,
		"prices", settings.Prices,
		"rules", settings.Rules,
		"classes", settings.Classes,
		"machine", n.cfg.Limits)
}
