package node

import (
	"context"
	"io"
	"net/http"

	"hitchvale/internal/admin"
)

// adminView is the node as its second address sees it. It implements admin.Node.
type adminView struct{ node *Node }

// Ready reports whether this process has a backend to send to, is not shutting down, and has nothing more to wait for
// from a predecessor.
func (v adminView) Ready() bool {
	n := v.node
	return n.loop.ready.Load() && !n.server.shutdown.started() && (n.handover == nil || n.handover.serving.Load())
}

// WriteStatistics writes the counters as lines of text.
func (v adminView) WriteStatistics(w io.Writer) { v.node.counters.writeText(w) }

// Metrics serves the counters in Prometheus's text form.
func (v adminView) Metrics() http.Handler { return v.node.metrics.handler() }

// Fleet returns the state of the node's session with the registry; false where the node is not a member of a fleet.
func (v adminView) Fleet() (status any, ok bool) {
	if v.node.fleet == nil {
		return nil, false
	}
	return v.node.fleet.agent.Status(), true
}

// Cordon cordons or uncordons a backend. It returns once that is in the file and the module is notified. The error is
// admin.ErrUnknownBackend for a backend that was never listed.
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
