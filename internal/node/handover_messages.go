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

// This file has the messages on the hand-over socket. Processes of other versions send and read them too. In order:
//
//	predecessor: one byte that carries the descriptor of the listener, then a handoverOffer
//	successor:   takeCommand
//	predecessor: a handoverState, then a descriptorUsage at each change and a begunMessage for requests that begin, until
//	             one of the processes ends
//	successor:   a begunMessage for requests that begin
//
// Each message except the first byte is a line of text. Each line except takeCommand is JSON.

const (
	// listenerByte is the byte that carries the descriptor of the listener.
	listenerByte = 'L'
	// takeCommand makes the predecessor stop accepting.
	takeCommand = "take\n"
	// maxHandoverMessageBytes bounds the length of a message.
	maxHandoverMessageBytes = 4 << 20
)

var (
	errMessageTooLong    = errors.New("hand-over message is too long")
	errUnexpectedCommand = errors.New("unexpected hand-over command")
)

// handoverOffer is the message that the predecessor sends after the listener.
type handoverOffer struct {
	Discovery string          `json:"discovery"` // the address of discovery that the predecessor uses
	List      json.RawMessage `json:"list"`      // the predecessor's endpoint list, in discovery's format
}

// handoverState is the state of the predecessor's Balancer.
type handoverState struct {
	State       balance.HandoverState `json:"memory"` // on the predecessor's clock; start times on the wall clock
	EndpointIDs []string              `json:"ids"`    // discovery's id of each endpoint in State
	Now         time.Duration         `json:"now"`    // the predecessor's clock at sending; 0 if unknown
	begunMessage
}

// begunMessage names requests that one process of the node has sent to a backend and that must not run twice. A process
// that does not know the message ignores it.
type begunMessage struct {
	Begun []byte `json:"begun,omitempty"` // encoded requestHashes
}

// descriptorUsage is the part of the node's descriptor budget that the predecessor still uses, and its requests in
// flight.
type descriptorUsage struct {
	ClientConns  int `json:"clients"`
	BackendConns int `json:"backends"` // reserved connections; never rises
	InFlight     int `json:"busy"`     // requests in flight; may rise
}

// usageOrBegun is a descriptorUsage or a begunMessage. Of the other one, the fields are absent.
type usageOrBegun struct {
	descriptorUsage
	begunMessage
}

// readMessage reads the predecessor's next message and decodes it into the given value.
func (h *handover) readMessage(into any) error {
	line, err := readLine(h.reader, maxHandoverMessageBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(line, into)
}

// encodeMessage encodes a message as a line of JSON.
func encodeMessage(message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	return append(text, '\n'), nil
}

// readLine reads a line, including its line break. It returns errMessageTooLong for a line of more than maxBytes.
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

// closeWithContext closes a connection when ctx ends, until stop is called.
func closeWithContext(ctx context.Context, c net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { c.Close() })
}
