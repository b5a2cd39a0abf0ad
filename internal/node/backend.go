package node

import (
	"encoding/json"
	"time"

	"hitchvale/balance"
)

// This file holds what the loop knows of backends, requests and attempts, and the final answers.

// backend is a backend that discovery has named since the start of the node.
type backend struct {
	endpointID   balance.EndpointID
	id           string
	process      backendProcess
	phase        balance.Phase
	cordoned     bool          // taken out by hand
	uncordonedAt int64         // when it was put back last, as the record has it
	startedAt    time.Duration // when its process started, on the loop's clock
	// stoppedAt is when it last stopped taking anything new; 0: it takes.
	unavailableSince time.Duration
	listEntry        json.RawMessage
}

// available tells whether a backend may be sent anything new.
func (b *backend) available() bool { return b.phase == balance.Ready && !b.cordoned }
