package node

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// maxReadAhead bounds the bytes that are read ahead while a request is being served. Further bytes stay in the socket.
	maxReadAhead = 4 << 10
	// maxPipelined bounds the bytes that a client may have sent behind a request. The socket of a client that sends more
	// may be full, and the node would not learn that such a client has closed the connection.
	maxPipelined = 48 << 10
)

// errReadAheadExceeded ends the connection of a client that sends more than maxPipelined bytes while a request is being
// served. Without a socket, maxReadAhead is the limit.
var errReadAheadExceeded = errors.New("client sent too many bytes while its previous request was being served")

// awaitDisconnect waits until the client disconnects, or until the HTTP server interrupts the read. It reads up to
// maxReadAhead bytes that arrive meanwhile: they begin the next requests. The HTTP server itself would stop reading at
// the first such byte, and would not notice a disconnect after it.
func (c *clientConn) awaitDisconnect(p []byte) error {
	discarded := 0
	for len(c.received)+discarded < maxReadAhead {
		n, err := c.receive(p)
		if c.openEnded { // after an open-ended request, no other request may follow
			discarded += n
		} else {
			c.keep(p[:n])
		}
		if err != nil {
			return err
		}
		if len(p) == 1 { // the HTTP server's buffer of one byte suffices for most clients, which send nothing here
			p = make([]byte, 1<<10)
		}
	}
	return c.awaitClose()
}

// awaitClose waits until the client disconnects or has sent more than maxPipelined bytes, and reads nothing.
func (c *clientConn) awaitClose() error {
	if c.raw == nil {
		return errReadAheadExceeded
	}
	// The system wakes the reader when bytes arrive and when the client disconnects.
	err := c.raw.Read(func(uintptr) bool { return c.peerHasClosed() || c.pipelinesTooMuch() })
	switch {
	case err != nil:
		return asReadError(err)
	case c.peerHasClosed():
		return io.EOF
	}
	c.limits.closes.add(closedPipelined)
	return errReadAheadExceeded
}

// pipelinesTooMuch reports whether the client has sent more than maxPipelined bytes behind its request.
func (c *clientConn) pipelinesTooMuch() bool {
	return int(c.readAhead.Load())+c.unreadBytes() > maxPipelined
}

const (
	// drainPause is the time between two checks for bytes that are to be discarded.
	drainPause = 10 * time.Millisecond
	// maxUnreadDiscarded bounds the bytes that are discarded behind a response which closes the connection.
	maxUnreadDiscarded = maxPipelined + 16<<10
)

// discardUnread discards bytes that arrive behind a response which closes the connection, for at most lingerTimeout, so
// that the close does not reset the connection before the client has read the response. It may be called while another
// goroutine reads from the connection.
func (c *clientConn) discardUnread(buffers *bufferPool) {
	if c.unreadBytes() == 0 {
		return
	}
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		closer.CloseWrite()
	}
	buffer := buffers.get()
	defer buffers.put(buffer)
	var n int
	var err error
	read := func(fd uintptr) { n, err = readRetryingInterrupts(int(fd), *buffer) }
	deadline := time.Now().Add(lingerTimeout)
	for discarded := 0; discarded < maxUnreadDiscarded && time.Now().Before(deadline); {
		yieldToOthers()
		controlErr := c.raw.Control(read)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			time.Sleep(drainPause)
		case controlErr != nil || err != nil || n == 0:
			return
		}
		discarded += max(n, 0)
	}
}

// asReadError returns an error of a RawConn with the name of the operation by which the HTTP server recognizes read
// errors of its connections.
func asReadError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		opErr.Op = "read"
		return opErr
	}
	return err
}
