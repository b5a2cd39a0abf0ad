package lab

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The states of a connection in TCP_INFO (tcp_states.h).
const (
	tcpClose     = 7 // it has been reset
	tcpCloseWait = 8 // the other side has ended it in order
)

const (
	// resetTimeout is how long the reset that follows a close may take.
	resetTimeout = 300 * time.Millisecond
	// resetPollInterval is how often the connection's state is read meanwhile.
	resetPollInterval = time.Millisecond
)

// ended tells whether the other side of a connection has ended it.
func ended(c net.Conn) bool {
	state, ok := tcpState(c)
	return ok && (state == tcpCloseWait || state == tcpClose)
}

// tcpState is the state of a connection; false where it has none.
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

// awaitReset tells whether a connection that the other side has ended is reset as well: so it is where the other side
// closed it before it had read all that was written to it.
func awaitReset(c net.Conn) bool {
	for end := time.Now().Add(resetTimeout); time.Now().Before(end); time.Sleep(resetPollInterval) {
		if state, ok := tcpState(c); !ok || state == tcpClose {
			return true // a connection without a state has been closed
		}
	}
	return false
}
