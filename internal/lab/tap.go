package lab

import (
	"io"
	"net"
)

// tapBufferChunks is how many chunks a tap buffers until they are read.
const tapBufferChunks = 64

// tap reads a connection at once, reports each chunk as it comes, and buffers it until it is read: what was sent over a
// link that is partitioned or slow must not look as if it had been sent later.
type tap struct {
	net.Conn
	chunks chan []byte
	unread []byte // of the chunk that is being read
	err    error  // set before chunks is closed
}

// newTap starts to read a connection. It ends with the connection; what is not read by then is dropped once stop is
// closed.
func newTap(c net.Conn, observe func([]byte), stop <-chan struct{}) *tap {
	t := &tap{Conn: c, chunks: make(chan []byte, tapBufferChunks)}
	go t.run(observe, stop)
	return t
}

func (t *tap) run(observe func([]byte), stop <-chan struct{}) {
	defer close(t.chunks)
	for {
		buffer := make([]byte, proxyBufferBytes)
		n, err := t.Conn.Read(buffer)
		if n > 0 {
			observe(buffer[:n])
			select {
			case t.chunks <- buffer[:n]:
			case <-stop:
				t.err = io.ErrClosedPipe
				return
			}
		}
		if err != nil {
			t.err = err
			return
		}
	}
}

// Read is part of net.Conn.
func (t *tap) Read(p []byte) (int, error) {
	if len(t.unread) == 0 {
		chunk, ok := <-t.chunks
		if !ok {
			return 0, t.err
		}
		t.unread = chunk
	}
	n := copy(p, t.unread)
	t.unread = t.unread[n:]
	return n, nil
}
