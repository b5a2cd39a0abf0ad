package node

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// This file opens the sockets that connect the processes of a node or are shared by them.

// maxSocketPath is a length, in bytes, that every platform allows for the path of a Unix socket.
const maxSocketPath = 89

// sharePort is a net.ListenConfig.Control function that lets two processes of a node listen on the same address.
func sharePort(_, _ string, conn syscall.RawConn) error {
	const soReusePort = 15 // SO_REUSEPORT, which package syscall does not define on every platform
	var optionErr error
	controlErr := conn.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}

// withShortPath calls use with a path of the socket that is short enough for a socket address. It replaces a path that
// is longer than maxSocketPath by a path through the descriptor of the socket's directory, which is open only during
// the call.
func withShortPath(path string, use func(short string) error) error {
	if len(path) <= maxSocketPath {
		return use(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// dialUnix connects to the Unix socket at a path.
func dialUnix(path string) (conn *net.UnixConn, err error) {
	err = withShortPath(path, func(short string) (err error) {
		conn, err = net.DialUnix("unix", nil, &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	return conn, err
}

// listenUnix listens on a Unix socket at a path. It replaces a file that exists at the path. Closing the listener does
// not remove the socket.
func listenUnix(path string) (listener *net.UnixListener, err error) {
	ownPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(ownPath)
	err = withShortPath(ownPath, func(short string) (err error) {
		listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // another process may have replaced the socket by then
	if err := os.Rename(ownPath, path); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}
