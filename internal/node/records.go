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

// request is a client's request: what came in, and, for the loop alone, where it stands.
type request struct {
	id            string
	class         int
	tenant        int
	routingKey    uint64
	hasRoutingKey bool
	expectedWork  time.Duration
	clientRetry   bool
	deadline      time.Time
	forwarded     forwardedRequest
	bodyBytes     int64              // of the budget of bodies, by its own
	response      chan finalResponse // takes the one final answer

	attempts       []*attempt
	pending        int
	answered       bool
	disconnectedAt time.Duration // when its client was heard to have gone; 0: it has not
}

// lastStatus names how the last attempt ended; "" where there was none, or it is still out.
func (r *request) lastStatus() string {
	if n := len(r.attempts); n > 0 && r.attempts[n-1].over {
		return statusNames[r.attempts[n-1].status]
	}
	return ""
}

// attempt is one copy of a request on its way to a backend.
type attempt struct {
	call    *upstreamCall
	backend *backend
	sentAt  time.Duration
	over    bool // its outcome has been told
	// status is how it ended, where it is over.
	status balance.Status
}

// responseKind is the kind of a final answer.
type responseKind uint8

// finalResponse is the final answer to a request.
type finalResponse struct {
	kind             responseKind
	deadlineExceeded bool // the time for the request is up
	retryAfter       time.Duration
	body             []byte
	contentType      string
	stream           *stream // what is still to come of it; nil: nothing
}
