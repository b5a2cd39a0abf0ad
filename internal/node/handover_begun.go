package node

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
)

// This file passes the requests that have begun between the processes of a node. A client may leave one process and
// send its request again to the other.

// writeBegun writes a begunMessage.
func writeBegun(w io.Writer, requests requestHashes) error {
	message, err := encodeMessage(begunMessage{Begun: requests.encode()})
	if err != nil {
		return err
	}
	_, err = w.Write(message)
	return err
}

// sendBegun sends the requests that begin in this process to the other process of the node, until stop is called, ctx
// ends or the connection fails.
func (n *Node) sendBegun(ctx context.Context, to net.Conn) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	queue := newBegunQueue()
	n.loop.post(begunQueueSet{queue})
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-queue.ready:
			}
			if writeBegun(to, queue.take()) != nil {
				return
			}
		}
	}()
	return func() {
		cancel()
		n.loop.post(begunQueueSet{})
	}
}

// receiveBegun receives the requests that begin in the other process of the node, until the connection ends.
func (n *Node) receiveBegun(from net.Conn) {
	reader := bufio.NewReader(from)
	for {
		line, err := readLine(reader, maxHandoverMessageBytes)
		if err != nil {
			return
		}
		var message begunMessage
		if json.Unmarshal(line, &message) == nil {
			n.loop.post(requestsBegun{decodeHashes(message.Begun)})
		}
	}
}
