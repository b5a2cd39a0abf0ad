package node

import "syscall"

// peeked is what a look at the receiving side of a connection shows.
type socketState int

const (
	socketEmpty socketState = iota
	socketReadable
	socketPeerClosed // it has closed its side or reset the connection, or this side has
)

// looksMost is how often a look that a signal interrupts is made. One that always is shows nothing.
const maxPeekTries = 8

// peekAt tells what has come on a connection and was not read, and reads none of it.
func peekSocket(c syscall.Conn) socketState {
	raw, err := c.SyscallConn()
	if err != nil {
		return socketPeerClosed
	}
	seen := socketEmpty
	// Control and not Read, as somebody may be reading at the same time.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := 0, error(syscall.EINTR)
		for tries := 0; err == syscall.EINTR && tries < maxPeekTries; tries++ {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		switch {
		case n > 0:
			seen = socketReadable
		case err != syscall.EAGAIN && err != syscall.EINTR:
			seen = socketPeerClosed
		}
	})
	if err != nil {
		return socketPeerClosed
	}
	return seen
}
