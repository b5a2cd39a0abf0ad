package maintenance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PlanView is the plan as a node reads it from the registry.
type PlanView struct {
	SettledView ViewVersion `json:"epoch"`
	Order       []string    `json:"order"`
	Turns       []Turn      `json:"turns"` // sorted by machine
	ToRecall    []string    `json:"short"` // IDs of the machines that have to wait again (Plan.TurnsToRecall)
}

// NodeState is the state of a node that Propose uses in addition to the plan.
type NodeState struct {
	Node         string
	Incarnation  uint64
	View         ViewVersion    // the version of the fleet's view that the node has
	FreshNodes   []string       // the nodes that are fresh in the view, sorted
	ListRevision int64          // the revision of the member list that the node has
	InFlight     map[string]int // the number of the node's attempts and streams, by machine
	// ViewsUnchanged is, by machine, the number of views for which the machine's turn has had its current revision.
	ViewsUnchanged map[string]int
}

// resettleEpochs is the number of epochs after which an order is settled again while machines wait. The new order takes
// into account how long they have waited.
const resettleEpochs = 10

// orderKey is the key by which the nodes are ranked for settling the order. For the steps of a turn the key is the
// machine's ID.
const orderKey = "order"

// Propose returns the commands that a node proposes on a plan. A node proposes its own confirmations immediately. It
// proposes a step of a turn once the turn has been unchanged for as many views as the node's rank for the turn: the
// first node in rank proposes, and the next node takes over if the first has failed. The result depends on the
// arguments alone.
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

// proposer collects the commands that one node proposes on one plan.
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

// advance proposes a step if the turn has been unchanged for as many views as the node's rank.
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

// canConfirm reports whether the node's member list has the machine as draining, the node has nothing in flight at the
// machine, and this process of the node has not confirmed yet.
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

// confirmedByAll reports whether every fresh node has confirmed.
func (p *proposer) confirmedByAll(t Turn) bool {
	return !slices.ContainsFunc(p.node.FreshNodes, func(node string) bool { return t.ConfirmedBy[node] == 0 })
}

// orderIsOutdated reports whether the order has to be settled anew: a waiting machine is not in it, or machines wait
// and the order is of another term or at least resettleEpochs old.
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
	expired := settled.Term != p.node.View.Term || p.node.View.Epoch >= settled.Epoch+resettleEpochs
	return ordered < waiting || waiting > 0 && expired
}

// settleOrder proposes a new order if the node's rank is at most the epoch modulo the number of nodes. With each epoch
// one more node proposes, in case the nodes before it in rank have failed. After the epoch in which every node
// proposes, only the first node proposes again.
func (p *proposer) settleOrder() {
	nodes := max(len(p.node.FreshNodes), 1)
	if proposalRank(p.node.FreshNodes, p.node.Node, orderKey) <= int(p.node.View.Epoch%uint64(nodes)) {
		p.commands = append(p.commands, Command{Op: OpSettleOrder, View: p.node.View})
	}
}

// grantInOrder proposes to grant every waiting machine, in the settled order. The plan grants a machine only if no
// machine before it fits, and rejects the others.
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

// proposalRank returns a node's rank among the nodes for a key, 0 for the first. The ranks come from rendezvous
// hashing, so that the order of the nodes differs from key to key.
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
