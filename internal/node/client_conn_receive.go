package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// receive waits for bytes and reads them. It checks that the connection is not closed, reads from the kernel and marks
// the connection as receiving in one step under the lock of connState (readUnlessClosed). net.Conn.Read has no such
// step: it could take bytes from the kernel while the connection is being closed, and the bytes would be lost.
func (c *clientConn) receive(p []byte) (n int, err error) {
	if c.raw == nil {
		socket, ok := c.Conn.(syscall.Conn)
		if !ok {
			n, err = c.Conn.Read(p) // the connection has no socket
			c.mu.Lock()
			defer c.mu.Unlock()
			c.progress.add(p[:max(n, 0)])
			return n, err
		}
		if c.raw, err = socket.SyscallConn(); err != nil {
			return 0, err
		}
	}
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = c.readUnlessClosed(func() (int, error) {
			received, err := readRetryingInterrupts(int(fd), p)
			c.progress.add(p[:max(received, 0)])
			return received, err
		})
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, asReadError(waitErr)
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

// readRetryingInterrupts reads from a non-blocking descriptor, and repeats a read that a signal has interrupted.
func readRetryingInterrupts(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return n, err
		}
	}
}
