// Package node is one process of a node: it carries the decisions of package balance out on real sockets.
//
// The event loop (eventloop.go, messages.go) owns the Balancer and everything that changes with its events; all other
// parts send it messages. Around it are the clients' connections (listener.go to respond.go), the transport to backends
// (transport.go, connpool.go), the client of discovery (package discovery), the gossip with other nodes (peers.go), the
// second address (adminview.go, counters.go, metrics.go, cordonfile.go), the membership of a fleet (fleetmember.go,
// maintenance.go), the hand-over between processes (handover.go) and the graceful shutdown (gracefulshutdown.go).
package node
