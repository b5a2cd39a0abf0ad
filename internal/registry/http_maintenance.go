package registry

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"hitchvale/internal/fleet"
	"hitchvale/internal/maintenance"
	"hitchvale/internal/statemachine"
)

// listOf is the list as the rota sees it, in the same state.
type memberInventory struct{ members *memberStore }

// Units are the machines listed, by id.
func (l memberInventory) Machines() []maintenance.Machine {
	out := make([]maintenance.Machine, 0, len(l.members.Records))
	for _, id := range slices.Sorted(maps.Keys(l.members.Records)) {
		x := l.members.Records[id].Member
		out = append(out, maintenance.Machine{ID: id, Site: x.Locality, Cell: x.Cell, Capacity: x.Size, Ready: x.Phase == PhaseReady})
	}
	return out
}

// SetDraining changes a machine's phase; one that has gone from the list in the meantime stays gone.
func (l memberInventory) SetDraining(id string, draining bool, next int64) {
	e, ok := l.members.Records[id]
	if !ok {
		return
	}
	if e.Member.Phase = PhaseReady; draining {
		e.Member.Phase = PhaseDraining
	}
	l.members.store(e, next)
}

// nodesOf are the sessions as the rota sees them.
type liveSessions struct{ *fleet.SessionStore }

// Live are the names of the nodes that have an open session, in order.
func (n liveSessions) LiveNodes() []string { return slices.Sorted(maps.Keys(n.Open)) }

// rotaRequest is an operator's request: machines by id, by a selector, or both.
type maintenanceRequest struct {
	maintenance.Request
	Select *struct {
		Site   string `json:"site"`
		Flavor string `json:"flavor"`
		Cell   *int   `json:"cell"`
	} `json:"select"`
}

func (r *Replica) routeMaintenance(mux *http.ServeMux) {
	step := func(op statemachine.Operation) http.HandlerFunc {
		return r.writeHandler("turn", func(req *http.Request) (statemachine.Command, error) {
			c := &maintenance.Command{}
			if err := decodeBody(req, c); err != nil {
				return nil, err
			}
			c.Op, c.Machine = op, req.PathValue("id")
			return c, nil
		})
	}
	mux.HandleFunc("GET /registry/rota", r.leaderOnly(r.serveMaintenance))
	mux.HandleFunc("POST /registry/rota/requests", r.writeHandler("request", r.decodeMaintenanceRequest))
	mux.HandleFunc("DELETE /registry/rota/requests/{id}", r.writeHandler("", func(req *http.Request) (statemachine.Command, error) {
		return &maintenance.Command{Op: maintenance.OpWithdrawRequest, Request: maintenance.Request{ID: req.PathValue("id")}}, nil
	}))
	mux.HandleFunc("POST /registry/rota/settle", r.writeHandler("order", r.decodeSettleOrder))
	for action, op := range maintenance.TurnActions {
		mux.HandleFunc("POST /registry/rota/machines/{id}/"+action, step(op))
	}
}

// serveRota answers with the whole record, from the leader.
func (r *Replica) serveMaintenance(w http.ResponseWriter, req *http.Request) {
	if !r.canServeReads() {
		writeError(w, r.staleReadError())
		return
	}
	out := map[string]any{}
	r.fsm.read(func(s *State) {
		out["revision"], out["epoch"] = s.Revision, r.maintenance.SettledView
		out["short"] = r.maintenance.TurnsToRecall()
		out["order"], out["turns"], out["requests"] = slices.Clone(r.maintenance.Order), r.maintenance.ListTurns(), maps.Clone(r.maintenance.Requests)
	})
	writeJSON(w, out)
}

// requestTurns resolves a request's selector on the list as it is now.
func (r *Replica) decodeMaintenanceRequest(req *http.Request) (statemachine.Command, error) {
	var q maintenanceRequest
	if err := decodeBody(req, &q); err != nil {
		return nil, err
	}
	if s := q.Select; s != nil {
		r.fsm.read(func(st *State) {
			for _, m := range st.CompleteList().Members {
				if (s.Site == "" || s.Site == m.Locality) && (s.Flavor == "" || s.Flavor == m.Flavor) && (s.Cell == nil || *s.Cell == m.Cell) {
					q.Machines = append(q.Machines, m.ID)
				}
			}
		})
	}
	slices.Sort(q.Machines)
	q.Machines = slices.Compact(q.Machines)
	return &maintenance.Command{Op: maintenance.OpAddRequest, Request: q.Request}, nil
}

// settleTurns settles the order on the view that the proposer names, which has to be the leader's last: the costs are
// what that view's nodes said, so no proposer has a word in them. A machine costs what its backends hold now: attempts of
// live nodes and the estimate of its queue.
func (r *Replica) decodeSettleOrder(req *http.Request) (statemachine.Command, error) {
	var stamp fleet.ViewVersion
	if err := decodeBody(req, &stamp); err != nil {
		return nil, err
	}
	r.views.mu.Lock()
	v := r.views.latest
	r.views.mu.Unlock()
	if v == nil || v.version != stamp {
		return nil, fleet.ErrViewNotReady.Of("order", fmt.Errorf("view %d.%d is not the last", stamp.Term, stamp.Epoch))
	}
	c := &maintenance.Command{Op: maintenance.OpSettleOrder, View: maintenance.ViewVersion(stamp), Costs: map[string]float64{}}
	for _, b := range v.backends {
		c.Costs[b.ID] = b.Outstanding + b.QueueEstimate
	}
	return c, nil
}

// turnSeen is a turn as this leader saw it first at its revision.
type turnObservation struct {
	revision  int64
	firstSeen time.Time
}

// dueTurns gives the commands that name turns overdue: out for longer than the work was to take, by this leader's clock; a
// new leader counts afresh. seen is kept from one call to the next.
func (r *Replica) overdueTurns(seen map[string]turnObservation, now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for id, t := range r.maintenance.Turns {
		if t.State != maintenance.Out || t.Overdue {
			delete(seen, id)
			continue
		}
		if s, ok := seen[id]; !ok || s.revision != t.Revision {
			seen[id] = turnObservation{t.Revision, now}
		} else if now.Sub(s.firstSeen) > time.Duration(r.maintenance.ExpectedMs(t))*time.Millisecond {
			due = append(due, &maintenance.Command{Op: maintenance.OpMarkOverdue, Machine: id, Revision: t.Revision})
		}
	}
	for id := range seen {
		if r.maintenance.Turns[id] == nil {
			delete(seen, id)
		}
	}
	return due
}
