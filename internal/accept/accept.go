// Package accept retries accept(2) after transient errors, and retries opening a socket after errors such as an address
// in use. It decides which errors are transient. It owns no socket: the caller closes its listener.
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

// The delay after a failed call doubles from minRetryDelay to maxRetryDelay. maxRetryDelay is much shorter than the
// deadline of a request, and long enough that retries cost little processor time during a long shortage of resources.
const (
	minRetryDelay = time.Millisecond
	maxRetryDelay = 20 * time.Millisecond
)

// permanentErrors are errors of the listening socket itself, after which no later call can succeed. All other errors
// concern one connection that has already failed, or a temporary shortage of resources.
var permanentErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsPermanent reports whether all later calls of accept will fail too. An unknown error counts as transient.
func IsPermanent(err error) bool {
	return slices.ContainsFunc(permanentErrors, func(target error) bool { return errors.Is(err, target) })
}

// LogRetries returns a function for Retrier.OnRetry and NewListener. It logs errors with the name of the listener, at a
// bounded rate.
func LogRetries(log *slog.Logger, listener string) func(error) {
	warnings := &lograte.Limited{Log: log}
	return func(err error) {
		warnings.Warn("accept failed, retrying", "listener", listener, "error", err)
	}
}

// Retrier calls accept until it succeeds. The zero value is ready for use. Accept may be called by one goroutine at a
// time. Failing may be called from any goroutine.
type Retrier struct {
	// OnRetry is called with each transient error, before the delay. It may be nil.
	OnRetry func(error)

	failing atomic.Bool
}

// Failing reports whether the last call of accept failed with a transient error. Connections may then wait in the
// backlog.
func (r *Retrier) Failing() bool { return r.failing.Load() }

// Accept calls accept until it returns a connection. The error is permanent, or os.ErrDeadlineExceeded if the deadline
// of the listener has passed.
func (r *Retrier) Accept(accept func() (net.Conn, error)) (net.Conn, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		conn, err := accept()
		transient := err != nil && !IsPermanent(err) && !errors.Is(err, os.ErrDeadlineExceeded)
		r.failing.Store(transient)
		if !transient {
			return conn, err
		}
		if r.OnRetry != nil {
			r.OnRetry(err)
		}
		time.Sleep(delay)
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

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) { return l.retry.Accept(l.Listener.Accept) }
