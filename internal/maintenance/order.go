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
	// agingFraction is how much a machine's score falls with each settlement that the machine has waited through, as a
	// fraction of the greatest cost. After 1/agingFraction settlements a machine of known cost precedes every machine
	// that has just begun to wait, so that cheaper newcomers do not delay it forever.
	agingFraction = 0.1

	// unknownCostFactor is the cost that is assumed for a machine without a known cost, as a multiple of the greatest
	// known cost.
	unknownCostFactor = 2
)

// settleOrder replaces the order of the waiting machines by an order of their scores on a newer view. It fails with
// ErrTurnChanged if the view is not newer than the view that the current order was settled on.
func (p *Plan) settleOrder(c *Command) (statemachine.Outcome, error) {
	settled := p.SettledView
	if c.View.Term < settled.Term || c.View.Term == settled.Term && c.View.Epoch <= settled.Epoch {
		return statemachine.Outcome{}, ErrTurnChanged.Of("order",
			fmt.Errorf("the current order was settled on view %d.%d, which is not older", settled.Term, settled.Epoch))
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

// scoreWaiting returns the scores of the waiting machines, and adds one to RoundsWaited of each. The machine with the
// lowest score goes first.
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

// rendezvousWeight returns the weight that breaks ties between machines of equal scores, by rendezvous hashing (Thaler
// and Ravishankar, "Using name-based mappings to increase hit rates", 1998). The weights differ from view to view, so
// that no machine wins every tie, and no node can influence them.
func rendezvousWeight(view ViewVersion, machine string) uint64 {
	key := binary.BigEndian.AppendUint64(nil, view.Term)
	key = binary.BigEndian.AppendUint64(key, view.Epoch)
	return xxhash.Sum64(append(key, machine...))
}

// removeFromOrder removes a machine from the settled order.
func (p *Plan) removeFromOrder(machine string) {
	p.Order = slices.DeleteFunc(p.Order, func(id string) bool { return id == machine })
}

// checkGrant fails unless a waiting machine may take a slot now. It fails with ErrOutOfOrder if the machine is not in
// the settled order, or if a machine before it in the order passes checkDisruption. It fails with the error of
// checkDisruption if the machine itself does not pass.
func (p *Plan) checkGrant(t *Turn) error {
	index := slices.Index(p.Order, t.Machine)
	if index < 0 {
		return ErrOutOfOrder.Of(t.Machine, errors.New("the machine is not in the settled order yet"))
	}
	if err := p.checkDisruption(t); err != nil {
		return err
	}
	for _, id := range p.Order[:index] {
		if p.checkDisruption(p.Turns[id]) == nil {
			return ErrOutOfOrder.Of(t.Machine, fmt.Errorf("%s comes before it in the order and fits", id))
		}
	}
	return nil
}
