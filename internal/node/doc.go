// Package node is one process of a node: it carries the decisions of package balance out on real sockets.
//
// The event loop (event_loop.go, messages.go) owns the Balancer and everything that changes with its events; all other
// parts send it messages. Around it are the clients' connections (limit_listener.go, client_conn.go, client_server.go),
// the transport to backends (transport.go, conn_pool.go), the client of discovery (package discovery), the gossip with
// other nodes (peers.go), the second address (admin_view.go, counters.go, metrics.go, cordon_file.go), the membership
// of a fleet (fleet_member.go, maintenance.go), the hand-over between processes (handover.go) and the graceful shutdown
// (graceful_shutdown.go).
package node
