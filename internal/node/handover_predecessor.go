package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// This file is the predecessor's side of a hand-over.

// handOverTo hands the node over to the successor at the other end of a connection. It returns true once the successor
// serves and this process has no work left, and false if the successor or ctx ends earlier.
func (n *Node) handOverTo(ctx context.Context, successor *net.UnixConn) (done bool, err error) {
	stop := closeWithContext(ctx, successor)
	defer stop()
	n.memory.share(handoverProcesses)
	defer n.memory.share(1)
	successor.SetDeadline(time.Now().Add(handoverStepTimeout))
	if err := n.sendOffer(ctx, successor); err != nil {
		return false, err
	}
	successor.SetDeadline(time.Time{}) // there is no bound on how long the successor needs to become ready
	if err := awaitTakeCommand(successor); err != nil {
		return false, err
	}
	begun := newBegunQueue()
	n.loop.post(begunQueueSet{begun})
	defer n.loop.post(begunQueueSet{})
	reply := make(chan handoverState, 1)
	state, err := query(ctx, n.loop, handoverStateQuery{reply}, reply)
	if err != nil {
		return false, err
	}
	n.setHandedOver(true)
	n.log.Info("handed over to successor")
	done, err = n.assistSuccessor(ctx, successor, state, begun)
	if !done && ctx.Err() == nil && faultShutdown != faultSuccessor {
		// This process accepts again even during its shutdown: no other process would serve the backlog of the listener
		// that both processes share.
		n.setHandedOver(false)
		n.shareDescriptors(descriptorUsage{})
		n.log.Error("successor ended, serving again", "error", err)
		return false, nil
	}
	return done, nil
}

// awaitTakeCommand waits for the command that the successor sends when it is ready to accept.
func awaitTakeCommand(successor net.Conn) error {
	const maxBytes = 16
	line, err := readLine(bufio.NewReaderSize(successor, maxBytes), maxBytes)
	if err != nil {
		return err
	}
	if string(line) != takeCommand {
		return fmt.Errorf("%w: %q", errUnexpectedCommand, line)
	}
	return nil
}

// setHandedOver makes this process stop accepting, or accept again.
func (n *Node) setHandedOver(handedOver bool) {
	n.server.handedOver.Store(handedOver)
	n.listener.setPaused(handedOver)
	n.loop.post(handoverChanged{handedOver: handedOver})
}

// sendOffer sends the listener and the endpoint list to the successor.
func (n *Node) sendOffer(ctx context.Context, successor *net.UnixConn) error {
	listener, ok := n.listener.Listener.(syscall.Conn)
	if !ok {
		return fmt.Errorf("hand over a listener of type %T: %w", n.listener.Listener, errors.ErrUnsupported)
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	reply := make(chan []byte, 1)
	list, err := query(ctx, n.loop, endpointListQuery{reply}, reply)
	if err != nil {
		return err
	}
	message, err := encodeMessage(handoverOffer{Discovery: n.discovery.Address(), List: list})
	if err != nil {
		return err
	}
	var sendErr error
	if err := raw.Control(func(fd uintptr) {
		_, _, sendErr = successor.WriteMsgUnix([]byte{listenerByte}, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if sendErr != nil {
		return sendErr
	}
	_, err = successor.Write(message)
	return err
}

// assistSuccessor sends the state, and then reports the descriptor usage until this process has no work left (done is
// true) or one of the processes ends.
func (n *Node) assistSuccessor(
	ctx context.Context, successor *net.UnixConn, state handoverState, begun *begunQueue,
) (done bool, err error) {
	message, err := encodeMessage(state)
	if err != nil {
		return false, err
	}
	if _, err := successor.Write(message); err != nil {
		return false, err
	}
	ended := make(chan struct{})
	go func() {
		n.receiveBegun(successor)
		close(ended)
	}()
	defer func() {
		successor.Close()
		<-ended
	}()
	return n.reportUsage(ctx, successor, ended, begun)
}

// reportUsage writes each change of the descriptor usage, and the requests that begin, until this process has no work
// left (done is true), ended is closed or ctx ends.
func (n *Node) reportUsage(
	ctx context.Context, w io.Writer, ended <-chan struct{}, begun *begunQueue,
) (done bool, err error) {
	reported := descriptorUsage{ClientConns: -1, BackendConns: n.maxBackendConns}
	lastActive := time.Now()
	for {
		usage, active := n.releaseDescriptors(reported.BackendConns)
		if usage != reported {
			message, _ := encodeMessage(usage) // numbers can always be encoded
			if _, err := w.Write(message); err != nil {
				return false, err
			}
			reported = usage
		}
		if active {
			lastActive = time.Now()
		}
		if time.Since(lastActive) >= predecessorLinger {
			n.pool.SetMaxOpen(0)
			return true, nil
		}
		select {
		case <-ended:
			return false, io.EOF
		case <-ctx.Done():
			return false, ctx.Err()
		case <-begun.ready:
			if err := writeBegun(w, begun.take()); err != nil {
				return false, err
			}
		case <-time.After(usageReportInterval):
		}
	}
}

// releaseDescriptors closes connections that this process does not need to finish its requests. It returns the
// remaining usage, and whether any connection is in use. reserved is the last reported number of connections to
// backends. The number never rises again, since the successor uses the other connections.
func (n *Node) releaseDescriptors(reserved int) (usage descriptorUsage, active bool) {
	// A request that begins in this process now might not end in time. A client whose connection is closed sends its
	// request again on a new connection.
	n.server.conns.closeIdle(minIdleBeforeClose, closedForHandOver)
	n.server.conns.evictDownTo(n.maxClientConns / predecessorDivisor)
	open, idle := n.pool.Size()
	usage.BackendConns = max(min(reserved, open), min(reservedBackendConns, n.maxBackendConns/predecessorDivisor))
	n.pool.SetMaxOpen(usage.BackendConns)
	usage.ClientConns = n.listener.openConns()
	usage.InFlight = n.server.conns.busy()
	return usage, usage.ClientConns > 0 || open > idle
}
