package node

import (
	"errors"
	"os"
	"sync"
	"time"
)

const (
	// streamStallTimeout is how long the peer of a stream may neither accept nor send any bytes.
	streamStallTimeout = 10 * time.Second
	// streamBufferSize is the size of the buffer between reading and writing a stream, in bytes.
	streamBufferSize = 16 << 10
)

// streamBuffers holds the buffers that streams reuse.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// timedOut reports whether an error is the timeout of a read or a write.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
