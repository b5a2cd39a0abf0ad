package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// cell identifies a cell of a site.
type cell struct {
	site   string
	number int
}

// disruption is the set of machines that are out of service at the same time, which are the machines that occupy a
// slot.
type disruption struct {
	machines map[string]bool
	perSite  map[string]int
	perCell  map[cell]int
	requests map[string]bool // IDs of the requests that name any of the machines; their limits apply
}

// disruptionWith returns the disruption of the machines that occupy a slot and, in addition, the machine of t.
func (p *Plan) disruptionWith(t *Turn) *disruption {
	d := &disruption{
		machines: map[string]bool{},
		perSite:  map[string]int{},
		perCell:  map[cell]int{},
		requests: map[string]bool{},
	}
	d.add(t)
	for _, other := range p.Turns {
		if other.State.occupiesSlot() && other != t {
			d.add(other)
		}
	}
	return d
}

func (d *disruption) add(t *Turn) {
	d.machines[t.Machine] = true
	d.perSite[t.Site]++
	d.perCell[cell{site: t.Site, number: t.Cell}]++
	for _, id := range t.Requests {
		d.requests[id] = true
	}
}

// exceeds reports whether the disruption has more machines than a budget allows.
func (d *disruption) exceeds(b DisruptionBudget) bool {
	return b.Total > 0 && len(d.machines) > b.Total ||
		b.PerSite > 0 && greatestCount(d.perSite) > b.PerSite ||
		b.PerCell > 0 && greatestCount(d.perCell) > b.PerCell
}

func greatestCount[K comparable](counts map[K]int) int {
	return slices.Max(slices.Collect(maps.Values(counts)))
}

// readyCapacity returns, by site, the capacity of the ready machines that are not part of the disruption.
func (p *Plan) readyCapacity(d *disruption) map[string]float64 {
	ready := map[string]float64{}
	for _, m := range p.inventory.Machines() {
		if m.Ready && !d.machines[m.ID] {
			ready[m.Site] += m.Capacity
		}
	}
	return ready
}

// checkDisruption fails with ErrOverBudget or ErrUnderFloor unless every budget and floor holds when the machine of t
// is out in addition to the machines that are out already. A request's budget and floors apply if the request names any
// of these machines.
func (p *Plan) checkDisruption(t *Turn) error {
	if plantedFault == faultNoBudget {
		return nil
	}
	d := p.disruptionWith(t)
	ready := p.readyCapacity(d)
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		request := p.Requests[id]
		if d.exceeds(request.Budget) {
			return ErrOverBudget.Of(t.Machine, fmt.Errorf("this is the budget of request %s", id))
		}
		for _, site := range slices.Sorted(maps.Keys(request.CapacityFloor)) {
			if floor := request.CapacityFloor[site]; ready[site] < floor {
				return ErrUnderFloor.Of(t.Machine,
					fmt.Errorf("site %s would have a ready capacity of %g, and its floor in request %s is %g",
						site, ready[site], id, floor))
			}
		}
	}
	return nil
}

// TurnsToRecall returns the IDs of the machines that have to wait again, sorted. These machines are granted or
// draining, and a floor that applies to them no longer holds, for example because another machine has failed. A machine
// that is quiet or out is not recalled.
func (p *Plan) TurnsToRecall() []string {
	var recalled []string
	for _, id := range slices.Sorted(maps.Keys(p.Turns)) {
		t := p.Turns[id]
		if (t.State == Granted || t.State == Draining) && errors.Is(p.checkDisruption(t), ErrUnderFloor) {
			recalled = append(recalled, id)
		}
	}
	return recalled
}
