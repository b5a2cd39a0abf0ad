// Package node implements the proxy process of a load-balancing node for cmd/hitchvale-node. Package balance makes the
// decisions, and this package carries them out on sockets.
//
// The event loop (event_loop.go, messages.go) owns the Balancer and all state that changes with its events. The other
// parts send messages to the event loop:
//   - the client side: connections (limit_listener.go, client_conn.go, conn_state.go, conn_tracker.go), requests
//     (client_server.go, read_request.go, request_body.go) and responses (respond.go, response_stream.go);
//   - the transport to backends (transport.go, package connpool);
//   - the client of the discovery service (package discovery) and the gossip with other nodes (peers.go);
//   - the admin address (admin_view.go, counters.go, metrics.go, cordon_file.go);
//   - the membership of a fleet (fleet_member.go, maintenance.go);
//   - the hand-over between two processes of a node (handover.go);
//   - the graceful shutdown: its schedule (shutdown_schedule.go) and its steps (graceful_shutdown.go, drain.go).
//
// The guard (guard.go) checks the invariants on attempts and connections as the last step, independently of the code
// that decides on them.
package node
