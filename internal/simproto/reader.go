package simproto

import (
	"bufio"
	"fmt"
	"io"
	"math"

	"hitchvale/balance"
)

// Reader reads messages from the simulator. It must not be used from two goroutines at the same time.
type Reader struct {
	in   *bufio.Reader
	line int
}

// bufferSize is the size of a Reader's buffer in bytes. A batch of several hundred messages fits.
const bufferSize = 1 << 16

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, bufferSize)} }

// readLine returns the next line without its line end. It returns io.EOF only if the input ends after a complete line.
func (r *Reader) readLine() (string, error) {
	text, err := r.in.ReadString('\n')
	if err == io.EOF && text != "" {
		return "", fmt.Errorf("line %d: the input ends before the line does", r.line+1)
	}
	if err != nil {
		return "", err
	}
	r.line++
	return text[:len(text)-1], nil
}

// Next returns the next message, or io.EOF at the end of the input.
func (r *Reader) Next() (Message, error) {
	text, err := r.readLine()
	if err != nil {
		return Message{}, err
	}
	f, err := parseLine(text, r.line)
	if err != nil {
		return Message{}, err
	}
	m := Message{Line: r.line, Name: f.name}
	r.decode(&m, f)
	return m, f.err
}

// decode fills in m from the fields of its line. Errors stay in f.err.
func (r *Reader) decode(m *Message, f *fields) {
	switch f.name {
	case "clock":
		m.Kind = BatchStarted
		m.At = f.duration("atTime")
	case "your_turn":
		m.Kind = BatchEnded
	case "list":
		m.Kind = EndpointList
		m.ListNumber = f.listNumber()
		m.Endpoints = r.endpoints(f)
	case "spawn":
		m.Kind = NodeStarted
		m.Node = f.text("node")
		m.Seed = f.unsigned("salt", math.MaxUint64)
		m.Config = f.settings("conf")
	case "teardown":
		m.Kind = NodeStopped
		m.Node = f.text("node")
	default:
		decodeEvent(m, f)
	}
}

// maxPreallocated is the largest number of endpoints for which a list allocates space before its lines are read.
const maxPreallocated = 1 << 12

// endpoints reads the entries of a list, one a line.
func (r *Reader) endpoints(f *fields) []balance.Endpoint {
	n := f.index("elements")
	if f.err != nil {
		return nil
	}
	list := make([]balance.Endpoint, 0, min(n, maxPreallocated))
	for range n {
		text, err := r.readLine()
		if err != nil {
			f.fail("elements", fmt.Sprintf("%d entries announced, but only %d found", n, len(list)))
			return nil
		}
		endpoint, err := parseEndpoint(text, r.line)
		if err != nil {
			f.err = err
			return nil
		}
		list = append(list, endpoint)
	}
	return list
}

func parseEndpoint(text string, line int) (balance.Endpoint, error) {
	f, err := parseLine(text, line)
	if err != nil {
		return balance.Endpoint{}, err
	}
	if f.name != "entry" {
		return balance.Endpoint{}, fmt.Errorf("line %d: got message %q, want an entry of the list", line, f.name)
	}
	endpoint := balance.Endpoint{ID: f.endpointID(), Weight: 1}
	endpoint.Phase = balance.Phase(f.oneOf("phase", phaseNames))
	f.optional(func() {
		endpoint.Zone = f.index("rackZone")
		endpoint.Cell = f.index("stripe")
		endpoint.MachineKind = f.index("generationHw")
		endpoint.StartedAt = f.duration("launched")
		if f.has("nominal") {
			endpoint.Weight = f.number("nominal")
		}
	})
	return endpoint, f.err
}
