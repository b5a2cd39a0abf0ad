// Package accept keeps a server accepting connections while accept(2) fails for a moment, and opens listening sockets
// that are not free yet. It owns the decision which errors are transient, and no socket: the listener stays its
// caller's.
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

// The delay after a failed call doubles from minRetryDelay to maxRetryDelay. The longest is far below a request's
// deadline, and long enough that a lasting shortage costs little processor time.
const (
	minRetryDelay = time.Millisecond
	maxRetryDelay = 20 * time.Millisecond
)

// permanentErrors tell of the listening socket itself: no later call can succeed. Every other error is of one
// connection that has broken already, or of a shortage that passes.
var permanentErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsPermanent tells whether every later call of accept will fail too. An error that is not known counts as transient.
func IsPermanent(err error) bool {
	return slices.ContainsFunc(permanentErrors, func(target error) bool { return errors.Is(err, target) })
}

// LogRetries returns a function for Retrier.OnRetry and NewListener that logs errors, with what the listener is for, at
// a bounded rate.
func LogRetries(log *slog.Logger, listener string) func(error) {
	limited := &lograte.Limited{Log: log}
	return func(err error) {
		limited.Warn("accept failed, retrying", "listener", listener, "error", err)
	}
}

// Retrier calls accept until it succeeds. The zero value is ready. It may be used by one goroutine at a time; Failing
// may be called from any.
type Retrier struct {
	// OnRetry is called with each transient error before the delay. It may be nil.
	OnRetry func(error)

	failing atomic.Bool
}

// Failing tells whether the last call failed, so that connections may wait in the backlog.
func (r *Retrier) Failing() bool { return r.failing.Load() }

// Accept returns the next connection. Its error is permanent, or os.ErrDeadlineExceeded where the listener's own
// deadline has passed.
func (r *Retrier) Accept(accept func() (net.Conn, error)) (net.Conn, error) {
	for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		conn, err := accept()
		transient := err != nil && !IsPermanent(err) && !errors.Is(err, os.ErrDeadlineExceeded)
		r.failing.Store(transient)
		if !transient {
			return conn, err
		}
		if r.OnRetry != nil {
			r.OnRetry(err)
		}
		time.Sleep(wait)
	}
}

// Listener is a net.Listener that retries after transient errors.
type Listener struct {
	net.Listener
	retry Retrier
}

// NewListener wraps a listener. onRetry is called with each transient error, and may be nil.
func NewListener(l net.Listener, onRetry func(error)) *Listener {
	return &Listener{Listener: l, retry: Retrier{OnRetry: onRetry}}
}

// Accept is part of net.Listener.
func (l *Listener) Accept() (net.Conn, error) { return l.retry.Accept(l.Listener.Accept) }
