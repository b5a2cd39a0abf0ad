package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hitchvale/internal/monotime"
)

const (
	// lineMost bounds a line of a head; the HTTP server bounds the whole.
	maxHeadLine = 2 * maxHeadBytes
	// aheadMost bounds what is read behind a request that is being served.
	maxReadAhead = maxHeadBytes + maxBodyBytes
)

// errFlood ends the connection of a peer that sends on and on behind a request that is being served: no client does.
var errPipelineFlood = errors.New("too much behind a request that is being served")

// framedConn hands the HTTP server one message at a time and judges how the head of each says where it ends.
//
// net/http takes a head that gives both Content-Length and Transfer-Encoding by the latter, says so to nobody
// and reads on: what the sender meant as the rest of the body is then taken for a request of its own. It also
// overlooks Transfer-Encoding in HTTP/1.0. The handler no longer sees either header, so the head is read here.
type clientConn struct {
	net.Conn
	raw         syscall.RawConn // of the connection, once something has been read of it; nil where the system has none
	buffered    []byte          // read past the end of a head
	line        []byte          // the line of a head so far
	begun       bool            // the request line has been read
	next        head            // the head that is coming in
	bodyLeft    int64           // bytes of the body to come
	lastMessage bool            // where this message ends only its reader can tell: no other may follow on the connection

	openedAt   time.Time
	lastByteAt monotime.Atomic // when the last byte came; zero: none has

	mu        sync.Mutex
	closed    bool   // this side has closed the connection
	receiving bool   // some of a message has been read that the handler has not taken
	serving   bool   // a message is with the handler
	rejected  bool   // half a message was answered in place of the server: its client may still send the rest
	buffering bool   // the handler keeps a body whole, and is not done
	heads     []head // that the handler has not taken; more than one only of a peer that does not wait for answers
}

// head is what a message's head says of the message's end.
type head struct {
	old     bool // HTTP/1.0
	coded   bool // Transfer-Encoding is given
	sized   bool // Content-Length is given
	size    int64
	last    bool      // no other message may follow
	trouble string    // why it can't be served; "" if it can
	ended   bool      // the connection was closed before it could be served
	since   time.Time // its first byte, or the start of the connection for the first one
}

func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.bodyLeft > 0 && !c.lastMessage {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	} else if c.awaitsDisconnect(len(p)) {
		return 0, c.readAhead(p)
	}
	var n int
	var err error
	if len(c.buffered) > 0 {
		n = copy(p, c.buffered)
		c.buffered = c.buffered[n:]
	} else {
		c.buffered = nil
		if n, err = c.receive(p); n > 0 {
			c.lastByteAt.Store(monotime.Now())
		}
	}
	if n > 0 && !c.markReceiving() {
		return 0, c.discardAfterClose(p)
	}
	switch {
	case c.lastMessage:
	case c.bodyLeft > 0:
		c.bodyLeft -= int64(n)
	default:
		if used := c.scan(p[:n]); used < n {
			c.buffered = append(bytes.Clone(p[used:n]), c.buffered...)
			n = used
		}
	}
	return n, err
}

// waits tells whether the server reads only to hear of its client's leaving: a whole message is with it, and it asks for
// the first byte of the next. Where a body's end is not known here that is when it asks for a single byte.
func (c *clientConn) awaitsDisconnect(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.serving || len(c.heads) > 0) && (!c.lastMessage || size == 1)
}

// lookAhead keeps what comes behind a message that is being served, until the client leaves or the server stops waiting.
// The server itself would stop at the first byte, and never hear that a client has sent more and left.
func (c *clientConn) readAhead(piece []byte) error {
	for len(c.buffered) <= maxReadAhead {
		n, err := c.Conn.Read(piece)
		if !c.lastMessage { // else no message may follow
			c.buffered = append(c.buffered, piece[:n]...)
		}
		if err != nil {
			return err
		}
		if len(piece) == 1 { // which is all that most need
			piece = make([]byte, 1<<10)
		}
	}
	return errPipelineFlood
}

// part takes in that some of a message has been read. It tells whether the connection is still open.
func (c *clientConn) markReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = true
	return !c.closed
}

// rests takes in that a message has been answered and the connection kept.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.receiving = false, len(c.buffered) > 0
}

// busy tells whether a message is coming in or being served.
func (c *clientConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected || !c.closed && (c.receiving || c.serving || len(c.heads) > 0)
}

// refusal answers half a request: whatever its client sends yet, nothing is done for it.
const incompleteResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalWithin bounds the writing of a refusal, which waits for no client that reads.
const incompleteResponseTimeout = 20 * time.Millisecond

// refuseBegun answers a client that has begun a message and not ended it, and takes no more of it. The connection stays until
// the client closes it: a reset could overtake the answer. It tells whether there was one.
func (c *clientConn) rejectIncomplete() bool {
	c.mu.Lock()
	begun := !c.closed && c.receiving && !c.serving && len(c.heads) == 0
	if begun {
		c.closed, c.rejected = true, true
	}
	c.mu.Unlock()
	if !begun {
		return false
	}
	c.Conn.SetWriteDeadline(time.Now().Add(incompleteResponseTimeout))
	io.WriteString(c.Conn, incompleteResponse)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	return true
}

