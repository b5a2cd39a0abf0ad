package node

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// This file opens the sockets through which processes of a node meet.

// sharePort lets both processes of a node listen on one address.
func sharePort(_, _ string, c syscall.RawConn) error {
	const soReusePort = 15 // package syscall does not name it on every platform
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
	}); cerr != nil {
		return cerr
	}
	return err
}

// A path to a Unix socket holds some hundred characters. A longer one goes by way of its open folder.
func withShortPath(path string, use func(short string) error) error {
	if len(path) < 90 {
		return use(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

func dialUnix(path string) (c *net.UnixConn, err error) {
	err = withShortPath(path, func(short string) (err error) {
		c, err = net.DialUnix("unix", nil, &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	return c, err
}

// listenUnix listens at a path, in place of whoever did before.
func listenUnix(path string) (l *net.UnixListener, err error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(own)
	err = withShortPath(own, func(short string) (err error) {
		l, err = net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then it may be another process's
	if err := os.Rename(own, path); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}
