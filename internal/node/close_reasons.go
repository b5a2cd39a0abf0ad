package node

import "sync/atomic"

// closeReason is why the node itself closed a connection.
type closeReason uint8

// The reasons. The first five are of connections of clients, the others of connections to backends.
const (
	// closedEvicted: the node had waited for its client longest, and it made way for a new connection.
	closedEvicted closeReason = iota
	// closedForHandOver: it was idle at a process that hands over.
	closedForHandOver
	// closedDraining: it became idle at a draining node.
	closedDraining
	// closedShutdown: nothing had come on it when the node stopped admitting requests.
	closedShutdown
	// closedIncomplete: its request was incomplete when the last responses were due, and was rejected.
	closedIncomplete
	// closedIdle: it was idle for too long.
	closedIdle
	// closedStale: before its reuse it had ended or held unexpected bytes.
	closedStale
	// closedUnlisted: its backend takes no new requests.
	closedUnlisted
	// closedNotReusable: its response was incomplete, or was declared its last.
	closedNotReusable
	closeReasonCount
)

// closeReasonNames are the values of the metrics' label.
var closeReasonNames = [closeReasonCount]string{
	closedEvicted:     "room",
	closedForHandOver: "hand_over",
	closedDraining:    "drain",
	closedShutdown:    "end",
	closedIncomplete:  "unfinished",
	closedIdle:        "backend_idle",
	closedStale:       "backend_stale",
	closedUnlisted:    "backend_unlisted",
	closedNotReusable: "backend_used",
}

// closeCounters counts the connections that the node closed, by reason.
type closeCounters [closeReasonCount]atomic.Int64

// add counts one connection.
func (c *closeCounters) add(reason closeReason) { c[reason].Add(1) }
