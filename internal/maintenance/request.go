package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"hitchvale/internal/statemachine"
)

// maxRequestIDBytes is the maximum length of a request's ID.
const maxRequestIDBytes = 128

// validate fails with ErrMalformed if the request cannot be stored. It does not check the floors.
func (q Request) validate() error {
	budget := q.Budget
	switch {
	case q.ID == "" || len(q.ID) > maxRequestIDBytes:
		return ErrMalformed.Of("id", fmt.Errorf("the ID must have 1 to %d bytes", maxRequestIDBytes))
	case len(q.Machines) == 0:
		return ErrMalformed.Of(q.ID, errors.New("machines is empty; it must name at least one machine"))
	case budget.Total < 0 || budget.PerSite < 0 || budget.PerCell < 0:
		return ErrMalformed.Of(q.ID, errors.New("a limit in budget is negative; each must be 0 or more"))
	case q.ExpectedWorkMs <= 0:
		return ErrMalformed.Of(q.ID, errors.New("length_ms must be above 0"))
	}
	return nil
}

// validateFloors fails with ErrMalformed if a floor is negative or NaN.
func (q Request) validateFloors() error {
	for site, floor := range q.CapacityFloor {
		if math.IsNaN(floor) || floor < 0 {
			return ErrMalformed.Of(q.ID, fmt.Errorf("floor of site %s: %g is not a number of 0 or more", site, floor))
		}
	}
	return nil
}

// addRequest adds or replaces an operator's request. It fails with ErrNotFound if a machine is not in the member list.
// It fails with ErrUnderFloor if a floor does not hold with one of the machines out and all others ready, since the
// request could never complete.
func (p *Plan) addRequest(q Request, nextRevision int64) (statemachine.Outcome, error) {
	if err := q.validate(); err != nil {
		return statemachine.Outcome{}, err
	}
	machines := map[string]Machine{}
	siteCapacity := map[string]float64{}
	for _, m := range p.inventory.Machines() {
		machines[m.ID] = m
		siteCapacity[m.Site] += m.Capacity
	}
	for _, id := range q.Machines {
		m, ok := machines[id]
		if !ok {
			return statemachine.Outcome{}, ErrNotFound.Of(id, nil)
		}
		remaining := siteCapacity[m.Site] - m.Capacity
		if floor := q.CapacityFloor[m.Site]; remaining < floor {
			return statemachine.Outcome{}, ErrUnderFloor.Of(m.Site,
				fmt.Errorf("a capacity of %g is left with %s out and all other machines ready, and the floor is %g",
					remaining, id, floor))
		}
	}
	if err := q.validateFloors(); err != nil {
		return statemachine.Outcome{}, err
	}
	if _, ok := p.Requests[q.ID]; ok {
		p.detachWaiting(q.ID, nextRevision) // the new request may name other machines
	}
	p.Requests[q.ID] = q
	for _, id := range q.Machines {
		p.attach(machines[id], q.ID, nextRevision)
	}
	return statemachine.Outcome{Value: q}, nil
}

// attach adds a request to the turn of a machine. It creates the turn if the machine has none.
func (p *Plan) attach(m Machine, requestID string, nextRevision int64) {
	t := p.Turns[m.ID]
	if t == nil {
		t = &Turn{
			Machine:  m.ID,
			Site:     m.Site,
			Cell:     m.Cell,
			Capacity: m.Capacity,
			State:    Waiting,
			Revision: nextRevision,
		}
		p.Turns[m.ID] = t
	}
	if !slices.Contains(t.Requests, requestID) {
		t.Requests = append(t.Requests, requestID)
		slices.Sort(t.Requests)
	}
}

// withdrawRequest withdraws a request. The turns of machines that wait for this request alone are deleted. Machines
// that occupy a slot finish their turns, and the request is deleted with the last of these turns.
func (p *Plan) withdrawRequest(id string, nextRevision int64) (statemachine.Outcome, error) {
	if _, ok := p.Requests[id]; !ok {
		return statemachine.Outcome{}, ErrNotFound.Of(id, nil)
	}
	p.detachWaiting(id, nextRevision)
	if !p.hasTurns(id) {
		delete(p.Requests, id)
	}
	return statemachine.Outcome{}, nil
}

// detachWaiting removes a request from the turns that wait, and deletes each of them that has no other request. The
// turn of a machine that occupies a slot keeps the request, so that its budget and floors apply until the machine is
// back.
func (p *Plan) detachWaiting(requestID string, nextRevision int64) {
	for _, machine := range slices.Sorted(maps.Keys(p.Turns)) {
		t := p.Turns[machine]
		if t.State != Waiting || !slices.Contains(t.Requests, requestID) {
			continue
		}
		t.Requests = slices.DeleteFunc(t.Requests, func(id string) bool { return id == requestID })
		t.Revision = nextRevision
		if len(t.Requests) == 0 {
			delete(p.Turns, machine)
			p.removeFromOrder(machine)
		}
	}
}
