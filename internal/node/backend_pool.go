package node

import (
	"net"
	"syscall"

	"hitchvale/balance"
	"hitchvale/internal/connpool"
)

// poolCloseReasons maps the pool's reasons for closing a connection to those of the metrics.
var poolCloseReasons = [...]closeReason{
	connpool.ClosedIdle:        closedIdle,
	connpool.ClosedStale:       closedStale,
	connpool.ClosedUnlisted:    closedUnlisted,
	connpool.ClosedNotReusable: closedNotReusable,
}

// newBackendPool returns the pool of at most maxOpen connections to backends, which counts those that it closes.
func newBackendPool(maxOpen int, limits balance.Limits, closeCounts *closeCounters) *connpool.Pool {
	return connpool.New(connpool.Config{
		MaxOpen:        maxOpen,
		ConnectTimeout: limits.ConnectTimeout,
		IdleTimeout:    limits.IdleClose,
		Inspect:        inspectSocket,
		OnClose:        func(reason connpool.CloseReason) { closeCounts.add(poolCloseReasons[reason]) },
	})
}

// inspectSocket says whether a connection is open, and whether bytes wait on it. One that can't be inspected counts
// as closed.
func inspectSocket(conn net.Conn) (open, unread bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	state := peekSocket(socket)
	return state != socketPeerClosed, state == socketReadable
}
