package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"hitchvale/balance"
)

// This file has the messages on the hand-over socket, which processes of other versions send and read. In order:
//
//	predecessor: one byte that carries the descriptor of the listener, then a handoverOffer
//	successor:   takeCommand
//	predecessor: a handoverState, then a descriptorUsage at each change until one of the two ends
//
// Each message but the first byte is a line; all but takeCommand are JSON.

const (
	// listenerByte is the byte that carries the descriptor.
	listenerByte = 'L'
	// takeCommand has the predecessor stop accepting.
	takeCommand = "take\n"
	// maxHandoverMessageBytes bounds a message.
	maxHandoverMessageBytes = 4 << 20
)

var (
	errMessageTooLong    = errors.New("hand-over message is too long")
	errUnexpectedCommand = errors.New("unexpected hand-over command")
)

// handoverOffer is what the predecessor sends beside the listener.
type handoverOffer struct {
	Discovery string          `json:"discovery"` // the address of discovery that it uses
	List      json.RawMessage `json:"list"`      // its endpoint list, in discovery's form
}

// handoverState is the state of the predecessor's module.
type handoverState struct {
	State       balance.HandoverState `json:"memory"` // times are on the predecessor's clock, starts on the wall clock
	EndpointIDs []string              `json:"ids"`    // discovery's id of each endpoint in State
	Now         time.Duration         `json:"now"`    // the predecessor's clock as this was sent; 0: unknown
}

// descriptorUsage is what the predecessor still has of the node's descriptor budget, and of work.
type descriptorUsage struct {
	ClientConns  int `json:"clients"`
	BackendConns int `json:"backends"` // reserved ones; never rises
	InFlight     int `json:"busy"`     // requests; may rise
}

// readMessage decodes the predecessor's next message.
func (h *handover) readMessage(into any) error {
	line, err := readLine(h.reader, maxHandoverMessageBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(line, into)
}

// encodeMessage encodes a message as a line.
func encodeMessage(message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	return append(text, '\n'), nil
}

// readLine reads a line of bounded length.
func readLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > maxBytes {
			return nil, errMessageTooLong
		}
	}
}

// closeWithContext closes a connection when ctx ends, and returns what ends that watch.
func closeWithContext(ctx context.Context, c net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { c.Close() })
}
