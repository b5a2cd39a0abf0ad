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

// disruption is what is out of service at once: the machines that occupy a slot.
type disruption struct {
	machines map[string]bool
	perSite  map[string]int
	perCell  map[cell]int
	binding  map[string]bool // IDs of the requests that name any of the machines
}

// disruptionWith returns the present disruption and one machine more, unless it occupies a slot already.
func (p *Plan) disruptionWith(t *Turn) *disruption {
	d := &disruption{
		machines: map[string]bool{},
		perSite:  map[string]int{},
		perCell:  map[cell]int{},
		binding:  map[string]bool{},
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
		d.binding[id] = true
	}
}

// exceeds reports whether more machines are out than a budget allows.
func (d *disruption) exceeds(b DisruptionBudget) bool {
	return b.Total > 0 && len(d.machines) > b.Total ||
		b.PerSite > 0 && greatestCount(d.perSite) > b.PerSite ||
		b.PerCell > 0 && greatestCount(d.perCell) > b.PerCell
}

func greatestCount[K comparable](counts map[K]int) int {
	return slices.Max(slices.Collect(maps.Values(counts)))
}

// readyCapacity returns the capacity of the ready machines that are not out, by site.
func (p *Plan) readyCapacity(d *disruption) map[string]float64 {
	ready := map[string]float64{}
	for _, m := range p.inventory.Machines() {
		if m.Ready && !d.machines[m.ID] {
			ready[m.Site] += m.Capacity
		}
	}
	return ready
}

// checkDisruption fails with ErrOverBudget or ErrUnderFloor unless all budgets and floors hold with a machine out
// beside those that are. A request's limits bind if it names any of these machines.
func (p *Plan) checkDisruption(t *Turn) error {
	if plantedFault == faultNoBudget {
		return nil
	}
	d := p.disruptionWith(t)
	ready := p.readyCapacity(d)
	for _, id := range slices.Sorted(maps.Keys(d.binding)) {
		request := p.Requests[id]
		if d.exceeds(request.Budget) {
			return ErrOverBudget.Of(t.Machine, fmt.Errorf("of request %s", id))
		}
		for _, site := range slices.Sorted(maps.Keys(request.CapacityFloor)) {
			if floor := request.CapacityFloor[site]; ready[site] < floor {
				return ErrUnderFloor.Of(t.Machine,
					fmt.Errorf("%s would have %g ready of %g, by request %s", site, ready[site], floor, id))
			}
		}
	}
	return nil
}

// TurnsToRecall returns the machines that should wait again: they are granted or draining, and a floor that binds them
// no longer holds, since another machine has failed. A machine that is quiet or out is not recalled.
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
