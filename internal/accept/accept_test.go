package accept

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// Accept retries after errors of one connection and after shortages of resources. It returns errors of the listening
// socket, and the error of a deadline that the caller has set on the listener.
func TestTransientErrorsAreRetried(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
		syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EINTR, syscall.ESOCKTNOSUPPORT} {
		calls := 0
		var failing bool
		r := Retrier{}
		r.OnRetry = func(error) { failing = r.Failing() }
		c, err := r.Accept(func() (net.Conn, error) {
			if calls++; calls < 3 {
				return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
			}
			return &net.TCPConn{}, nil
		})
		if c == nil || err != nil || calls != 3 || !failing || r.Failing() {
			t.Errorf("%v: connection %v, error %v after %d calls, failing %v, then %v", errno, c, err, calls, failing, r.Failing())
		}
	}
	for _, returned := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT, os.ErrDeadlineExceeded} {
		r := Retrier{}
		_, err := r.Accept(func() (net.Conn, error) { return nil, fmt.Errorf("accept: %w", returned) })
		if !errors.Is(err, returned) || r.Failing() {
			t.Errorf("%v: got %v, failing %v", returned, err, r.Failing())
		}
	}
}
