package lab

import (
	"encoding/json"
	"os"
)

// The classes of requests.
const (
	classRead  = "read"  // idempotent
	classClaim = "claim" // not idempotent
	classToken = "token" // idempotent for keyWindow, by its key
)

// The kinds of outcomes: what a client saw of a request.
const (
	kindServed             = "served"
	kindRejected           = "refused"     // 429 or 503
	kindFailed             = "failed"      // another status, or a response that broke off so that its client could tell
	kindBroken             = "broken"      // sent completely, and the connection ended without a response
	kindNoResponse         = "none"        // sent completely, and no response in time
	kindClosedUnread       = "shut"        // closed unread on two connections: failed, and not lost (TERMS)
	kindClientDisconnected = "left"        // the client closed the connection first
	kindUnconnected        = "unconnected" // no node accepted a connection: no request at all
	kindIncomplete         = "unwritten"   // the connection broke before the last byte was sent: not accepted
)

// Outcome is what a client saw of one request. Times are Unix times in nanoseconds.
type Outcome struct {
	Trace             string `json:"trace"`
	Node              int    `json:"node"` // the last one that it was sent to
	Class             string `json:"class"`
	SentAt            int64  `json:"sent_ns"`
	DialedAt          int64  `json:"dialed_ns"` // when its last connection was made
	DoneAt            int64  `json:"done_ns"`
	DisconnectedAt    int64  `json:"left_ns,omitempty"` // 0: the client did not disconnect
	ClientTimeout     int64  `json:"wait_ns"`           // nanoseconds
	Status            int    `json:"status"`            // 0: no response
	Kind              string `json:"kind"`
	FirstOnConnection bool   `json:"fresh,omitempty"`
	InitialPart       string `json:"early,omitempty"` // what its client did long before it sent the request
	// Resent: it crossed the close of its connection and was sent once more.
	Resent bool `json:"resent,omitempty"`
	// CrossedAt is when the close that it crossed was seen, with the reset after it.
	CrossedAt int64  `json:"crossed_ns,omitempty"`
	Error     string `json:"error,omitempty"`
}

// isUnanswered tells whether a request that the node accepted got no final response.
func (o Outcome) isUnanswered() bool { return o.Kind == kindBroken || o.Kind == kindNoResponse }

// writeOutcomes writes every request's outcome, one JSON object a line, so that a violation can be followed by trace
// id.
func writeOutcomes(path string, outcomes []Outcome) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(file)
	for _, outcome := range outcomes {
		if err := encoder.Encode(outcome); err != nil {
			file.Close()
			return err
		}
	}
	return file.Close()
}
