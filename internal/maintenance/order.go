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

// ageShare is the part of the greatest cost that each settlement a machine has waited through takes off its own: after
// 1/ageShare of them it goes before any that has just come.
const agingFraction = 0.1

// request takes in an operator's request. Its machines must be listed, and its floors be ones that can be met with one
// machine of the site out: otherwise it could never end.
func (r *Plan) addRequest(q Request, next int64) (statemachine.Outcome, error) {
	switch b := q.Budget; {
	case q.ID == "" || len(q.ID) > 128:
		return statemachine.Outcome{}, ErrMalformed.Of("id", errors.New("1 to 128 bytes are wanted"))
	case len(q.Machines) == 0:
		return statemachine.Outcome{}, ErrMalformed.Of(q.ID, errors.New("no machine named"))
	case b.Total < 0 || b.PerSite < 0 || b.PerCell < 0:
		return statemachine.Outcome{}, ErrMalformed.Of(q.ID, errors.New("budget: negative"))
	case q.ExpectedMs <= 0:
		return statemachine.Outcome{}, ErrMalformed.Of(q.ID, errors.New("length_ms must be above 0"))
	}
	units := map[string]Machine{}
	capacity := map[string]float64{}
	for _, u := range r.inventory.Machines() {
		units[u.ID] = u
		capacity[u.Site] += u.Capacity
	}
	for _, id := range q.Machines {
		u, ok := units[id]
		if !ok {
			return statemachine.Outcome{}, ErrNotFound.Of(id, nil)
		}
		if floor := q.CapacityFloor[u.Site]; capacity[u.Site]-u.Capacity < floor {
			return statemachine.Outcome{}, ErrUnderFloor.Of(u.Site, fmt.Errorf("%g with %s out and all else ready, and %g is the floor",
				capacity[u.Site]-u.Capacity, id, floor))
		}
	}
	for site, floor := range q.CapacityFloor {
		if math.IsNaN(floor) || floor < 0 {
			return statemachine.Outcome{}, ErrMalformed.Of(q.ID, fmt.Errorf("floor of %s: %g", site, floor))
		}
	}
	if _, ok := r.Requests[q.ID]; ok {
		r.detachWaiting(q.ID, next) // asked anew: its budget and machines may have changed; what is out stays out
	}
	r.Requests[q.ID] = q
	for _, id := range q.Machines {
		t := r.Turns[id]
		if t == nil {
			u := units[id]
			t = &Turn{Machine: id, Site: u.Site, Cell: u.Cell, Capacity: u.Capacity, State: Waiting, Revision: next}
			r.Turns[id] = t
		}
		if !slices.Contains(t.Requests, q.ID) { // one machine is never in two turns
			t.Requests = append(t.Requests, q.ID)
			slices.Sort(t.Requests)
		}
	}
	return statemachine.Outcome{Value: q}, nil
}

// withdraw ends a request: machines that wait for it alone wait no more; one that is on its way goes on, back to the
// list, by its steps.
func (r *Plan) withdrawRequest(id string, next int64) (statemachine.Outcome, error) {
	if _, ok := r.Requests[id]; !ok {
		return statemachine.Outcome{}, ErrNotFound.Of(id, nil)
	}
	r.detachWaiting(id, next)
	if !r.hasTurns(id) {
		delete(r.Requests, id)
	}
	return statemachine.Outcome{}, nil
}

// drop takes a request off the machines that have not been granted. One that holds a slot keeps the request, so that its
// budget and floor bind until the machine is back.
func (r *Plan) detachWaiting(id string, next int64) {
	for _, m := range slices.Sorted(maps.Keys(r.Turns)) {
		t := r.Turns[m]
		if t.State != Waiting || !slices.Contains(t.Requests, id) {
			continue
		}
		t.Requests = slices.DeleteFunc(t.Requests, func(x string) bool { return x == id })
		if t.Revision = next; len(t.Requests) == 0 {
			delete(r.Turns, m)
			r.Order = slices.DeleteFunc(r.Order, func(x string) bool { return x == m })
		}
	}
}

