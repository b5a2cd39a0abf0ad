package lab

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpClose is the state of a connection that has been reset (TCP_CLOSE of tcp_states.h).
	tcpClose = 7
	// resetTimeout is how long a reset may take that answers what came too late.
	resetTimeout = 300 * time.Millisecond
	// resetPollInterval is how often it is looked for.
	resetPollInterval = time.Millisecond
)

// tcpCloseWait is the state of a connection that the other side has ended in order (TCP_CLOSE_WAIT).
const tcpCloseWait = 8

// ended tells whether the other side of a connection has ended it.
func ended(c net.Conn) bool {
	state, ok := tcpState(c)
	return ok && (state == tcpCloseWait || state == tcpClose)
}

// tcpState is the state of a connection, where it has one.
func tcpState(c net.Conn) (state uint8, ok bool) {
	tcp, isTCP := c.(*net.TCPConn)
	if !isTCP {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	if raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if ok = err == nil; ok {
			state = info.State
		}
	}) != nil {
		return 0, false
	}
	return state, ok
}

// awaitReset tells whether a connection that the other side has ended is reset as well. It is where the other side
// closed it before it had read all that was written to it, and is not where it had read all.
func awaitReset(c net.Conn) bool {
	for end := time.Now().Add(resetTimeout); time.Now().Before(end); time.Sleep(resetPollInterval) {
		if state, ok := tcpState(c); !ok || state == tcpClose {
			return true // a connection without a state is gone altogether
		}
	}
	return false
}
