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
	pieces chan []byte
	rest   []byte
	err    error // set before pieces is closed
}

// newTap starts to read a connection. It ends with the connection; what is not read by then is given up once stop is
// closed.
func newTap(c net.Conn, seen func([]byte), stop <-chan struct{}) *tap {
	t := &tap{Conn: c, pieces: make(chan []byte, tapBufferChunks)}
	go func() {
		defer close(t.pieces)
		for {
			buf := make([]byte, 32<<10)
			n, err := c.Read(buf)
			if n > 0 {
				seen(buf[:n])
				select {
				case t.pieces <- buf[:n]:
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
	if len(t.rest) == 0 {
		piece, ok := <-t.pieces
		if !ok {
			return 0, t.err
		}
		t.rest = piece
	}
	n := copy(p, t.rest)
	t.rest = t.rest[n:]
	return n, nil
}
