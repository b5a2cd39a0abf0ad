package maintenance

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hitchvale/internal/statemachine"
)

const (
	// agingFraction is the fraction of the greatest cost that each settlement a machine has waited through takes off
	// its score: after 1/agingFraction of them it precedes any machine that has just begun to wait.
	agingFraction = 0.1

	// unknownCostFactor is the score, in greatest costs, of a machine whose cost the view does not have.
	unknownCostFactor = 2
)

// settleOrder orders the waiting machines by cost and age, for a view newer than the one that the present order is
// settled on (else ErrTurnChanged).
func (p *Plan) settleOrder(c *Command) (statemachine.Outcome, error) {
	settled := p.SettledView
	if c.View.Term < settled.Term || c.View.Term == settled.Term && c.View.Epoch <= settled.Epoch {
		return statemachine.Outcome{}, ErrTurnChanged.Of("order",
			fmt.Errorf("settled on %d.%d", settled.Term, settled.Epoch))
	}
	scores := p.scoreWaiting(c.Costs)
	p.SettledView = c.View
	p.Order = slices.SortedFunc(maps.Keys(scores), func(a, b string) int {
		return cmp.Or(
			cmp.Compare(scores[a], scores[b]),
			-cmp.Compare(rendezvousWeight(c.View, a), rendezvousWeight(c.View, b)),
			cmp.Compare(a, b))
	})
	return statemachine.Outcome{Value: p.Order}, nil
}

// scoreWaiting returns the scores of the waiting machines, the lowest to go first, and counts the settlement in their
// RoundsWaited.
func (p *Plan) scoreWaiting(costs map[string]float64) map[string]float64 {
	scores := map[string]float64{}
	greatest := 0.0
	for _, t := range p.Turns {
		cost, ok := costs[t.Machine]
		if t.State == Waiting && ok && cost >= 0 && !math.IsInf(cost, 0) {
			scores[t.Machine] = cost
			greatest = max(greatest, cost)
		}
	}
	greatest = cmp.Or(greatest, 1)
	for _, t := range p.Turns {
		if _, ok := scores[t.Machine]; t.State == Waiting && !ok {
			scores[t.Machine] = unknownCostFactor * greatest
		}
	}
	for id := range scores {
		t := p.Turns[id]
		scores[id] -= agingFraction * greatest * float64(t.RoundsWaited)
		t.RoundsWaited++
	}
	return scores
}

// rendezvousWeight breaks ties between machines of one score by rendezvous hashing (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998): they go to another machine with each view, and no node can choose.
func rendezvousWeight(view ViewVersion, machine string) uint64 {
	key := binary.BigEndian.AppendUint64(nil, view.Term)
	key = binary.BigEndian.AppendUint64(key, view.Epoch)
	return xxhash.Sum64(append(key, machine...))
}

// removeFromOrder removes a machine from the settled order.
func (p *Plan) removeFromOrder(machine string) {
	p.Order = slices.DeleteFunc(p.Order, func(id string) bool { return id == machine })
}

// checkGrant fails unless a waiting machine may take a slot now: it is in the settled order and fits (checkDisruption),
// and none before it in the order fits (else ErrOutOfOrder).
func (p *Plan) checkGrant(t *Turn) error {
	at := slices.Index(p.Order, t.Machine)
	if at < 0 {
		return ErrOutOfOrder.Of(t.Machine, errors.New("no order has been settled with it"))
	}
	if err := p.checkDisruption(t); err != nil {
		return err
	}
	for _, id := range p.Order[:at] {
		if p.checkDisruption(p.Turns[id]) == nil {
			return ErrOutOfOrder.Of(t.Machine, fmt.Errorf("%s goes first", id))
		}
	}
	return nil
}
