// Package accept keeps a server accepting connections while accept(2) fails for a moment. It owns the decision which errors
// pass, and no socket: the listener stays its caller's.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"hitchvale/internal/lograte"
)

// retryLeast and retryMost bound the wait after a failed call, which doubles from one to the other. The longest is far below
// a request's deadline, and long enough that a lasting shortage costs little processor time.
const retryLeast, retryMost = time.Millisecond, 20 * time.Millisecond

// lost are the errors that tell of the listening socket itself: no later call can succeed. Every other error is of one
// connection that has broken already, or of a shortage that passes.
var lost = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsLost tells whether accepting will fail for ever. An error that is not known counts as passing.
func IsLost(err error) bool {
	return slices.ContainsFunc(lost, func(target error) bool { return errors.Is(err, target) })
}

// LogTo returns a function for Retry.Failed and NewListener that logs errors, with what the listener is for, at a bounded rate.
func LogTo(log *slog.Logger, listener string) func(error) {
	complain := &lograte.Limited{Log: log}
	return func(err error) {
		complain.Warn("accepting a connection failed: trying again", "listener", listener, "error", err)
	}
}

// Retry calls accept until it succeeds. The zero value is ready. It may be used by one goroutine at a time; Failing may be
// called from any.
type Retry struct {
	// Failed is called with each error that is waited out. It may be nil.
	Failed func(error)

	failing atomic.Bool
}

// Failing tells whether the last call failed, so that connections may wait in the backlog.
func (r *Retry) Failing() bool { return r.failing.Load() }

// Accept returns the next connection. An error is one that no later call would mend, or os.ErrDeadlineExceeded where the
// listener's own deadline has passed.
func (r *Retry) Accept(accept func() (net.Conn, error)) (net.Conn, error) {
	for wait := retryLeast; ; wait = min(2*wait, retryMost) {
		c, err := accept()
		passes := err != nil && !IsLost(err) && !errors.Is(err, os.ErrDeadlineExceeded)
		r.failing.Store(passes)
		if !passes {
			return c, err
		}
		if r.Failed != nil {
			r.Failed(err)
		}
		time.Sleep(wait)
	}
}

// Listener is a net.Listener that waits out errors that pass.
type Listener struct {
	net.Listener
	retry Retry
}

// NewListener wraps a listener. failed is called with each error that is waited out, and may be nil.
func NewListener(l net.Listener, failed func(error)) *Listener {
	return &Listener{Listener: l, retry: Retry{Failed: failed}}
}

// Accept is part of net.Listener.
func (l *Listener) Accept() (net.Conn, error) { return l.retry.Accept(l.Listener.Accept) }
