package node

import (
	"context"
	"net/http"
	"time"

	"hitchvale/internal/fleet"
	"hitchvale/internal/maintenance"
)

// turns is a node's part in the rota: with each view that tells of machines with a turn it reads the board, confirms what
// is quiet here, and proposes what maintenance.Next says. All of it runs between two reports of the fleet's agent.
type turns struct {
	n      *Node
	client *fleet.Client
	seen   map[string]int // by machine: views for which its turn has stood
	at     map[string]int64
}

// turnWithin bounds what a node does about turns after one view.
const turnWithin = 2 * time.Second

func newTurns(n *Node, client *fleet.Client) *turns {
	return &turns{n: n, client: client, seen: map[string]int{}, at: map[string]int64{}}
}

// follow acts on one view.
func (t *turns) follow(ctx context.Context, v fleet.View, incarnation uint64) {
	if v.MaintenanceTurns == 0 {
		clear(t.seen)
		clear(t.at)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, turnWithin)
	defer cancel()
	var b maintenance.PlanView
	if err := t.client.Call(ctx, http.MethodGet, maintenance.PlanPath, nil, &b); err != nil {
		t.n.log.Warn("rota not read", "error", err)
		return
	}
	t.count(b)
	l, ok := t.local(ctx, v, incarnation)
	if !ok {
		return // the loop is too busy to say what is open: nothing is confirmed on a guess
	}
	for _, c := range maintenance.Propose(b, l) {
		if err := t.propose(ctx, c); err != nil && c.Op == maintenance.OpAdvanceTurn {
			t.n.log.Info("turn not taken", "machine", c.Machine, "to", c.Target, "error", err)
		}
	}
}

// count takes in for how many views each turn has stood as it does.
func (t *turns) count(b maintenance.PlanView) {
	seen, at := map[string]int{}, map[string]int64{}
	for _, x := range b.Turns {
		if at[x.Machine] = x.Revision; t.at[x.Machine] == x.Revision {
			seen[x.Machine] = t.seen[x.Machine] + 1
		}
	}
	t.seen, t.at = seen, at
}

// local asks the loop for the list that it holds and what it has open at whom.
func (t *turns) local(ctx context.Context, v fleet.View, incarnation uint64) (maintenance.NodeState, bool) {
	l := maintenance.NodeState{Node: t.n.cfg.Name, Incarnation: incarnation, View: maintenance.ViewVersion(v.ViewVersion), ViewsUnchanged: t.seen}
	for _, n := range v.Nodes {
		if n.Fresh {
			l.FreshNodes = append(l.FreshNodes, n.Node)
		}
	}
	reply := make(chan openWork, 1)
	open, err := query(ctx, t.n.loop, openWorkQuery{reply}, reply)
	if err != nil {
		return l, false
	}
	l.ListRevision, l.InFlight = open.revision, open.inFlight
	return l, true
}

// propose makes one proposal; the record decides.
func (t *turns) propose(ctx context.Context, c maintenance.Command) error {
	if c.Op == maintenance.OpSettleOrder {
		return t.client.Call(ctx, http.MethodPost, c.Path(), c.View, nil)
	}
	return t.client.Call(ctx, http.MethodPost, c.Path(), c, nil)
}
