package maintenance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Board is the record as a node reads it.
type PlanView struct {
	SettledView ViewVersion `json:"epoch"`
	Order       []string    `json:"order"`
	Turns       []Turn      `json:"turns"` // by machine
	ToRecall    []string    `json:"short"` // to be called back, as a floor does not hold any more
}

// Local is what a node knows beside the board.
type NodeState struct {
	Node         string
	Incarnation  uint64
	View         ViewVersion    // the view that it holds
	FreshNodes   []string       // those fresh in it, in order
	ListRevision int64          // revision of the list that it holds
	InFlight     map[string]int // what it has open by machine
	// Seen counts, by machine, the views for which the turn has stood at its revision: a node waits for its rank.
	ViewsUnchanged map[string]int
}

// settleEvery is how many epochs an order stands while machines wait and none is granted: their age counts anew then.
const resettleEpochs = 10

// Next gives what a node proposes on a board: its own confirmations at once; a step of a turn once the turn has stood for
// as many views as the node's rank for it, so that one node proposes and the next one does where that one is gone. It is
// pure: the same board and Local give the same commands.
func Propose(b PlanView, l NodeState) []Command {
	var out []Command
	step := func(t Turn, to TurnState) {
		if proposalRank(l.FreshNodes, l.Node, t.Machine) <= l.ViewsUnchanged[t.Machine] {
			out = append(out, Command{Op: OpAdvanceTurn, Machine: t.Machine, Revision: t.Revision, Target: to})
		}
	}
	waiting, ordered := 0, 0
	turns := map[string]Turn{}
	for _, t := range b.Turns {
		turns[t.Machine] = t
		if slices.Contains(b.ToRecall, t.Machine) {
			step(t, Waiting)
			continue
		}
		switch t.State {
		case Waiting:
			if waiting++; slices.Contains(b.Order, t.Machine) {
				ordered++
			}
		case Granted:
			step(t, Draining)
		case Draining:
			if t.ConfirmedBy[l.Node] != l.Incarnation && l.ListRevision >= t.DrainingRevision && l.InFlight[t.Machine] == 0 {
				out = append(out, Command{Op: OpConfirmDrained, Machine: t.Machine, Node: l.Node, Incarnation: l.Incarnation, ListRevision: l.ListRevision})
			}
			if !slices.ContainsFunc(l.FreshNodes, func(n string) bool { return t.ConfirmedBy[n] == 0 }) {
				step(t, Quiet)
			}
		}
	}
	if ordered < waiting || waiting > 0 && (b.SettledView.Term != l.View.Term || l.View.Epoch >= b.SettledView.Epoch+resettleEpochs) {
		if proposalRank(l.FreshNodes, l.Node, "order") <= int(l.View.Epoch%uint64(max(len(l.FreshNodes), 1))) {
			out = append(out, Command{Op: OpSettleOrder, View: l.View})
		}
		return out
	}
	for _, id := range b.Order { // the record takes the first that fits and refuses those behind it
		if t, ok := turns[id]; ok && t.State == Waiting {
			step(t, Granted)
		}
	}
	return out
}

// rank is a node's place among the live ones for a thing, by rendezvous hash: each thing has another first.
func proposalRank(nodes []string, node, thing string) int {
	weight := func(n string) uint64 { return xxhash.Sum64String(thing + "\x00" + n) }
	mine, place := weight(node), 0
	for _, n := range nodes {
		if n != node && cmp.Or(cmp.Compare(weight(n), mine), cmp.Compare(n, node)) > 0 {
			place++
		}
	}
	return place
}
