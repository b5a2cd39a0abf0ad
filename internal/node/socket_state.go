package node

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ageLeast is the shortest wait that counts: the system tells it by its own ticks, of up to 10 ms.
const minReceiveWait = 20 * time.Millisecond

// age is how long ago the last byte came to this machine on a connection: a request may have waited there until the node got to
// accept or read it. 0 where the system does not tell.
func sinceLastReceive(c syscall.Conn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var waited time.Duration
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waited = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if waited < minReceiveWait {
		return 0
	}
	return waited
}
