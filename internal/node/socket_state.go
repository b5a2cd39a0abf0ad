package node

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// socketState is what the receiving side of a connection holds.
type socketState int

const (
	socketEmpty      socketState = iota // no unread bytes
	socketReadable                      // unread bytes
	socketPeerClosed                    // the peer closed its side or reset the connection, or this side closed it
)

// maxPeekTries bounds how often a peek that a signal interrupts is made. One that always is counts as socketEmpty.
const maxPeekTries = 8

// peekSocket returns the state of a connection without reading from it.
func peekSocket(c syscall.Conn) socketState {
	raw, err := c.SyscallConn()
	if err != nil {
		return socketPeerClosed
	}
	state := socketEmpty
	// Control and not Read: another goroutine may be in a read at the same time.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := 0, error(syscall.EINTR)
		for tries := 0; err == syscall.EINTR && tries < maxPeekTries; tries++ {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		switch {
		case n > 0:
			state = socketReadable
		case err != syscall.EAGAIN && err != syscall.EINTR:
			state = socketPeerClosed
		}
	})
	if err != nil {
		return socketPeerClosed
	}
	return state
}

// minReceiveWait is the shortest wait that counts: the kernel rounds it to its own ticks, of up to 10 ms.
const minReceiveWait = 20 * time.Millisecond

// sinceLastReceive returns how long ago the last byte reached this machine on a connection: a request may have waited
// in the backlog or the socket's buffer. It returns 0 where the system does not tell.
func sinceLastReceive(c syscall.Conn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var wait time.Duration
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			wait = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if wait < minReceiveWait {
		return 0
	}
	return wait
}
