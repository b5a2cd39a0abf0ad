package node

import "time"

// responseKind is the kind of a final response.
type responseKind uint8

const (
	// responseServed: the response comes from a backend.
	responseServed responseKind = iota
	// responseRejected: the node sheds the request. The client may safely send it again.
	responseRejected
	// responseFailed: no attempt has succeeded, and no further attempt is made.
	responseFailed
	// responseDuplicate: another request with the same id is in the table, or may have run and must not run twice.
	responseDuplicate
	responseKinds
)

// finalResponse is the only response that the event loop gives to a request.
type finalResponse struct {
	kind             responseKind
	deadlineExceeded bool          // the response was given at or after the request's deadline
	retryAfter       time.Duration // for responseRejected: when the client may try again; 0: not given
	body             []byte
	contentType      string
	held             *heldMemory     // the memory that body holds of the budget
	stream           *responseStream // for responseServed: the response, if it was not read completely
}

// discard drops a response that is not given to its client.
func (r finalResponse) discard() {
	r.held.release()
	if r.stream != nil {
		r.stream.release(false)
	}
}
