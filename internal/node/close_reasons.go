package node

import "sync/atomic"

// closeReason is the reason why the node itself closed a connection.
type closeReason uint8

// The first eight reasons apply to connections of clients, the others to connections to backends.
const (
	// closedEvicted: the node needed room for a new connection, and had waited for this client the longest.
	closedEvicted closeReason = iota
	// closedForHandOver: the connection was idle at a process that hands over to its successor.
	closedForHandOver
	// closedDraining: the connection became idle at a draining node.
	closedDraining
	// closedShutdown: nothing had been received on the connection when the node stopped admitting requests.
	closedShutdown
	// closedIncomplete: the request was incomplete when the last responses were due, and was rejected.
	closedIncomplete
	// closedHeadTooLarge: a request's head had more fields or bytes than the node accepts.
	closedHeadTooLarge
	// closedHeadMemory: there was no memory for a request's head, which took more than most.
	closedHeadMemory
	// closedPipelined: the client had sent too much behind a request.
	closedPipelined
	// closedIdle: the connection was idle for too long.
	closedIdle
	// closedStale: before its reuse, the connection was found closed by the backend or had unexpected bytes.
	closedStale
	// closedUnlisted: the backend takes no new requests.
	closedUnlisted
	// closedNotReusable: the response was incomplete, or the backend declared it the last on the connection.
	closedNotReusable
	closeReasonCount
)

// closeReasonNames are the values of the metric's label.
var closeReasonNames = [closeReasonCount]string{
	closedEvicted:      "room",
	closedForHandOver:  "hand_over",
	closedDraining:     "drain",
	closedShutdown:     "end",
	closedIncomplete:   "unfinished",
	closedHeadTooLarge: "head_too_large",
	closedHeadMemory:   "head_memory",
	closedPipelined:    "pipelined",
	closedIdle:         "backend_idle",
	closedStale:        "backend_stale",
	closedUnlisted:     "backend_unlisted",
	closedNotReusable:  "backend_used",
}

// closeCounters counts the connections that the node closed, by reason. Any goroutine may use it.
type closeCounters [closeReasonCount]atomic.Int64

// add counts one connection.
func (c *closeCounters) add(reason closeReason) { c[reason].Add(1) }
