package node

import (
	"encoding/json"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/connpool"
)

// backend is a server that discovery has listed since the start of the node, and what the event loop knows of it.
// balance.Endpoint is its entry in the endpoint list.
type backend struct {
	id         string             // discovery's
	endpointID balance.EndpointID // the Balancer's
	process    connpool.Server    // the one that is listed now
	startedAt  time.Duration      // when that process started, on the loop's clock
	phase      balance.Phase
	listEntry  json.RawMessage // as discovery sent it
	cordoned   bool            // by an operator
	// uncordonedAt is when an operator last uncordoned it, in the cordon file's Unix nanoseconds; 0: never.
	uncordonedAt int64
	// unavailableSince is when it last became unavailable, on the loop's clock; 0 while it is available.
	unavailableSince time.Duration
}

// available says whether the backend may be sent requests and health checks.
func (b *backend) available() bool { return b.phase == balance.Ready && !b.cordoned }
