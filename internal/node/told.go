package node

import "io"

// told is the node as its second address sees it.
type told struct{ n *Node }

func (t told) Ready() bool {
	return t.n.loop.ready.Load() && !t.n.front.leaving.Load()
}

func (t told) Figures(w io.Writer) { t.n.figures.write(w) }
