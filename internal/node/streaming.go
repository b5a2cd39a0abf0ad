package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// stallTimeout is how long a client may take to accept a piece of its response, and how long the peer of a stream
	// may neither accept nor send any bytes.
	stallTimeout = 10 * time.Second
	// streamBufferSize is the size of the buffer between reading and writing a stream, in bytes.
	streamBufferSize = 16 << 10
)

// streamBuffers holds the buffers that streams reuse.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// stallLimitedWriter writes to a connection. Each write has stallTimeout, counted from its beginning.
type stallLimitedWriter struct{ conn net.Conn }

// Write writes p, and fails with os.ErrDeadlineExceeded if the peer does not accept it within stallTimeout.
func (w stallLimitedWriter) Write(p []byte) (int, error) {
	w.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	return w.conn.Write(p)
}

// timedOut reports whether an error is the timeout of a read or a write.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
