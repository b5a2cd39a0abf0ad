package node

import (
	"io"
	"net/http"
)

// adminView is the node as its second address sees it.
type adminView struct{ n *Node }

func (v adminView) Ready() bool {
	n := v.n
	return n.loop.ready.Load() && !n.server.shutdown.started() && (n.handover == nil || n.handover.serving.Load())
}

func (v adminView) Figures(w io.Writer) { v.n.figures.write(w) }

func (v adminView) Metrics() http.Handler { return v.n.metrics.handler() }

func (v adminView) Fleet() (any, bool) {
	if v.n.fleet == nil {
		return nil, false
	}
	return v.n.fleet.agent.Status(), true
}
