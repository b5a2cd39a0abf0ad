package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// This file is the side of the process that hands the node over.

// handOver hands the node to the process at the other end. It returns true when that one serves and nothing is left
// to do here, and otherwise when it has gone.
func (n *Node) handOver(ctx context.Context, c *net.UnixConn) (done bool, err error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(handWithin))
	if err := n.offer(ctx, c); err != nil {
		return false, err
	}
	c.SetDeadline(time.Time{}) // it may take its time until it is ready
	line, err := readLine(bufio.NewReaderSize(c, 16), 16)
	if err != nil {
		return false, err
	}
	if string(line) != "take\n" {
		return false, fmt.Errorf("asked %q", line)
	}
	reply := make(chan learned, 1)
	known, err := query(ctx, n.loop, learnedQuery{reply}, reply)
	if err != nil {
		return false, err
	}
	n.handed(true)
	n.log.Info("handed over")
	text, err := json.Marshal(known)
	if err == nil {
		_, err = c.Write(append(text, '\n'))
	}
	if err == nil {
		err = n.tellHolds(ctx, c, &done)
	}
	if !done && ctx.Err() == nil && faultShutdown != faultSuccessor {
		// Also while this process leaves: the listener is both processes', and what waits there has nobody else.
		n.handed(false)
		n.allow(holds{})
		n.log.Error("the process that took over has gone: serving again", "error", err)
		return false, nil
	}
	return done, nil
}

// handed has this process stop, or begin again, to take what comes.
func (n *Node) handed(out bool) {
	n.server.handedOver.Store(out)
	n.listener.setPaused(out)
	n.loop.post(handoverChanged{handedOver: out})
}

// offer passes the listener and the list on.
func (n *Node) offer(ctx context.Context, c *net.UnixConn) error {
	l, ok := n.listener.Listener.(syscall.Conn)
	if !ok {
		return errors.New("the listener can't be passed on")
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	reply := make(chan []byte, 1)
	list, err := query(ctx, n.loop, endpointListQuery{reply}, reply)
	if err != nil {
		return err
	}
	n.disco.mu.Lock()
	o := offer{Discovery: n.disco.addr, List: list}
	n.disco.mu.Unlock()
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = c.WriteMsgUnix([]byte{'L'}, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if sent != nil {
		return sent
	}
	_, err = c.Write(append(text, '\n'))
	return err
}

// tellHolds tells the new process what this one still holds until one of them ends. done is set when nothing is left.
func (n *Node) tellHolds(ctx context.Context, c *net.UnixConn, done *bool) error {
	gone := make(chan struct{})
	go func() {
		io.Copy(io.Discard, c) // nothing more comes but its end
		close(gone)
	}()
	defer func() { c.Close(); <-gone }()
	told, open, busyAt := holds{Clients: -1}, n.backends, time.Now()
	for {
		// What begins here now may not end in time. Who asks on a kept connection as it is closed asks again.
		n.server.conns.closeIdle(idleLeast, closedForHandOver)
		n.server.conns.evictDownTo(n.clients / 4)
		inUse, idle := n.pool.size()
		// Never more than before: the new process uses what this one has told that it left.
		open = max(min(open, inUse), min(keepBackends, n.backends/4))
		n.pool.setMaxOpen(open)
		now := holds{Clients: n.listener.openConns(), Backends: open, Busy: n.server.conns.busy()}
		if now != told {
			text, _ := json.Marshal(now)
			if _, err := c.Write(append(text, '\n')); err != nil {
				return err
			}
			told = now
		}
		if now.Clients > 0 || inUse > idle {
			busyAt = time.Now()
		}
		if time.Since(busyAt) >= leaveAfter {
			n.pool.setMaxOpen(0)
			*done = true
			return nil
		}
		select {
		case <-gone:
			return io.EOF
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tellEvery):
		}
	}
}
