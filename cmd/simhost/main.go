// Command simhost is the adapter between the simulator and package balance. It runs one balance.Balancer for each
// simulated node and speaks the simulator's protocol on standard input and output. It reports skipped messages on
// standard error.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/simproto"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// outputBufferSize is the size of the output buffer in bytes. Most replies to a batch fit.
const outputBufferSize = 1 << 16

// run answers batches until the input ends. On an error it discards the unfinished reply, so that it writes only
// complete replies. It writes a line to warnings for each message that it skips.
func run(stdin io.Reader, stdout, warnings io.Writer) error {
	h := host{
		out:      bufio.NewWriterSize(stdout, outputBufferSize),
		warnings: warnings,
		nodes:    map[string]*balance.Balancer{},
	}
	in := simproto.NewReader(stdin)
	for {
		m, err := in.Next()
		if err == io.EOF && !h.inBatch {
			return nil
		}
		if err == io.EOF {
			return errors.New("the input ends within a batch")
		}
		if err != nil {
			return err
		}
		if err := h.handle(&m); err != nil {
			return err
		}
	}
}

// host holds the simulated nodes and the state of the current batch.
type host struct {
	out      *bufio.Writer
	warnings io.Writer
	nodes    map[string]*balance.Balancer
	lists    [simproto.MaxListNumber + 1][]balance.Endpoint // the last list with each number
	now      time.Duration
	inBatch  bool
	reply    []byte // the reply to the current batch so far
	actions  []balance.Action
}

// handle processes one message. Its errors name the line and the message or field.
func (h *host) handle(m *simproto.Message) error {
	if !h.inBatch && m.Kind != simproto.BatchStarted {
		return fmt.Errorf("line %d: %s: a batch must begin with clock", m.Line, m.Name)
	}
	switch m.Kind {
	case simproto.BatchStarted:
		return h.startBatch(m)
	case simproto.BatchEnded:
		return h.endBatch()
	case simproto.NodeStarted:
		return h.startNode(m)
	case simproto.NodeStopped:
		delete(h.nodes, m.Node)
	case simproto.EndpointList:
		h.lists[m.ListNumber] = m.Endpoints
	case simproto.NodeEvent:
		h.handleEvent(m)
	default:
		fmt.Fprintf(h.warnings, "line %d: skipping unknown message %s\n", m.Line, m.Name)
	}
	return nil
}

func (h *host) startBatch(m *simproto.Message) error {
	if h.inBatch || m.At < h.now {
		return fmt.Errorf("line %d: clock: the last batch has not ended, or field atTime is before the last batch", m.Line)
	}
	h.now = m.At
	h.inBatch = true
	return nil
}

// endBatch writes the reply to the current batch.
func (h *host) endBatch() error {
	h.out.Write(simproto.AppendAck(h.reply)) // Flush returns its error
	if err := h.out.Flush(); err != nil {
		return err
	}
	h.reply = h.reply[:0]
	h.inBatch = false
	return nil
}

func (h *host) startNode(m *simproto.Message) error {
	b, err := balance.New(m.Config, m.Seed)
	if err != nil {
		return fmt.Errorf("line %d: spawn: field conf: %w", m.Line, err)
	}
	h.nodes[m.Node] = b
	return nil
}

// handleEvent passes an event to its node and adds the node's actions to the reply. If the event refers to a list, the
// last list with that number is used.
func (h *host) handleEvent(m *simproto.Message) {
	node := h.nodes[m.Node]
	if node == nil {
		fmt.Fprintf(h.warnings, "line %d: skipping %s: node %s is not running\n", m.Line, m.Name, m.Node)
		return
	}
	if m.UsesList {
		listed := m.Event.(balance.EndpointsListed)
		listed.Endpoints = h.lists[m.ListNumber]
		m.Event = listed
	}
	h.actions = node.Handle(h.now, m.Event, h.actions[:0])
	for i := range h.actions {
		h.reply = simproto.AppendAction(h.reply, m.Node, &h.actions[i])
	}
}
