package maintenance

import (
	"errors"
	"fmt"
	"slices"

	"hitchvale/internal/statemachine"
)

// TurnState is the state of a machine's turn.
type TurnState string

// The states, in the order in which a turn goes through them. Done is never stored, since a turn that is done is
// deleted.
const (
	Waiting   TurnState = "waiting"
	Granted   TurnState = "granted"   // the machine occupies a slot of the budgets
	Draining  TurnState = "draining"  // the member list has the machine as draining
	Quiet     TurnState = "quiet"     // every live node has confirmed that it has nothing in flight at the machine
	Out       TurnState = "out"       // the machine is being worked on
	Returning TurnState = "returning" // the machine is listed as ready again and warms up
	Done      TurnState = "done"
)

// occupiesSlot reports whether budgets and floors count a machine in this state as out.
func (s TurnState) occupiesSlot() bool {
	switch s {
	case Granted, Draining, Quiet, Out, Returning:
		return true
	}
	return false
}

// Transition is one change of state that a turn may make. The plan accepts it from any caller that reaches the
// registry: Proposer says who proposes the transition in practice and is not enforced.
type Transition struct {
	From      TurnState
	To        TurnState
	Proposer  string
	Condition string // in addition to the compare-and-set; "" if there is none
	Effect    string

	check  func(p *Plan, t *Turn) error
	effect func(p *Plan, t *Turn, nextRevision int64)
}

// The proposers of transitions.
const (
	proposedByNodes    = "nodes"
	proposedByOperator = "operator"
)

// Transitions lists every change of state that a turn may make. docs/registry.md shows the same table.
var Transitions = []Transition{
	{
		From:      Waiting,
		To:        Granted,
		Proposer:  proposedByNodes,
		Condition: "the machine is the first in the settled order that fits every budget and floor that applies",
		Effect:    "the machine takes a slot and leaves the order",
		check:     (*Plan).checkGrant,
		effect:    leaveOrder,
	},
	{
		From:     Granted,
		To:       Draining,
		Proposer: proposedByNodes,
		Effect:   "the member list has the machine as draining",
		effect:   startDraining,
	},
	{
		From:      Draining,
		To:        Quiet,
		Proposer:  proposedByNodes,
		Condition: "the current process of every node with an open session has confirmed",
		Effect:    "none",
		check:     (*Plan).checkConfirmed,
	},
	recall(Granted),
	recall(Draining),
	{
		From:     Quiet,
		To:       Out,
		Proposer: proposedByOperator,
		Effect:   "none",
	},
	bringBack(Granted),
	bringBack(Draining),
	bringBack(Quiet),
	bringBack(Out),
	{
		From:     Returning,
		To:       Done,
		Proposer: proposedByOperator,
		Effect:   "the turn is deleted, and so is each request without another turn",
		effect:   func(p *Plan, t *Turn, _ int64) { p.finishTurn(t) },
	},
}

// recall returns the transition of a granted or draining machine that has to wait again because a floor no longer
// holds.
func recall(from TurnState) Transition {
	return Transition{
		From:     from,
		To:       Waiting,
		Proposer: proposedByNodes,
		Effect:   "the member list has the machine as ready, and the machine waits for a new order",
		effect: func(p *Plan, t *Turn, nextRevision int64) {
			listReady(p, t, nextRevision)
			t.DrainingRevision = 0
		},
	}
}

// bringBack returns the transition of a machine that goes back into service.
func bringBack(from TurnState) Transition {
	return Transition{
		From:     from,
		To:       Returning,
		Proposer: proposedByOperator,
		Effect:   "the member list has the machine as ready",
		effect:   listReady,
	}
}

func leaveOrder(p *Plan, t *Turn, _ int64) { p.removeFromOrder(t.Machine) }

func startDraining(p *Plan, t *Turn, nextRevision int64) {
	p.inventory.SetDraining(t.Machine, true, nextRevision)
	t.DrainingRevision = nextRevision
	t.ConfirmedBy = map[string]uint64{}
}

func listReady(p *Plan, t *Turn, nextRevision int64) {
	p.inventory.SetDraining(t.Machine, false, nextRevision)
	t.ConfirmedBy = nil
}

// findTransition returns the transition between two states; nil if there is none.
func findTransition(from, to TurnState) *Transition {
	index := slices.IndexFunc(Transitions, func(x Transition) bool { return x.From == from && x.To == to })
	if index < 0 {
		return nil
	}
	return &Transitions[index]
}

// advance moves a turn to another state. It fails with ErrInvalidTransition if there is no such transition, or with the
// error of the transition's check.
func (p *Plan) advance(t *Turn, target TurnState, nextRevision int64) error {
	transition := findTransition(t.State, target)
	if transition == nil {
		return ErrInvalidTransition.Of(t.Machine, fmt.Errorf("there is no step from %s to %s", t.State, target))
	}
	if transition.check != nil {
		if err := transition.check(p, t); err != nil {
			return err
		}
	}
	if transition.effect != nil {
		transition.effect(p, t, nextRevision)
	}
	t.State = target
	if target != Done { // the deleted turn is returned with its last revision
		t.Revision = nextRevision
	}
	return nil
}

// finishTurn deletes a turn, and each of its requests that has no other turn.
func (p *Plan) finishTurn(t *Turn) {
	delete(p.Turns, t.Machine)
	p.removeFromOrder(t.Machine)
	for _, id := range t.Requests {
		if !p.hasTurns(id) {
			delete(p.Requests, id)
		}
	}
}

// freeOverdue deletes an overdue turn whose machine will not come back, which frees the slot of the machine.
func (p *Plan) freeOverdue(t *Turn) (statemachine.Outcome, error) {
	if !t.Overdue {
		return statemachine.Outcome{}, ErrInvalidTransition.Of(t.Machine, errors.New("the turn is not overdue"))
	}
	p.finishTurn(t)
	return statemachine.Outcome{}, nil
}

// hasTurns reports whether any machine of a request still has a turn.
func (p *Plan) hasTurns(requestID string) bool {
	for _, t := range p.Turns {
		if slices.Contains(t.Requests, requestID) {
			return true
		}
	}
	return false
}
