package lab

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The states of a connection in TCP_INFO (tcp_states.h).
const (
	tcpClose     = 7 // the connection has been reset
	tcpCloseWait = 8 // the other side has closed the connection with a FIN
)

const (
	// resetTimeout bounds the wait for the reset that may follow a close.
	resetTimeout = 300 * time.Millisecond
	// resetPollInterval is the time between two readings of the connection's state during this wait.
	resetPollInterval = time.Millisecond
)

// ended reports whether the other side of a connection has ended it, by a close or a reset.
func ended(c net.Conn) bool {
	state, ok := tcpState(c)
	return ok && (state == tcpCloseWait || state == tcpClose)
}

// tcpState returns the state of a TCP connection. ok is false if c is not a TCP connection or has been closed.
func tcpState(c net.Conn) (state uint8, ok bool) {
	tcp, isTCP := c.(*net.TCPConn)
	if !isTCP {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state, ok = info.State, true
		}
	})
	if err != nil {
		return 0, false
	}
	return state, ok
}

// awaitReset reports whether a connection that the other side has ended is also reset within resetTimeout. The other
// side resets a connection if it closed the connection before it had read all data that was sent to it.
func awaitReset(c net.Conn) bool {
	for end := time.Now().Add(resetTimeout); time.Now().Before(end); time.Sleep(resetPollInterval) {
		if state, ok := tcpState(c); !ok || state == tcpClose {
			return true // a connection without a state has been closed here
		}
	}
	return false
}
