// Package node is one process of a node: it carries the decisions of package balance out on real sockets.
//
// The event loop (event_loop.go, messages.go) owns the Balancer and everything that changes with its events; all other
// parts send it messages. Around it are
//   - the clients' side: connections (limit_listener.go, client_conn.go, conn_state.go, conn_tracker.go), requests
//     (client_server.go, read_request.go, request_body.go) and responses (respond.go, response_stream.go);
//   - the transport to backends (transport.go, package connpool);
//   - the client of discovery (package discovery) and the gossip with other nodes (peers.go);
//   - the second address (admin_view.go, counters.go, metrics.go, cordon_file.go);
//   - the membership of a fleet (fleet_member.go, maintenance.go);
//   - the hand-over between processes (handover.go);
//   - the graceful shutdown: its schedule (shutdown_schedule.go) and its steps (graceful_shutdown.go, drain.go).
//
// The guard (guard.go) checks the invariants of sending and closing last, whatever was decided.
package node
