package node

import (
	"context"
	"net/http"
	"time"

	"hitchvale/internal/fleet"
	"hitchvale/internal/maintenance"
)

// turnTimeout bounds how long a node handles maintenance turns after one view of the fleet.
const turnTimeout = 2 * time.Second

// maintenanceDriver advances the maintenance turns of machines. After each view of the fleet that has turns, it reads
// the plan and submits the commands that maintenance.Propose returns. The commands include this node's confirmations
// for machines at which it has nothing in flight. The driver runs on the goroutine of the fleet's agent, between two
// reports.
type maintenanceDriver struct {
	node           *Node
	client         *fleet.Client
	viewsUnchanged map[string]int   // by machine: number of views for which its turn has not changed
	revisions      map[string]int64 // by machine: revision of its turn in the last view
}

func newMaintenanceDriver(n *Node, client *fleet.Client) *maintenanceDriver {
	return &maintenanceDriver{
		node:           n,
		client:         client,
		viewsUnchanged: map[string]int{},
		revisions:      map[string]int64{},
	}
}

// onView handles one view of the fleet. incarnation is that of this node's session.
func (d *maintenanceDriver) onView(ctx context.Context, view fleet.View, incarnation uint64) {
	if view.MaintenanceTurns == 0 {
		clear(d.viewsUnchanged)
		clear(d.revisions)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	var plan maintenance.PlanView
	if err := d.client.Call(ctx, http.MethodGet, maintenance.PlanPath, nil, &plan); err != nil {
		d.node.log.Warn("maintenance plan not read, retrying after the next view", "error", err)
		return
	}
	d.countViews(plan)
	state, err := d.nodeState(ctx, view, incarnation)
	if err != nil {
		return // nothing is confirmed while it is unknown what is in flight
	}
	for _, command := range maintenance.Propose(plan, state) {
		if err := d.submit(ctx, command); err != nil && command.Op == maintenance.OpAdvanceTurn {
			d.node.log.Info("maintenance step rejected, deciding again after the next view",
				"machine", command.Machine, "target", command.Target, "error", err)
		}
	}
}

// countViews updates, for each turn, the number of views for which it has not changed.
func (d *maintenanceDriver) countViews(plan maintenance.PlanView) {
	viewsUnchanged := map[string]int{}
	revisions := map[string]int64{}
	for _, turn := range plan.Turns {
		revisions[turn.Machine] = turn.Revision
		if d.revisions[turn.Machine] == turn.Revision {
			viewsUnchanged[turn.Machine] = d.viewsUnchanged[turn.Machine] + 1
		}
	}
	d.viewsUnchanged = viewsUnchanged
	d.revisions = revisions
}

// nodeState returns the state on which this node bases its proposals: the view, the revision of its endpoint list, and
// the number of attempts and streamed responses in flight at each endpoint. It returns an error if the event loop does
// not answer in time.
func (d *maintenanceDriver) nodeState(
	ctx context.Context, view fleet.View, incarnation uint64,
) (maintenance.NodeState, error) {
	reply := make(chan workInFlight, 1)
	open, err := query(ctx, d.node.loop, workInFlightQuery{reply}, reply)
	if err != nil {
		return maintenance.NodeState{}, err
	}
	state := maintenance.NodeState{
		Node:           d.node.cfg.Name,
		Incarnation:    incarnation,
		View:           maintenance.ViewVersion(view.ViewVersion),
		ViewsUnchanged: d.viewsUnchanged,
		ListRevision:   open.revision,
		InFlight:       open.inFlight,
	}
	for _, n := range view.Nodes {
		if n.Fresh {
			state.FreshNodes = append(state.FreshNodes, n.Node)
		}
	}
	return state, nil
}

// submit sends a command to the registry, which accepts or rejects it.
func (d *maintenanceDriver) submit(ctx context.Context, command maintenance.Command) error {
	if command.Op == maintenance.OpSettleOrder {
		return d.client.Call(ctx, http.MethodPost, command.Path(), command.View, nil)
	}
	return d.client.Call(ctx, http.MethodPost, command.Path(), command, nil)
}
