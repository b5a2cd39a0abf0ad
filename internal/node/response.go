package node

import (
	"time"
)

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
