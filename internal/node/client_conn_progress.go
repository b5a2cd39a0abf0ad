package node

import (
	"bytes"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hitchvale/internal/httpframing"
)

const (
	// bodyTailSize is how many of the last bytes of a connection are examined for the last chunk of a body. A last chunk
	// with longer trailers is not recognized before the node has read it.
	bodyTailSize = 256
	// lastChunkSilence is how long a client must have sent nothing before the bytes in the socket's buffer are examined,
	// because that takes time in proportion to their number.
	lastChunkSilence = 50 * time.Millisecond
	// skipBufferSize is the size of the buffer to which the bytes before the tail are copied, one part over the other.
	skipBufferSize = 64 << 10
)

// bodyProgress records what has been read from a client's connection, to tell whether the bytes that are still in the
// socket's buffer complete the current request's body.
type bodyProgress struct {
	received   int64 // bytes read from the connection
	bodyEnd    int64 // what received is at the end of the current body
	chunked    bool  // the end of the current body is not known before its last chunk
	tail       [bodyTailSize]byte
	tailLength int   // how many of the last bytes that were read are in tail
	examined   int64 // how many bytes had arrived when the last chunk was last looked for
	complete   bool  // whether it was found then
}

// add records bytes that were read from the connection.
func (p *bodyProgress) add(data []byte) {
	p.received += int64(len(data))
	data = lastBytes(data)
	kept := min(p.tailLength, bodyTailSize-len(data))
	copy(p.tail[:], p.tail[p.tailLength-kept:p.tailLength])
	copy(p.tail[kept:], data)
	p.tailLength = kept + len(data)
}

// lastBytes returns the last bodyTailSize bytes of data, or all if there are fewer.
func lastBytes(data []byte) []byte { return data[max(len(data)-bodyTailSize, 0):] }

// beginBody records that a head ends before the last readAhead bytes that were read.
func (c *clientConn) beginBody(readAhead int64, head httpframing.Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.bodyEnd = c.progress.received - readAhead + head.ContentLength
	c.progress.chunked = head.LastOnConnection
}

// bodyReceived reports whether the last byte of the current request's body has reached this machine. The node may not
// have read it yet. The result is false if the system does not tell how many bytes are unread.
func (c *clientConn) bodyReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.progress
	if p.chunked {
		return c.lastChunkReceivedLocked()
	}
	return p.received >= p.bodyEnd || p.received+int64(c.unreadBytes()) >= p.bodyEnd
}

// lastChunkReceivedLocked reports whether the bytes that have arrived end with the last chunk of a chunked body. A body
// that contains such bytes itself counts as complete if its client pauses just behind them. The caller holds mu.
func (c *clientConn) lastChunkReceivedLocked() bool {
	p := &c.progress
	unread := c.unreadBytes()
	arrived := p.received + int64(unread)
	if arrived == p.examined {
		return p.complete
	}
	tail := bytes.Clone(p.tail[:p.tailLength])
	if unread > 0 {
		if c.sinceLastByte() < lastChunkSilence {
			return false
		}
		peeked := c.peekTail(unread)
		if peeked == nil {
			return false
		}
		tail = append(tail, peeked...)
	}
	p.examined = arrived
	p.complete = httpframing.EndsWithLastChunk(lastBytes(tail))
	return p.complete
}

// unreadBytes returns how many bytes are in the socket's buffer; 0 if that is not known.
func (c *clientConn) unreadBytes() (unread int) {
	if c.raw == nil {
		return 0
	}
	c.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// peekTail returns the last bytes, at most bodyTailSize, of the unread bytes in the socket's buffer, and leaves them
// there. It returns nil if they cannot be peeked.
func (c *clientConn) peekTail(unread int) []byte {
	tail := make([]byte, min(unread, bodyTailSize))
	skip := make([]byte, min(unread, skipBufferSize))
	var buffers [][]byte
	for left := unread - len(tail); left > 0; left -= skipBufferSize {
		buffers = append(buffers, skip[:min(left, skipBufferSize)])
	}
	buffers = append(buffers, tail)
	peeked := 0
	c.raw.Control(func(fd uintptr) {
		n, _, _, _, err := unix.RecvmsgBuffers(int(fd), buffers, nil, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == nil {
			peeked = n
		}
	})
	if peeked < unread {
		return nil
	}
	return tail
}
