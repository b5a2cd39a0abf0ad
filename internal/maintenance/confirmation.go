package maintenance

import (
	"fmt"

	"hitchvale/internal/statemachine"
)

// recordConfirmation records that a node has the member list with the draining machine, and has nothing in flight at
// the machine. It fails with ErrSessionNotHeld if the confirming process does not have its node's open session, and
// with ErrInvalidTransition if the machine does not drain or the node's list is older than the draining. The turn keeps
// its revision, so that confirmations of several nodes do not conflict.
func (p *Plan) recordConfirmation(t *Turn, c *Command) (statemachine.Outcome, error) {
	if err := p.sessions.VerifyIncarnation(c.Node, c.Incarnation); err != nil {
		return statemachine.Outcome{}, ErrSessionNotHeld.Of(c.Node, err)
	}
	if t.State != Draining || c.ListRevision < t.DrainingRevision {
		return statemachine.Outcome{}, ErrInvalidTransition.Of(t.Machine,
			fmt.Errorf("the turn has state %s and draining revision %d; the node has list revision %d",
				t.State, t.DrainingRevision, c.ListRevision))
	}
	if t.ConfirmedBy[c.Node] == c.Incarnation {
		return statemachine.Outcome{Unchanged: true}, nil
	}
	if t.ConfirmedBy == nil { // a snapshot omits an empty map
		t.ConfirmedBy = map[string]uint64{}
	}
	t.ConfirmedBy[c.Node] = c.Incarnation
	return statemachine.Outcome{}, nil
}

// checkConfirmed fails with ErrUnconfirmed unless the current process of every live node has confirmed.
func (p *Plan) checkConfirmed(t *Turn) error {
	missing := p.unconfirmedNodes(t)
	if len(missing) > 0 && plantedFault != faultNoConfirmation {
		return ErrUnconfirmed.Of(t.Machine, fmt.Errorf("no confirmation from nodes %v", missing))
	}
	return nil
}

// unconfirmedNodes returns the live nodes whose current process has not confirmed.
func (p *Plan) unconfirmedNodes(t *Turn) []string {
	var missing []string
	for _, node := range p.sessions.LiveNodes() {
		incarnation, ok := t.ConfirmedBy[node]
		if !ok || p.sessions.VerifyIncarnation(node, incarnation) != nil {
			missing = append(missing, node)
		}
	}
	return missing
}
