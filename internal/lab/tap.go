package lab

import (
	"io"
	"net"
)

// tapBufferChunks is how many pieces a tap holds for who reads them later.
const tapBufferChunks = 64

// tap reads a connection at once, shows each piece as it comes, and keeps it until it is read: a link that is cut or
// slow must not make what was sent before look as if it were sent later.
type tap struct {
	net.Conn
	chunks chan []byte
	unread []byte
	err    error // set before pieces is closed
}

// newTap starts to read a connection. It ends with the connection; what is not read by then is given up once stop is
// closed.
func newTap(c net.Conn, seen func([]byte), stop <-chan struct{}) *tap {
	t := &tap{Conn: c, chunks: make(chan []byte, tapBufferChunks)}
	go func() {
		defer close(t.chunks)
		for {
			buf := make([]byte, 32<<10)
			n, err := c.Read(buf)
			if n > 0 {
				seen(buf[:n])
				select {
				case t.chunks <- buf[:n]:
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
	}()
	return t
}

// Read is part of net.Conn.
func (t *tap) Read(p []byte) (int, error) {
	if len(t.unread) == 0 {
		piece, ok := <-t.chunks
		if !ok {
			return 0, t.err
		}
		t.unread = piece
	}
	n := copy(p, t.unread)
	t.unread = t.unread[n:]
	return n, nil
}