// crossed takes in that something came after this side had closed the connection, or answered half a message on it: in that
// case it reads on until the client closes.
func (c *clientConn) discardAfterClose(p []byte) error {
	c.mu.Lock()
	refused := c.rejected
	c.mu.Unlock()
	for refused {
		if _, err := c.Conn.Read(p); err != nil {
			return err
		}
	}
	return net.ErrClosed
}

// collect takes in that the handler begins, or is done, to keep a body whole.
func (c *clientConn) setBuffering(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffering = reading
}

// cutBody ends the wait for a body that is to be kept whole. It may be called again while its reader sets other times.
func (c *clientConn) interruptBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.buffering {
		c.Conn.SetReadDeadline(time.Now())
	}
}

// endBetween ends the connection if no message is being served, nor has begun to come in unless that doesn't matter. It
// tells whether it has. From then on nothing that is read of it is served.
func (c *clientConn) closeIfWaiting(evenPartial bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.serving || len(c.heads) > 0 || !evenPartial && (c.receiving || c.peek() == socketReadable) {
		return false
	}
	c.closed = true
	return true
}

// peek tells what has come on the connection and was not read.
func (c *clientConn) peek() socketState {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return peekSocket(sc)
	}
	return socketEmpty
}

// gone tells whether the client has left, before anything is done for what it sent. What was sent behind the request
// may hide it for the moment that reading ahead takes.
func (c *clientConn) peerClosed() bool {
	for range 8 {
		switch c.peek() {
		case socketEmpty:
			return false
		case socketPeerClosed:
			return true
		}
		time.Sleep(250 * time.Microsecond)
	}
	return false
}

// heard tells when the peer last sent something, or connected if it has not.
func (c *clientConn) lastActivity() (at time.Time, receiving bool) {
	if last := c.lastByteAt.Load(); !last.IsZero() {
		return last.Time(), true
	}
	return c.openedAt, false
}

// scan follows a head and returns how many of the bytes belong to it.
func (c *clientConn) scan(p []byte) int {
	if len(p) > 0 && c.next.since.IsZero() {
		c.next.since = time.Now()
	}
	for i, b := range p {
		if b != '\n' && len(c.line) < maxHeadLine {
			c.line = append(c.line, b)
			continue
		}
		line := strings.TrimSuffix(string(c.line), "\r")
		c.line = c.line[:0]
		switch {
		case !c.begun:
			c.begun, c.next.old = line != "", strings.HasSuffix(line, " HTTP/1.0")
		case line != "":
			c.next.field(line)
		default:
			c.finish()
			return i + 1
		}
	}
	return len(p)
}

// finish takes a head as complete.
func (c *clientConn) finish() {
	h := c.next
	if h.coded && h.trouble == "" {
		switch {
		case h.sized:
			h.trouble = "both Content-Length and Transfer-Encoding"
		case h.old:
			h.trouble = "Transfer-Encoding in HTTP/1.0"
		}
	}
	h.last = h.coded || h.trouble != ""
	c.begun, c.next, c.bodyLeft, c.lastMessage = false, head{}, h.size, h.last
	c.line = nil
	c.mu.Lock()
	c.heads = append(c.heads, h)
	c.mu.Unlock()
}

// field takes in one line of a head.
func (h *head) field(line string) {
	if line[0] == ' ' || line[0] == '\t' {
		h.trouble = "a folded line" // which parsers read differently
		return
	}
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.coded = true
	case strings.EqualFold(name, "Content-Length"):
		size, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 63)
		if h.sized || err != nil {
			h.trouble = "Content-Length is not one number"
		}
		h.sized, h.size = true, int64(size)
	}
}

// end takes in that this side closes the connection. Its client takes a request that crosses the close for unread and
// sends it again, so it must not be served.
func (c *clientConn) markClosed() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
}

// endedHere tells whether this side has closed the connection.
func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// take returns the head of the request that the handler serves now. Without one the server has found a request
// where none began.
func (c *clientConn) takeHead() head {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return head{last: true, ended: true}
	}
	c.serving, c.receiving = true, false
	if len(c.heads) == 0 {
		return head{last: true, trouble: "no head", since: time.Now()}
	}
	h := c.heads[0]
	c.heads = c.heads[1:]
	return h
}

// framedKey finds the connection of a request in its context.
type clientConnKey struct{}

func withClientConn(ctx context.Context, c net.Conn) context.Context {
	if b, ok := c.(*limitedConn); ok {
		return context.WithValue(ctx, clientConnKey{}, b.client)
	}
	return ctx
}

// sinceLastByte returns how long ago the client's last byte reached this machine.
func (c *clientConn) sinceLastByte() time.Duration {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sinceLastReceive(sc)
	}
	return 0
}

// clientConnOf returns the connection of a request; ok is false for a request that came on none, as in some tests.
func clientConnOf(ctx context.Context) (c *clientConn, ok bool) {
	c, ok = ctx.Value(clientConnKey{}).(*clientConn)
	return c, ok
}
