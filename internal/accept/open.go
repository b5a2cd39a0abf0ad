package accept

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// Opening a socket is tried for openFor, every openRetry: a process that is being killed holds its address for a moment
// yet, and what a machine is short of comes free again.
const openFor, openRetry = 5 * time.Second, 20 * time.Millisecond

// shortages are the errors of socket(2), bind(2) and listen(2) that pass.
var shortages = []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN}

// IsShortage tells whether opening a socket failed for a reason that passes, and that is this machine's own.
func IsShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(target error) bool { return errors.Is(err, target) })
}

// Open opens a socket, and tries again for a while where that fails for a reason that passes. waiting is called with the
// first such error.
func Open[T any](open func() (T, error), waiting func(error)) (T, error) {
	began := time.Now()
	for first := true; ; first = false {
		socket, err := open()
		if err == nil || !IsShortage(err) || time.Since(began) >= openFor {
			return socket, err
		}
		if first {
			waiting(err)
		}
		time.Sleep(openRetry)
	}
}
