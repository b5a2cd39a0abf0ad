package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// receive waits for bytes and reads them. It takes them from the kernel only while the connection is not closed, in
// one step with marking it (readUnlessClosed): net.Conn.Read could take bytes between a close and its return, and lose
// them.
func (c *clientConn) receive(p []byte) (n int, err error) {
	if c.raw == nil {
		socket, ok := c.Conn.(syscall.Conn)
		if !ok {
			return c.Conn.Read(p) // no socket
		}
		if c.raw, err = socket.SyscallConn(); err != nil {
			return 0, err
		}
	}
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = c.readUnlessClosed(func() (int, error) { return readRetryingInterrupts(int(fd), p) })
		return !errors.Is(err, syscall.EAGAIN)
	})
	var opErr *net.OpError
	switch {
	case errors.As(waitErr, &opErr):
		opErr.Op = "read" // net/http recognizes the errors of its connections by that
		return 0, opErr
	case waitErr != nil:
		return 0, waitErr
	case errors.Is(err, net.ErrClosed):
		return 0, err
	case err != nil:
		cause := os.NewSyscallError("read", err)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readRetryingInterrupts reads from a non-blocking descriptor, again after each signal that interrupts it.
func readRetryingInterrupts(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return n, err
		}
	}
}
