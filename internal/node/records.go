package node

import (
	"encoding/json"
	"time"

	"hitchvale/balance"
)

// This file holds what the loop knows of backends, requests and attempts, and the final answers.

// backend is a backend that discovery has named since the start of the node.
type backend struct {
	number balance.EndpointID
	id     string
	to     endpoint
	phase  balance.Phase
	out    bool          // taken out by hand
	back   int64         // when it was put back last, as the record has it
	start  time.Duration // when its process started, on the loop's clock
	// stoppedAt is when it last stopped taking anything new; 0: it takes.
	stoppedAt time.Duration
	line      json.RawMessage
}

// takes tells whether a backend may be sent anything new.
func (b *backend) takes() bool { return b.phase == balance.Ready && !b.out }

// request is a client's request: what came in, and, for the loop alone, where it stands.
type request struct {
	id       string
	class    int
	tenant   int
	key      uint64
	hasKey   bool
	hint     time.Duration
	repeat   bool
	deadline time.Time
	message  message
	taken    int64       // of the budget of bodies, by its own
	reply    chan answer // takes the one final answer

	attempts []*attempt
	pending  int
	answered bool
	goneAt   time.Duration // when its client was heard to have gone; 0: it has not
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
	call *call
	to   *backend
	sent time.Duration
	over bool // its outcome has been told
	// status is how it ended, where it is over.
	status balance.Status
}

// answerKind is the kind of a final answer.
type answerKind uint8

// answer is the final answer to a request.
type answer struct {
	kind        answerKind
	late        bool // the time for the request is up
	retryIn     time.Duration
	body        []byte
	contentType string
	stream      *stream // what is still to come of it; nil: nothing
}
