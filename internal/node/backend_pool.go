package node

import (
	"net"
	"syscall"

	"hitchvale/balance"
	"hitchvale/internal/connpool"
)

// poolCloseReasons maps the pool's reasons for closing a connection to the reasons in the metrics.
var poolCloseReasons = [...]closeReason{
	connpool.ClosedIdle:        closedIdle,
	connpool.ClosedStale:       closedStale,
	connpool.ClosedUnlisted:    closedUnlisted,
	connpool.ClosedNotReusable: closedNotReusable,
}

// newBackendPool returns a pool of at most maxOpen connections to backends. The pool counts the connections that it
// closes in closeCounts.
func newBackendPool(maxOpen int, limits balance.Limits, closeCounts *closeCounters) *connpool.Pool {
	return connpool.New(connpool.Config{
		MaxOpen:        maxOpen,
		ConnectTimeout: limits.ConnectTimeout,
		IdleTimeout:    limits.IdleClose,
		Inspect:        inspectSocket,
		OnClose:        func(reason connpool.CloseReason) { closeCounts.add(poolCloseReasons[reason]) },
	})
}

// inspectSocket reports whether a connection is open and whether it has unread bytes. A connection that cannot be
// inspected counts as closed.
func inspectSocket(conn net.Conn) (open, unread bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	state := peekSocket(socket)
	return state != socketPeerClosed, state == socketReadable
}
