package lab

import (
	"io"
	"net"
)

// tapBufferChunks is how many unread chunks a tap buffers.
const tapBufferChunks = 64

// tap is a connection that is read in the background. Each chunk is reported when it arrives, and buffered until Read
// returns it. The time of the report is therefore when the chunk was sent, even if the link is partitioned or slow and
// forwards the chunk later.
type tap struct {
	net.Conn
	chunks chan []byte
	unread []byte // remainder of the chunk that is being read
	err    error  // set before chunks is closed
}

// newTap starts to read a connection in the background. The goroutine ends when the connection ends. The caller must
// close stop once it reads no more chunks, and the tap then drops the unread chunks.
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

// Read implements net.Conn. It must not be called by several goroutines at the same time.
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
