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

// The kinds of outcomes, which say what a client saw of its request.
const (
	kindServed             = "served"
	kindRejected           = "refused"     // 429 or 503
	kindFailed             = "failed"      // another status, or a response that the client recognizes as incomplete
	kindBroken             = "broken"      // sent completely, and the connection ended without a response
	kindNoResponse         = "none"        // sent completely, and no response came in time
	kindClosedUnread       = "shut"        // the node closed two connections unread: failed, but not lost (TERMS)
	kindClientDisconnected = "left"        // the client closed the connection before the response came
	kindUnconnected        = "unconnected" // no node accepted a connection, so nothing was sent
	kindIncomplete         = "unwritten"   // the connection broke before the last byte was sent, so no node accepted it
)

// Outcome is what a client saw of one request. Times are Unix times in nanoseconds.
type Outcome struct {
	Trace             string `json:"trace"`
	Node              int    `json:"node"` // the node that the request was sent to last
	Class             string `json:"class"`
	SentAt            int64  `json:"sent_ns"`
	DialedAt          int64  `json:"dialed_ns"` // when the request's last connection was made
	DoneAt            int64  `json:"done_ns"`
	DisconnectedAt    int64  `json:"left_ns,omitempty"` // 0: the client did not disconnect
	ClientTimeout     int64  `json:"wait_ns"`           // how long the client waits for its response, in nanoseconds
	Status            int    `json:"status"`            // 0: no response
	Kind              string `json:"kind"`
	FirstOnConnection bool   `json:"fresh,omitempty"`
	InitialPart       string `json:"early,omitempty"` // the part that the client sent long before the remainder
	// Resent says that the request crossed the close of its connection and was sent once more.
	Resent bool `json:"resent,omitempty"`
	// CrossedAt is when the client saw the close that the request crossed, and the reset that followed the close.
	CrossedAt int64  `json:"crossed_ns,omitempty"`
	Error     string `json:"error,omitempty"`
}

// isUnanswered reports whether a request that the node accepted got no final response.
func (o Outcome) isUnanswered() bool { return o.Kind == kindBroken || o.Kind == kindNoResponse }

// writeOutcomes writes the outcome of every request, one JSON object a line. The request of a violation can be found
// there by its trace id.
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
