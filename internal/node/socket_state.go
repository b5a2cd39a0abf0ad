package node

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// socketState is the state of the receiving side of a socket.
type socketState int

const (
	socketEmpty      socketState = iota // there are no unread bytes
	socketReadable                      // there are unread bytes
	socketPeerClosed                    // the peer has closed its side or reset the connection, or the node has closed it
)

// maxPeekTries bounds how often a peek is tried if signals interrupt it. If every try is interrupted, the socket counts
// as socketEmpty.
const maxPeekTries = 8

// peekSocket returns the state of a connection's socket without taking bytes from it.
func peekSocket(c syscall.Conn) socketState {
	raw, err := c.SyscallConn()
	if err != nil {
		return socketPeerClosed
	}
	state := socketEmpty
	// RawConn.Control does not wait for a read that another goroutine has in progress; RawConn.Read would.
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

// States of a TCP connection in TCP_INFO (Linux, include/net/tcp_states.h).
const (
	tcpClosed    = 7 // reset by the peer
	tcpCloseWait = 8 // the peer has closed its side
)

// peerHasClosed reports whether the peer has closed its side of a connection or reset it, also if bytes that it sent
// before are still unread. It returns false if the system does not know.
func peerHasClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	raw.Control(func(fd uintptr) {
		if info, ok := tcpInfo(fd); ok {
			closed = info.State == tcpClosed || info.State == tcpCloseWait
		}
	})
	return closed
}

// tcpInfo returns the system's information on a TCP connection. It returns false if the system has none. Unlike
// unix.GetsockoptTCPInfo it allocates no memory: the node calls it many times a second.
func tcpInfo(fd uintptr) (info unix.TCPInfo, ok bool) {
	size := uint32(unix.SizeofTCPInfo)
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	return info, errno == 0
}

// minReceiveWait is the shortest time that sinceLastReceive returns. Shorter times are not accurate, because the
// kernel rounds them to ticks of up to 10 ms.
const minReceiveWait = 20 * time.Millisecond

// sinceLastReceive returns how long ago the last byte of a connection reached this machine. The byte may have waited in
// the backlog or in the socket's buffer since then. It returns 0 if the system does not know the time, or if the time
// is below minReceiveWait.
func sinceLastReceive(c syscall.Conn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var wait time.Duration
	raw.Control(func(fd uintptr) {
		if info, ok := tcpInfo(fd); ok {
			wait = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if wait < minReceiveWait {
		return 0
	}
	return wait
}
