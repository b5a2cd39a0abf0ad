package node

import (
	"encoding/json"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/connpool"
)

// backend is the event loop's state of a server that discovery has listed since the start of this process.
// balance.Endpoint is the server's entry in the endpoint list.
type backend struct {
	id         string             // the id in the endpoint list
	endpointID balance.EndpointID // the Balancer's id
	process    connpool.Server    // the process that is listed now
	startedAt  time.Duration      // when this process started, on the loop's clock
	phase      balance.Phase
	listEntry  json.RawMessage // the entry as discovery sent it
	cordoned   bool            // by an operator
	// uncordonedAt is when an operator last uncordoned the backend, in Unix nanoseconds as in the cordon file; 0: never.
	uncordonedAt int64
	// unavailableSince is when the backend last became unavailable, on the loop's clock; 0 while it is available.
	unavailableSince time.Duration
}

// available reports whether the backend may be sent requests and health checks.
func (b *backend) available() bool { return b.phase == balance.Ready && !b.cordoned }
