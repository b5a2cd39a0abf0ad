package maintenance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PlanView is the plan as a node reads it.
type PlanView struct {
	SettledView ViewVersion `json:"epoch"`
	Order       []string    `json:"order"`
	Turns       []Turn      `json:"turns"` // by machine
	ToRecall    []string    `json:"short"` // machines that have to wait again
}

// NodeState is what a node knows beside the plan.
type NodeState struct {
	Node         string
	Incarnation  uint64
	View         ViewVersion    // of the fleet's view that the node has
	FreshNodes   []string       // those that are fresh in the view, sorted
	ListRevision int64          // of the member list that the node has
	InFlight     map[string]int // the node's attempts and streams, by machine
	// ViewsUnchanged counts, by machine, the views for which its turn has had its present revision.
	ViewsUnchanged map[string]int
}

// resettleEpochs is how many epochs an order stands while machines wait and none is granted; a new one counts their
// age.
const resettleEpochs = 10

// orderKey ranks the nodes for settling the order, as a machine's ID does for the steps of its turn.
const orderKey = "order"

// Propose returns the commands that a node proposes on a plan. It proposes its own confirmations at once, and a step of
// a turn once the turn has been unchanged for as many views as the node's rank for it, so that one node proposes and
// the next one does if that one has failed. The result depends on the arguments alone.
func Propose(plan PlanView, node NodeState) []Command {
	p := proposer{plan: plan, node: node}
	for _, t := range plan.Turns {
		p.proposeForTurn(t)
	}
	if p.orderIsOutdated() {
		p.settleOrder()
	} else {
		p.grantInOrder()
	}
	return p.commands
}

// proposer collects what one node proposes on one plan.
type proposer struct {
	plan     PlanView
	node     NodeState
	commands []Command
}

func (p *proposer) proposeForTurn(t Turn) {
	if slices.Contains(p.plan.ToRecall, t.Machine) {
		p.advance(t, Waiting)
		return
	}
	switch t.State {
	case Granted:
		p.advance(t, Draining)
	case Draining:
		if p.canConfirm(t) {
			p.confirm(t)
		}
		if p.confirmedByAll(t) {
			p.advance(t, Quiet)
		}
	}
}

// advance proposes a step if the turn has been unchanged for the node's rank.
func (p *proposer) advance(t Turn, target TurnState) {
	if proposalRank(p.node.FreshNodes, p.node.Node, t.Machine) > p.node.ViewsUnchanged[t.Machine] {
		return
	}
	p.commands = append(p.commands, Command{
		Op:       OpAdvanceTurn,
		Machine:  t.Machine,
		Revision: t.Revision,
		Target:   target,
	})
}

// canConfirm reports whether the node has the draining and nothing in flight there, and has not confirmed it yet.
func (p *proposer) canConfirm(t Turn) bool {
	return t.ConfirmedBy[p.node.Node] != p.node.Incarnation &&
		p.node.ListRevision >= t.DrainingRevision &&
		p.node.InFlight[t.Machine] == 0
}

func (p *proposer) confirm(t Turn) {
	p.commands = append(p.commands, Command{
		Op:           OpConfirmDrained,
		Machine:      t.Machine,
		Node:         p.node.Node,
		Incarnation:  p.node.Incarnation,
		ListRevision: p.node.ListRevision,
	})
}

func (p *proposer) confirmedByAll(t Turn) bool {
	return !slices.ContainsFunc(p.node.FreshNodes, func(node string) bool { return t.ConfirmedBy[node] == 0 })
}

// orderIsOutdated reports whether a waiting machine is not in the order, or the order is of another term or has stood
// for resettleEpochs.
func (p *proposer) orderIsOutdated() bool {
	waiting := 0
	ordered := 0
	for _, t := range p.plan.Turns {
		if t.State != Waiting || slices.Contains(p.plan.ToRecall, t.Machine) {
			continue
		}
		waiting++
		if slices.Contains(p.plan.Order, t.Machine) {
			ordered++
		}
	}
	settled := p.plan.SettledView
	outlived := settled.Term != p.node.View.Term || p.node.View.Epoch >= settled.Epoch+resettleEpochs
	return ordered < waiting || waiting > 0 && outlived
}

// settleOrder proposes a new order if it is the node's turn: with each epoch one more node in rank proposes.
func (p *proposer) settleOrder() {
	nodes := max(len(p.node.FreshNodes), 1)
	if proposalRank(p.node.FreshNodes, p.node.Node, orderKey) <= int(p.node.View.Epoch%uint64(nodes)) {
		p.commands = append(p.commands, Command{Op: OpSettleOrder, View: p.node.View})
	}
}

// grantInOrder proposes to grant every waiting machine in the settled order. The plan grants the first that fits and
// refuses those behind it.
func (p *proposer) grantInOrder() {
	turns := map[string]Turn{}
	for _, t := range p.plan.Turns {
		turns[t.Machine] = t
	}
	for _, id := range p.plan.Order {
		if t, ok := turns[id]; ok && t.State == Waiting {
			p.advance(t, Granted)
		}
	}
}

// proposalRank returns a node's rank among the nodes for a key by rendezvous hashing, 0 for the first: each key has
// another order of nodes.
func proposalRank(nodes []string, node, key string) int {
	weight := func(n string) uint64 { return xxhash.Sum64String(key + "\x00" + n) }
	own := weight(node)
	rank := 0
	for _, other := range nodes {
		if other != node && cmp.Or(cmp.Compare(weight(other), own), cmp.Compare(other, node)) > 0 {
			rank++
		}
	}
	return rank
}
