package node

import "time"

// responseKind is the kind of a final response.
type responseKind uint8

const (
	// responseServed: a backend's response.
	responseServed responseKind = iota
	// responseRejected: the node sheds the request; trying again is harmless.
	responseRejected
	// responseFailed: no attempt has succeeded, and none is left.
	responseFailed
	// responseDuplicate: another request with this id is in the table.
	responseDuplicate
	responseKinds
)

// finalResponse is the one response that the event loop gives to a request.
type finalResponse struct {
	kind             responseKind
	deadlineExceeded bool          // it came at or after the request's deadline
	retryAfter       time.Duration // of a rejected one: when the client may try again; 0: not given
	body             []byte
	contentType      string
	stream           *responseStream // the part of a served one that is still coming; nil: none
}
