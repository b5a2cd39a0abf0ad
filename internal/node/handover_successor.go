package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// This file is the side of the process that takes the node over.

// claim asks a process that runs already for its listener. Without one, or if it does not answer, this process
// starts on its own.
func (h *handover) claim() {
	c, err := dialUnix(h.path)
	if err != nil {
		return // nobody is there
	}
	c.SetDeadline(time.Now().Add(handWithin))
	if err := h.receive(c); err != nil {
		h.log.Error("the running process does not hand over: starting beside it", "error", err)
		c.Close()
		h.inherited = nil
		return
	}
	c.SetDeadline(time.Time{})
	h.old = c
	h.log.Info("a process runs already: replacing it")
}

// receive takes the listener and what comes with it.
func (h *handover) receive(c *net.UnixConn) error {
	oob := make([]byte, syscall.CmsgSpace(4))
	var one [1]byte
	_, n, _, _, err := c.ReadMsgUnix(one[:], oob)
	if err != nil {
		return err
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(messages) != 1 {
		return fmt.Errorf("no listener came: %w", err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return fmt.Errorf("no listener came: %w", err)
	}
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return err
	}
	if l.Addr().String() != h.listen {
		l.Close()
		return fmt.Errorf("it listens on %v", l.Addr())
	}
	h.read = bufio.NewReader(c)
	if err := h.next(&h.offered); err != nil {
		l.Close()
		return err
	}
	h.inherited = l
	return nil
}

// list returns the list of backends of the old process: what this one is told at its start may be old.
func (h *handover) list(cfg Config) (List, bool) {
	if h.old == nil || len(h.offered.List) == 0 {
		return List{}, false
	}
	list, err := parseList(h.offered.List, cfg.Settings)
	if err != nil {
		h.log.Error("the list of the running process can't be read", "error", err)
		return List{}, false
	}
	if h.offered.Discovery != cfg.Discovery {
		list.Revision = cfg.Known.Revision // another discovery may number its lists in another way
	}
	return list, len(list.Members) > 0
}

// take has the old process stop accepting, and returns what it has learned and what it still holds.
func (h *handover) take() (m learned, left holds, err error) {
	h.old.SetDeadline(time.Now().Add(handWithin))
	if _, err = io.WriteString(h.old, "take\n"); err == nil {
		if err = h.next(&m); err == nil {
			err = h.next(&left)
		}
	}
	h.old.SetDeadline(time.Time{})
	return m, left, err
}

// succeed takes over, and follows the old process until it has ended.
func (n *Node) succeed(ctx context.Context) {
	h := n.handover
	defer h.old.Close()
	for !n.loop.ready.Load() && ctx.Err() == nil {
		if n.server.shutdown.started() {
			return // the old process keeps the node: this one could not serve it for long
		}
		pause(ctx, lookEvery)
	}
	known, left, err := h.take()
	n.loop.post(nodeTakenOver{known})
	n.allow(left)
	n.listener.setPaused(false)
	n.log.Info("took over", "old", left, "error", err)
	settled := time.AfterFunc(time.Until(h.start.Add(settleWithin)), func() { h.serving.Store(true) })
	defer settled.Stop()
	for err == nil {
		if left.Busy == 0 {
			h.serving.Store(true)
		}
		if err = h.next(&left); err == nil {
			n.allow(left)
		}
	}
	h.serving.Store(true)
	if ctx.Err() == nil && !n.server.shutdown.started() {
		n.log.Info("the old process has ended")
		n.allow(holds{})
	}
}
