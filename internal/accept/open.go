package accept

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// Opening a socket is retried every openRetryDelay until openTimeout: a process that is being killed holds its address
// for a moment yet, and what a machine is short of comes free again.
const (
	openTimeout    = 5 * time.Second
	openRetryDelay = 20 * time.Millisecond
)

// transientOpenErrors are the errors of socket(2), bind(2) and listen(2) that pass.
var transientOpenErrors = []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN}

// IsTransientOpenError tells whether opening a socket failed for a reason that passes, and that is this machine's own.
func IsTransientOpenError(err error) bool {
	return slices.ContainsFunc(transientOpenErrors, func(target error) bool { return errors.Is(err, target) })
}

// OpenWithRetry opens a socket, and retries until openTimeout where that fails for a transient error. waiting is called
// with the first such error.
func OpenWithRetry[T any](open func() (T, error), waiting func(error)) (T, error) {
	began := time.Now()
	for first := true; ; first = false {
		socket, err := open()
		if err == nil || !IsTransientOpenError(err) || time.Since(began) >= openTimeout {
			return socket, err
		}
		if first {
			waiting(err)
		}
		time.Sleep(openRetryDelay)
	}
}
