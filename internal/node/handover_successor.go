package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"hitchvale/internal/discovery"
)

// This file is the successor's side of a hand-over.

var (
	errNoListener         = errors.New("the predecessor sent no listener")
	errOtherListenAddress = errors.New("the predecessor listens on another address")
)

// connectToPredecessor inherits the listener and the offer of a running process of the node. If there is no such
// process, or if it does not answer, this process starts on its own.
func (h *handover) connectToPredecessor() {
	predecessor, err := dialUnix(h.socketPath)
	if err != nil {
		return // no predecessor runs
	}
	predecessor.SetDeadline(time.Now().Add(handoverStepTimeout))
	if err := h.receiveOffer(predecessor); err != nil {
		h.log.Error("predecessor does not hand over, starting while it keeps running", "error", err)
		predecessor.Close()
		return
	}
	predecessor.SetDeadline(time.Time{})
	h.predecessor = predecessor
	h.log.Info("predecessor found, taking over once ready")
}

// receiveOffer receives the predecessor's listener and its offer.
func (h *handover) receiveOffer(predecessor *net.UnixConn) error {
	listener, err := receiveListener(predecessor)
	if err != nil {
		return err
	}
	if address := listener.Addr().String(); address != h.listenAddress {
		listener.Close()
		return fmt.Errorf("%w: %s", errOtherListenAddress, address)
	}
	h.reader = bufio.NewReader(predecessor)
	if err := h.readMessage(&h.offer); err != nil {
		listener.Close()
		return err
	}
	h.inheritedListener = listener
	return nil
}

// receiveListener receives a listener: one byte, with the descriptor of the listener as control data.
func receiveListener(predecessor *net.UnixConn) (net.Listener, error) {
	const descriptorBytes = 4
	control := make([]byte, syscall.CmsgSpace(descriptorBytes))
	var payload [1]byte
	_, n, _, _, err := predecessor.ReadMsgUnix(payload[:], control)
	if err != nil {
		return nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errNoListener, err)
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return nil, errors.Join(errNoListener, err)
	}
	file := os.NewFile(uintptr(descriptors[0]), "listener")
	defer file.Close()
	return net.FileListener(file)
}

// inheritedList returns the endpoint list of the predecessor, since the list in this process's configuration may be
// old. It returns false if there is no predecessor or its list is empty or malformed.
func (h *handover) inheritedList(cfg Config) (discovery.List, bool) {
	if h.predecessor == nil || len(h.offer.List) == 0 {
		return discovery.List{}, false
	}
	list, err := discovery.ParseList(h.offer.List, cfg.Settings)
	if err != nil {
		h.log.Error("predecessor's endpoint list is malformed, using the configured list", "error", err)
		return discovery.List{}, false
	}
	if h.offer.Discovery != cfg.Discovery {
		list.Revision = cfg.Known.Revision // another discovery service may number its lists differently
	}
	return list, len(list.Members) > 0
}

// takeOver makes the predecessor stop accepting, and returns its state and its descriptor usage.
func (h *handover) takeOver() (state handoverState, usage descriptorUsage, err error) {
	h.predecessor.SetDeadline(time.Now().Add(handoverStepTimeout))
	defer h.predecessor.SetDeadline(time.Time{})
	if _, err := io.WriteString(h.predecessor, takeCommand); err != nil {
		return state, usage, err
	}
	if err := h.readMessage(&state); err != nil {
		return state, usage, err
	}
	err = h.readMessage(&usage)
	return state, usage, err
}

// succeedPredecessor takes over once this process is ready. It then adapts this process's limits to the predecessor's
// descriptor usage until the predecessor has ended.
func (n *Node) succeedPredecessor(ctx context.Context) {
	h := n.handover
	defer h.predecessor.Close()
	for !n.loop.ready.Load() && ctx.Err() == nil {
		if n.server.shutdown.started() {
			return // this process is shutting down, so the predecessor continues to serve
		}
		pause(ctx, shutdownPollInterval)
	}
	state, usage, err := h.takeOver()
	n.loop.post(handoverStateReceived{state})
	n.loop.post(requestsBegun{decodeHashes(state.Begun)})
	stopSending := n.sendBegun(ctx, h.predecessor)
	defer stopSending()
	n.shareDescriptors(usage)
	n.listener.setPaused(false)
	n.log.Info("took over from predecessor", "clients", usage.ClientConns, "backends", usage.BackendConns,
		"in_flight", usage.InFlight, "error", err)
	settled := time.AfterFunc(time.Until(h.startedAt.Add(predecessorSettleTimeout)), func() { h.serving.Store(true) })
	defer settled.Stop()
	for err == nil {
		if usage.InFlight == 0 {
			h.serving.Store(true)
		}
		message := usageOrBegun{descriptorUsage: usage}
		if err = h.readMessage(&message); err == nil {
			n.loop.post(requestsBegun{decodeHashes(message.Begun)})
			usage = message.descriptorUsage
			n.shareDescriptors(usage)
		}
	}
	h.serving.Store(true)
	if ctx.Err() == nil && !n.server.shutdown.started() {
		n.log.Info("predecessor ended, using all descriptors")
		n.memory.share(1)
		n.shareDescriptors(descriptorUsage{})
	}
}
