package accept

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// Opening a socket is retried every openRetryDelay until openTimeout. A process that is being killed keeps its address
// for a short time, and a shortage of resources on the machine usually ends.
const (
	openTimeout    = 5 * time.Second
	openRetryDelay = 20 * time.Millisecond
)

// transientOpenErrors are the transient errors of socket(2), bind(2) and listen(2).
var transientOpenErrors = []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN}

// IsTransientOpenError reports whether opening a socket failed for a temporary reason on this machine, such as a
// shortage of descriptors or an address in use.
func IsTransientOpenError(err error) bool {
	return slices.ContainsFunc(transientOpenErrors, func(target error) bool { return errors.Is(err, target) })
}

// OpenWithRetry calls open until it succeeds, until it fails with an error that is not transient, or until openTimeout
// (5 s) has passed. It calls onFirstRetry with the first transient error.
func OpenWithRetry[T any](open func() (T, error), onFirstRetry func(error)) (T, error) {
	start := time.Now()
	for first := true; ; first = false {
		socket, err := open()
		if err == nil || !IsTransientOpenError(err) || time.Since(start) >= openTimeout {
			return socket, err
		}
		if first {
			onFirstRetry(err)
		}
		time.Sleep(openRetryDelay)
	}
}
