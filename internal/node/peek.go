package node

import "syscall"

// peeked is what a look at the receiving side of a connection shows.
type peeked int

const (
	nothingWaits peeked = iota
	bytesWait
	peerLeft // it has closed its side or reset the connection, or this side has
)

// looksMost is how often a look that a signal interrupts is made. One that always is shows nothing.
const looksMost = 8

// peekAt tells what has come on a connection and was not read, and reads none of it.
func peekAt(c syscall.Conn) peeked {
	raw, err := c.SyscallConn()
	if err != nil {
		return peerLeft
	}
	seen := nothingWaits
	// Control and not Read, as somebody may be reading at the same time.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := 0, error(syscall.EINTR)
		for looks := 0; err == syscall.EINTR && looks < looksMost; looks++ {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		switch {
		case n > 0:
			seen = bytesWait
		case err != syscall.EAGAIN && err != syscall.EINTR:
			seen = peerLeft
		}
	})
	if err != nil {
		return peerLeft
	}
	return seen
}
