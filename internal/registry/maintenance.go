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
type listOf struct{ m *members }

// Units are the machines listed, by id.
func (l listOf) Units() []maintenance.Unit {
	out := make([]maintenance.Unit, 0, len(l.m.Members))
	for _, id := range slices.Sorted(maps.Keys(l.m.Members)) {
		x := l.m.Members[id].Member
		out = append(out, maintenance.Unit{ID: id, Site: x.Locality, Cell: x.Cell, Size: x.Size, Ready: x.Phase == Ready})
	}
	return out
}

// SetDraining changes a machine's phase; one that has gone from the list in the meantime stays gone.
func (l listOf) SetDraining(id string, draining bool, next int64) {
	e, ok := l.m.Members[id]
	if !ok {
		return
	}
	if e.Member.Phase = Ready; draining {
		e.Member.Phase = Draining
	}
	l.m.put(e, next)
}

// nodesOf are the sessions as the rota sees them.
type nodesOf struct{ *fleet.Sessions }

// Live are the names of the nodes that have an open session, in order.
func (n nodesOf) Live() []string { return slices.Sorted(maps.Keys(n.Open)) }

// rotaRequest is an operator's request: machines by id, by a selector, or both.
type rotaRequest struct {
	maintenance.Request
	Select *struct {
		Site   string `json:"site"`
		Flavor string `json:"flavor"`
		Cell   *int   `json:"cell"`
	} `json:"select"`
}

func (r *Replica) routeRota(mux *http.ServeMux) {
	step := func(op string) http.HandlerFunc {
		return r.writeHandler("turn", func(req *http.Request) (statemachine.Command, error) {
			c := &maintenance.Command{}
			if err := decodeBody(req, c); err != nil {
				return nil, err
			}
			c.Op, c.Machine = op, req.PathValue("id")
			return c, nil
		})
	}
	mux.HandleFunc("GET /registry/rota", r.onLeader(r.serveRota))
	mux.HandleFunc("POST /registry/rota/requests", r.writeHandler("request", r.requestTurns))
	mux.HandleFunc("DELETE /registry/rota/requests/{id}", r.writeHandler("", func(req *http.Request) (statemachine.Command, error) {
		return &maintenance.Command{Op: "rota-withdraw", Request: maintenance.Request{ID: req.PathValue("id")}}, nil
	}))
	mux.HandleFunc("POST /registry/rota/settle", r.writeHandler("order", r.settleTurns))
	for _, op := range []string{"step", "confirm", "overdue", "free"} {
		mux.HandleFunc("POST /registry/rota/machines/{id}/"+op, step("rota-"+op))
	}
}

// serveRota answers with the whole record, from the leader.
func (r *Replica) serveRota(w http.ResponseWriter, req *http.Request) {
	if !r.fresh() {
		fail(w, r.whyNotFresh())
		return
	}
	out := map[string]any{}
	r.fsm.read(func(s *State) {
		out["revision"], out["epoch"] = s.Revision, r.rota.Epoch
		out["short"] = r.rota.Short()
		out["order"], out["turns"], out["requests"] = slices.Clone(r.rota.Order), r.rota.All(), maps.Clone(r.rota.Requests)
	})
	answer(w, out)
}

// requestTurns resolves a request's selector on the list as it is now.
func (r *Replica) requestTurns(req *http.Request) (statemachine.Command, error) {
	var q rotaRequest
	if err := decodeBody(req, &q); err != nil {
		return nil, err
	}
	if s := q.Select; s != nil {
		r.fsm.read(func(st *State) {
			for _, m := range st.Whole().Members {
				if (s.Site == "" || s.Site == m.Locality) && (s.Flavor == "" || s.Flavor == m.Flavor) && (s.Cell == nil || *s.Cell == m.Cell) {
					q.Machines = append(q.Machines, m.ID)
				}
			}
		})
	}
	slices.Sort(q.Machines)
	q.Machines = slices.Compact(q.Machines)
	return &maintenance.Command{Op: "rota-request", Request: q.Request}, nil
}

// settleTurns settles the order on the view that the proposer names, which has to be the leader's last: the costs are
// what that view's nodes said, so no proposer has a word in them. A machine costs what its backends hold now: attempts of
// live nodes and the estimate of its queue.
func (r *Replica) settleTurns(req *http.Request) (statemachine.Command, error) {
	var stamp fleet.Stamp
	if err := decodeBody(req, &stamp); err != nil {
		return nil, err
	}
	r.fleet.mu.Lock()
	v := r.fleet.view
	r.fleet.mu.Unlock()
	if v == nil || v.stamp != stamp {
		return nil, fleet.ErrNoView.Of("order", fmt.Errorf("view %d.%d is not the last", stamp.Term, stamp.Epoch))
	}
	c := &maintenance.Command{Op: "rota-settle", Epoch: maintenance.Stamp(stamp), Costs: map[string]float64{}}
	for _, b := range v.backends {
		c.Costs[b.ID] = b.Outstanding + b.Estimate
	}
	return c, nil
}

// turnSeen is a turn as this leader saw it first at its revision.
type turnSeen struct {
	rev int64
	at  time.Time
}

// dueTurns gives the commands that name turns overdue: out for longer than the work was to take, by this leader's clock; a
// new leader counts afresh. seen is kept from one call to the next.
func (r *Replica) dueTurns(seen map[string]turnSeen, now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for id, t := range r.rota.Turns {
		if t.State != maintenance.Out || t.Overdue {
			delete(seen, id)
			continue
		}
		if s, ok := seen[id]; !ok || s.rev != t.Rev {
			seen[id] = turnSeen{t.Rev, now}
		} else if now.Sub(s.at) > time.Duration(r.rota.Length(t))*time.Millisecond {
			due = append(due, &maintenance.Command{Op: "rota-overdue", Machine: id, Rev: t.Rev})
		}
	}
	for id := range seen {
		if r.rota.Turns[id] == nil {
			delete(seen, id)
		}
	}
	return due
}
