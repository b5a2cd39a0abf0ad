package node

import (
	"io"
	"net"
	"time"

	"hitchvale/internal/httpframing"
)

const (
	// maxHeadFields bounds the header fields of a request.
	maxHeadFields = 256
	// maxHeadLength bounds the length of a request's head in bytes.
	maxHeadLength = maxHeadBytes + 4<<10
	// parsedFieldMemory is how many bytes a parsed header field takes beside its text.
	parsedFieldMemory = 200
	// guaranteedHeadMemory is how many bytes the head of each request may take, even if the budget of all heads is used
	// up.
	guaranteedHeadMemory = 4 << 10
	// headBufferStep is the step, in bytes, in which the buffer of a head that arrives in pieces grows.
	headBufferStep = 2 << 10
)

// headReader is the state of the head that is being received on a connection.
type headReader struct {
	scanner   httpframing.Scanner
	startedAt time.Time // when the first byte arrived, or the connection was opened; zero before a later head
	memory    int64     // bytes that the head holds of the budget; guarded by the lock of connState
}

// headRejection is the reason why a head is rejected before the HTTP server reads it.
type headRejection struct {
	response string
	reason   closeReason
}

// Responses to a head that the HTTP server does not read. They close the connection.
var (
	headTooLarge = headRejection{
		response: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		reason:   closedHeadTooLarge,
	}
	headMemoryUsedUp = headRejection{
		response: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		reason:   closedHeadMemory,
	}
	headIncomplete = headRejection{response: headMemoryUsedUp.response, reason: closedIncomplete}
)

// readHead receives bytes until a head is complete, and returns its first bytes. The HTTP server gets no part of a head
// before, since it parses each field as it arrives, and a parsed field takes much more memory than its text.
func (c *clientConn) readHead(p []byte) (int, error) {
	for {
		complete := c.scanHead()
		if rejection := c.checkHead(); rejection != nil {
			return 0, c.rejectHead(p, *rejection)
		}
		if complete {
			c.beginRequest()
			return c.returnHead(p), nil
		}
		if len(c.received) > 0 {
			c.markIncomplete()
		}
		c.limitHeadTime()
		n, err := c.receiveOpen(p)
		c.keep(p[:n])
		if err != nil {
			return 0, err
		}
	}
}

// scanHead scans the received bytes that have not been scanned yet, and reports whether they complete the head.
func (c *clientConn) scanHead() (complete bool) {
	unscanned := c.received[c.head.scanner.Length():]
	if len(unscanned) == 0 {
		return false
	}
	if c.head.startedAt.IsZero() {
		c.head.startedAt = time.Now()
	}
	_, complete = c.head.scanner.Scan(unscanned)
	return complete
}

// checkHead returns why the head has to be rejected, as far as it has been received; nil if it need not be.
func (c *clientConn) checkHead() *headRejection {
	length, fields := c.head.scanner.Length(), c.head.scanner.Fields()
	if length > maxHeadLength || fields > maxHeadFields {
		return &headTooLarge
	}
	// The text stands twice: as it was received, and in the parsed fields.
	if !c.reserveHead(2*int64(length) + parsedFieldMemory*int64(fields)) {
		return &headMemoryUsedUp
	}
	return nil
}

// reserveHead takes memory for the current head from the budget, so that it holds size bytes in total. It reports
// whether the head may take them.
func (c *clientConn) reserveHead(size int64) bool {
	if size <= guaranteedHeadMemory {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	more := size - c.head.memory
	if more <= 0 {
		return true
	}
	if c.phase != connOpen || !c.limits.headMemory.tryAcquire(more) {
		return false
	}
	c.head.memory += more
	return true
}

// releaseHead gives the memory of the current head back to the budget. It is called once the head's request has ended
// or its connection has been closed.
func (c *clientConn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.memory > 0 {
		c.limits.headMemory.release(c.head.memory)
		c.head.memory = 0
	}
}

// beginRequest records the request whose head is complete.
func (c *clientConn) beginRequest() {
	c.headLeft = c.head.scanner.Length()
	head := httpframing.ParseHead(c.received[:c.headLeft], c.head.startedAt)
	c.head.scanner.Reset()
	c.head.startedAt = time.Time{}
	c.bodyLeft = head.ContentLength
	c.openEnded = head.LastOnConnection
	c.beginBody(int64(len(c.received)-c.headLeft), head)
	c.addHead(head)
}

// keep appends bytes to the received ones. The buffer grows in small steps, since it holds little more than one head.
func (c *clientConn) keep(data []byte) {
	needed := len(c.received) + len(data)
	if needed > cap(c.received) {
		size := needed
		if len(c.received) > 0 {
			size = (needed + headBufferStep - 1) / headBufferStep * headBufferStep
		}
		c.received = append(make([]byte, 0, size), c.received...)
	}
	c.received = append(c.received, data...)
	c.readAhead.Store(int64(len(c.received)))
}

// limitHeadTime sets the deadline of a head of which some bytes have been received, or of the first head. The HTTP
// server does not see a head before it is complete, so that its own limit does not apply.
func (c *clientConn) limitHeadTime() {
	if !c.head.startedAt.IsZero() {
		c.Conn.SetReadDeadline(c.head.startedAt.Add(headTimeout))
	}
}

const (
	// rejectionTimeout bounds the write of a rejection of an incomplete head. The response fits into the buffer of a
	// client that reads, so that only a client which does not read delays the write.
	rejectionTimeout = 20 * time.Millisecond
	// lingerTimeout is how long a client has to read the rejection of its head and to close the connection.
	lingerTimeout = time.Second
)

// rejectHead rejects the head that is being received, and discards bytes for a short time, so that the client reads the
// response. It returns the error that ends the connection.
func (c *clientConn) rejectHead(p []byte, rejection headRejection) error {
	if !c.rejectWith(rejection) {
		return net.ErrClosed
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	return c.discardAfterClose(p)
}

// rejectIncomplete rejects an incomplete head because the process ends, and reports whether there was one. The
// connection stays open until the client closes it, because a reset could overtake the response.
func (c *clientConn) rejectIncomplete() bool { return c.rejectWith(headIncomplete) }

// rejectWith writes a rejection if the client has sent an incomplete head, and reports whether it did. No further
// request of the connection is served.
func (c *clientConn) rejectWith(rejection headRejection) bool {
	if !c.reject() {
		return false
	}
	c.limits.closes.add(rejection.reason)
	c.Conn.SetWriteDeadline(time.Now().Add(rejectionTimeout))
	io.WriteString(c.Conn, rejection.response)
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		closer.CloseWrite()
	}
	return true
}
