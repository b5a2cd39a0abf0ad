package node

import (
	"cmp"
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"time"
)

const (
	// stallTimeout is how long a client may take to accept a piece of its response, and how long the peer of a stream
	// may neither accept nor send any bytes.
	stallTimeout = 10 * time.Second
	// streamBufferSize is the size of the buffer between reading and writing a stream, in bytes, on a node with enough
	// memory.
	streamBufferSize = 16 << 10
	// minStreamBufferSize is the size of these buffers on a node with little memory.
	minStreamBufferSize = 4 << 10
	// streamBufferDivisor divides the memory limit: the result, within these bounds, is the size of a stream's buffer.
	streamBufferDivisor = 8 << 10
)

// bufferPool holds the buffers that streams reuse. It is safe for concurrent use.
type bufferPool struct {
	size int // of each buffer, in bytes
	pool sync.Pool
}

// newBufferPool returns the pool for a memory limit in MiB; 0 stands for defaultMemoryMB.
func newBufferPool(memoryMB int64) *bufferPool {
	size := cmp.Or(memoryMB, defaultMemoryMB) << 20 / streamBufferDivisor
	return &bufferPool{size: int(min(max(size, minStreamBufferSize), streamBufferSize))}
}

// get returns a buffer. The caller gives it back with put.
func (p *bufferPool) get() *[]byte {
	if buffer, ok := p.pool.Get().(*[]byte); ok {
		return buffer
	}
	buffer := make([]byte, p.size)
	return &buffer
}

// put takes a buffer back.
func (p *bufferPool) put(buffer *[]byte) { p.pool.Put(buffer) }

// yieldToOthers lets the other goroutines run that are ready. It is called between two pieces of a stream and between
// two requests of a connection: the scheduler would let a goroutine whose reads and writes do not block run for 10 ms,
// and with hundreds of them all others would wait for seconds.
func yieldToOthers() { runtime.Gosched() }

// stallLimitedWriter writes to a connection. Each write has stallTimeout, counted from its beginning.
type stallLimitedWriter struct{ conn net.Conn }

// Write writes p, and fails with os.ErrDeadlineExceeded if the peer does not accept it within stallTimeout.
func (w stallLimitedWriter) Write(p []byte) (int, error) {
	w.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	return w.conn.Write(p)
}

// timedOut reports whether an error is the timeout of a read or a write.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
