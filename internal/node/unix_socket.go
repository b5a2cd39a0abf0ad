package node

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// This file opens the sockets that the processes of a node share.

// maxSocketPath is a length that the path of a Unix socket may have on every platform.
const maxSocketPath = 89

// sharePort is a net.ListenConfig.Control that lets two processes of a node listen on one address.
func sharePort(_, _ string, conn syscall.RawConn) error {
	const soReusePort = 15 // package syscall does not name it on every platform
	var optionErr error
	controlErr := conn.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}

// withShortPath calls use with a path of the same socket that is short enough: a longer one goes by way of the
// descriptor of its folder.
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

// dialUnix connects to the socket at a path.
func dialUnix(path string) (conn *net.UnixConn, err error) {
	err = withShortPath(path, func(short string) (err error) {
		conn, err = net.DialUnix("unix", nil, &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	return conn, err
}

// listenUnix listens at a path, and replaces a socket that is there.
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
	listener.SetUnlinkOnClose(false) // the path may be another process's by then
	if err := os.Rename(ownPath, path); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}
