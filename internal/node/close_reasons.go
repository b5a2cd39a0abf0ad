package node

import "sync/atomic"

// closeReason is why the node ended a connection itself.
type closeReason uint8

// The reasons, in the order of closeNames: of connections of clients, and of those to backends.
const (
	closedEvicted     closeReason = iota // the one that kept the node waiting longest made room for another
	closedForHandOver                    // it was idle at a process that hands over
	closedDraining                       // it came to rest at a node that drains
	closedShutdown                       // it was left when the node ended
	closedIncomplete                     // half a request was on it when the last answers were due: it was refused
	closedIdle                           // a connection to a backend was idle for too long
	closedStale                          // one to a backend had ended, or had something to read, before it was used again
	closedUnlisted                       // its backend takes nothing new
	closedNotReusable                    // it can't carry another request: its answer was not whole, or was its last
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"room", "hand_over", "drain", "end", "unfinished", "backend_idle", "backend_stale", "backend_unlisted",
	"backend_used"}

// closeCounts counts the connections that the node ended, by reason.
type closeCounters [closeReasonCount]atomic.Int64

func (c *closeCounters) add(reason closeReason) { c[reason].Add(1) }
