package node

import (
	"io"
	"net/http"
)

// told is the node as its second address sees it.
type told struct{ n *Node }

func (t told) Ready() bool {
	n := t.n
	return n.loop.ready.Load() && !n.front.shutdown.begun() && (n.handing == nil || n.handing.serving.Load())
}

func (t told) Figures(w io.Writer) { t.n.figures.write(w) }

func (t told) Metrics() http.Handler { return t.n.metrics.handler() }

func (t told) Fleet() (any, bool) {
	if t.n.fleet == nil {
		return nil, false
	}
	return t.n.fleet.agent.Status(), true
}
