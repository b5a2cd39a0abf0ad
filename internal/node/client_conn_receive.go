package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// receive reads some of a message. It takes bytes off the system only while the connection has not been ended, and in one step
// with taking in that some of a message has come: what is left unread at a close is reset, and its client sends it again, while
// what has been read has to be answered.
func (c *clientConn) receive(p []byte) (n int, err error) {
	if c.raw == nil {
		socket, ok := c.Conn.(syscall.Conn)
		if !ok {
			return c.Conn.Read(p) // no connection of the system
		}
		if c.raw, err = socket.SyscallConn(); err != nil {
			return 0, err
		}
	}
	waiting := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = c.readUnlessClosed(int(fd), p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	var failed *net.OpError
	switch {
	case errors.As(waiting, &failed):
		failed.Op = "read" // by which the server knows the errors of its connections
		return 0, failed
	case waiting != nil:
		return 0, waiting
	case errors.Is(err, net.ErrClosed):
		return 0, err
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readOpen reads what has come, without waiting, if the connection has not been ended.
func (c *clientConn) readUnlessClosed(fd int, p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && !c.rejected {
		return 0, net.ErrClosed
	}
	for n, err = syscall.Read(fd, p); err == syscall.EINTR; n, err = syscall.Read(fd, p) {
	}
	if n > 0 {
		c.receiving = true
	}
	return max(n, 0), err
}
