package node

import (
	"context"
	"io"
	"net/http"

	"hitchvale/internal/admin"
)

// adminView gives the admin server access to the node. It implements admin.Node.
type adminView struct{ node *Node }

// Ready reports whether this process has a backend for requests, is not shutting down and has completed the hand-over
// from its predecessor, if there was one.
func (v adminView) Ready() bool {
	n := v.node
	return n.loop.ready.Load() && !n.server.shutdown.started() && (n.handover == nil || n.handover.serving.Load())
}

// WriteStatistics writes each counter as a line of text.
func (v adminView) WriteStatistics(w io.Writer) { v.node.counters.writeText(w) }

// Metrics returns a handler that serves the counters in the text format of Prometheus.
func (v adminView) Metrics() http.Handler { return v.node.metrics.handler() }

// Fleet returns the state of the node's session with the registry. If the node is not a member of a fleet, ok is false.
func (v adminView) Fleet() (status any, ok bool) {
	if v.node.fleet == nil {
		return nil, false
	}
	return v.node.fleet.agent.Status(), true
}

// Cordon cordons or uncordons a backend. It returns when the change is stored in the file of cordons and the Balancer
// has been notified. It returns admin.ErrUnknownBackend for a backend that has never been listed.
func (v adminView) Cordon(ctx context.Context, backendID string, cordoned bool) error {
	loop := v.node.loop
	reply := make(chan cordonState, 1)
	state, err := query(ctx, loop, cordonQuery{backendID: backendID, reply: reply}, reply)
	if err != nil {
		return err
	}
	if !state.known {
		return admin.ErrUnknownBackend
	}
	record, err := v.node.cordons.update(ctx, state.record, backendID, cordoned, wallClock())
	if err != nil {
		return err
	}
	applied := make(chan struct{}, 1)
	_, err = query(ctx, loop, cordonsChanged{record: record, applied: applied}, applied)
	return err
}