// settle computes the order of the waiting machines from their costs at one epoch, which travel in the command: a replica
// that replays its log settles the same. An epoch no newer than the last changes nothing.
func (r *Plan) settleOrder(c *Command) (statemachine.Outcome, error) {
	if c.View.Term < r.SettledView.Term || c.View.Term == r.SettledView.Term && c.View.Epoch <= r.SettledView.Epoch {
		return statemachine.Outcome{}, ErrTurnChanged.Of("order", fmt.Errorf("settled on %d.%d", r.SettledView.Term, r.SettledView.Epoch))
	}
	score, greatest := map[string]float64{}, 0.0
	for _, t := range r.Turns {
		x, ok := c.Costs[t.Machine]
		if t.State == Waiting && ok && x >= 0 && !math.IsInf(x, 0) {
			score[t.Machine], greatest = x, max(greatest, x)
		}
	}
	greatest = cmp.Or(greatest, 1)
	for _, t := range r.Turns {
		if _, ok := score[t.Machine]; t.State == Waiting && !ok {
			score[t.Machine] = 2 * greatest // nobody knows what it would do
		}
	}
	for id := range score {
		score[id] -= agingFraction * greatest * float64(r.Turns[id].RoundsWaited)
		r.Turns[id].RoundsWaited++
	}
	r.SettledView = c.View
	r.Order = slices.SortedFunc(maps.Keys(score), func(a, b string) int {
		return cmp.Or(cmp.Compare(score[a], score[b]), -cmp.Compare(rendezvousWeight(c.View, a), rendezvousWeight(c.View, b)), cmp.Compare(a, b))
	})
	return statemachine.Outcome{Value: r.Order}, nil
}

// rendezvous is the weight of a machine at an epoch (Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", 1998): ties go to another machine each time, and no node has a say in it.
func rendezvousWeight(e ViewVersion, id string) uint64 {
	b := binary.BigEndian.AppendUint64(nil, e.Term)
	b = binary.BigEndian.AppendUint64(b, e.Epoch)
	return xxhash.Sum64(append(b, id...))
}

// mayGrant tells whether a waiting machine may take a slot now: it fits, and none before it in the settled order does.
func (r *Plan) checkGrant(t *Turn) error {
	at := slices.Index(r.Order, t.Machine)
	if at < 0 {
		return ErrOutOfOrder.Of(t.Machine, errors.New("no order has been settled with it"))
	}
	if err := r.checkDisruption(t); err != nil {
		return err
	}
	for _, id := range r.Order[:at] {
		if r.checkDisruption(r.Turns[id]) == nil {
			return ErrOutOfOrder.Of(t.Machine, fmt.Errorf("%s goes first", id))
		}
	}
	return nil
}

// fits tells whether budgets and floors hold with one machine more out. Budgets are those of every request that asks for
// it or for a machine that is out; so are floors.
func (r *Plan) checkDisruption(t *Turn) error {
	if plantedFault == "budget" {
		return nil
	}
	out := []*Turn{t}
	for _, o := range r.Turns {
		if o.State.occupiesSlot() && o != t {
			out = append(out, o)
		}
	}
	binding := map[string]bool{}
	gone := map[string]bool{}
	all, site, cell := 0, map[string]int{}, map[string]int{}
	for _, o := range out {
		for _, id := range o.Requests {
			binding[id] = true
		}
		gone[o.Machine] = true
		all++
		site[o.Site]++
		cell[fmt.Sprintf("%s/%d", o.Site, o.Cell)]++
	}
	ready := map[string]float64{}
	for _, u := range r.inventory.Machines() {
		if u.Ready && !gone[u.ID] {
			ready[u.Site] += u.Capacity
		}
	}
	most := func(m map[string]int) int { return slices.Max(slices.Collect(maps.Values(m))) }
	for _, id := range slices.Sorted(maps.Keys(binding)) {
		q := r.Requests[id]
		b := q.Budget
		if b.Total > 0 && all > b.Total || b.PerSite > 0 && most(site) > b.PerSite || b.PerCell > 0 && most(cell) > b.PerCell {
			return ErrOverBudget.Of(t.Machine, fmt.Errorf("of request %s", id))
		}
		for _, s := range slices.Sorted(maps.Keys(q.CapacityFloor)) {
			if ready[s] < q.CapacityFloor[s] {
				return ErrUnderFloor.Of(t.Machine, fmt.Errorf("%s would have %g ready of %g, by request %s", s, ready[s], q.CapacityFloor[s], id))
			}
		}
	}
	return nil
}
