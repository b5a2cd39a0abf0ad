package maintenance

import (
	"errors"
	"fmt"
	"slices"

	"hitchvale/internal/statemachine"
)

// TurnState is the state of a machine's turn.
type TurnState string

// The states in the order of a turn that completes. Done is never stored: a turn that is done is deleted.
const (
	Waiting   TurnState = "waiting"
	Granted   TurnState = "granted"   // has a slot of the budgets
	Draining  TurnState = "draining"  // the list has the machine as draining
	Quiet     TurnState = "quiet"     // every live node has confirmed that nothing is in flight there
	Out       TurnState = "out"       // is being worked on
	Returning TurnState = "returning" // listed again, warming up
	Done      TurnState = "done"
)

// occupiesSlot reports whether a machine in this state counts as out for budgets and floors.
func (s TurnState) occupiesSlot() bool {
	switch s {
	case Granted, Draining, Quiet, Out, Returning:
		return true
	}
	return false
}

// Transition is one change of state that a turn may make. The plan takes it from whoever reaches the registry; Proposer
// is who proposes it in practice, and is not enforced.
type Transition struct {
	From      TurnState
	To        TurnState
	Proposer  string
	Condition string // beside the compare-and-set; "" if there is none
	Effect    string

	check  func(p *Plan, t *Turn) error
	effect func(p *Plan, t *Turn, nextRevision int64)
}

// The proposers of transitions.
const (
	proposedByNodes    = "nodes"
	proposedByOperator = "operator"
)

// Transitions are all changes of state that a turn may make. docs/registry.md shows the same table.
var Transitions = []Transition{
	{
		From:      Waiting,
		To:        Granted,
		Proposer:  proposedByNodes,
		Condition: "first in the settled order of those that fit every binding budget and floor",
		Effect:    "takes a slot and leaves the order",
		check:     (*Plan).checkGrant,
		effect:    leaveOrder,
	},
	{
		From:     Granted,
		To:       Draining,
		Proposer: proposedByNodes,
		Effect:   "listed as draining",
		effect:   startDraining,
	},
	{
		From:      Draining,
		To:        Quiet,
		Proposer:  proposedByNodes,
		Condition: "the present process of every open session has confirmed",
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
		Effect:   "the turn ends, and with it each request that has no other machine",
		effect:   func(p *Plan, t *Turn, _ int64) { p.finishTurn(t) },
	},
}

// recall is the transition of a machine that is not out yet and has to wait again, as a floor no longer holds.
func recall(from TurnState) Transition {
	return Transition{
		From:     from,
		To:       Waiting,
		Proposer: proposedByNodes,
		Effect:   "listed as ready, waits for a new order",
		effect: func(p *Plan, t *Turn, nextRevision int64) {
			listReady(p, t, nextRevision)
			t.DrainingRevision = 0
		},
	}
}

// bringBack is the transition of a machine that goes back into service.
func bringBack(from TurnState) Transition {
	return Transition{
		From:     from,
		To:       Returning,
		Proposer: proposedByOperator,
		Effect:   "listed as ready",
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
	at := slices.IndexFunc(Transitions, func(x Transition) bool { return x.From == from && x.To == to })
	if at < 0 {
		return nil
	}
	return &Transitions[at]
}

// advance makes a transition of a turn. It fails with ErrInvalidTransition or with the error of the transition's check.
func (p *Plan) advance(t *Turn, target TurnState, nextRevision int64) error {
	transition := findTransition(t.State, target)
	if transition == nil {
		return ErrInvalidTransition.Of(t.Machine, fmt.Errorf("from %s to %s", t.State, target))
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
	if target != Done { // a turn that has ended keeps its last revision
		t.Revision = nextRevision
	}
	return nil
}

// finishTurn deletes a turn, and the requests that have no other machine.
func (p *Plan) finishTurn(t *Turn) {
	delete(p.Turns, t.Machine)
	p.removeFromOrder(t.Machine)
	for _, id := range t.Requests {
		if !p.hasTurns(id) {
			delete(p.Requests, id)
		}
	}
}

// freeOverdue ends an overdue turn whose machine will not come back.
func (p *Plan) freeOverdue(t *Turn) (statemachine.Outcome, error) {
	if !t.Overdue {
		return statemachine.Outcome{}, ErrInvalidTransition.Of(t.Machine, errors.New("it is not overdue"))
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
