package node

import (
	"errors"
	"os"
	"sync"
	"time"
)

const (
	// streamStallTimeout is how long the other side may take, or give, nothing of what is streamed.
	streamStallTimeout = 10 * time.Second
	// streamBufferSize is how much is streamed at once, in bytes.
	streamBufferSize = 16 << 10
)

// streamBuffers are the buffers of streams.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// timedOut reports whether an error only says that nothing came in time.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
