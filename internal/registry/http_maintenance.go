package registry

import (
	"maps"
	"net/http"
	"slices"

	"hitchvale/internal/fleet"
	"hitchvale/internal/maintenance"
	"hitchvale/internal/statemachine"
)

func (r *Replica) routeMaintenance(mux *http.ServeMux) {
	mux.HandleFunc("GET "+maintenance.PlanPath, r.leaderOnly(r.serveMaintenance))
	mux.HandleFunc("POST "+maintenance.RequestsPath,
		r.writeHandler(r.decodeMaintenanceRequest, newMaintenanceRequestResponse))
	mux.HandleFunc("DELETE "+maintenance.RequestsPath+"/{id}",
		r.writeHandler(decodeWithdrawRequest, newRevisionResponse))
	mux.HandleFunc("POST "+maintenance.SettlePath, r.writeHandler(r.decodeSettleOrder, newOrderResponse))
	for action, operation := range maintenance.TurnActions {
		mux.HandleFunc("POST "+maintenance.TurnsPath+"/{id}/"+action,
			r.writeHandler(turnDecoder(operation), newTurnResponse))
	}
}

// maintenanceResponse is the response to GET /registry/rota.
type maintenanceResponse struct {
	SettledView maintenance.ViewVersion        `json:"epoch"`
	Order       []string                       `json:"order"`
	Requests    map[string]maintenance.Request `json:"requests"`
	Revision    int64                          `json:"revision"`
	ToRecall    []string                       `json:"short"`
	Turns       []maintenance.Turn             `json:"turns"`
}

// serveMaintenance responds with the maintenance plan.
func (r *Replica) serveMaintenance(w http.ResponseWriter, _ *http.Request) {
	if !r.canServeReads() {
		writeError(w, r.staleReadError())
		return
	}
	var response maintenanceResponse
	r.fsm.read(func(s *State) {
		response = maintenanceResponse{
			SettledView: r.plan.SettledView,
			Order:       slices.Clone(r.plan.Order),
			Requests:    maps.Clone(r.plan.Requests),
			Revision:    s.Revision,
			ToRecall:    r.plan.TurnsToRecall(),
			Turns:       r.plan.ListTurns(),
		}
	})
	writeJSON(w, response)
}

// The responses to writes to the maintenance plan.
type (
	maintenanceRequestResponse struct {
		Request  *maintenance.Request `json:"request"`
		Revision int64                `json:"revision"`
	}
	orderResponse struct {
		Order    *[]string `json:"order"`
		Revision int64     `json:"revision"`
	}
	turnResponse struct {
		Revision int64             `json:"revision"`
		Turn     *maintenance.Turn `json:"turn"` // null if the call confirms draining or frees an overdue turn
	}
)

func newMaintenanceRequestResponse(result Result) any {
	return maintenanceRequestResponse{Request: resultValue[maintenance.Request](result), Revision: result.Revision}
}

func newOrderResponse(result Result) any {
	return orderResponse{Order: resultValue[[]string](result), Revision: result.Revision}
}

func newTurnResponse(result Result) any {
	return turnResponse{Revision: result.Revision, Turn: resultValue[maintenance.Turn](result)}
}

// machineSelector selects members of the list by their properties. A field that is not set matches every member.
type machineSelector struct {
	Site   string `json:"site"`
	Flavor string `json:"flavor"`
	Cell   *int   `json:"cell"`
}

func (s machineSelector) matches(m Member) bool {
	return (s.Site == "" || s.Site == m.Locality) &&
		(s.Flavor == "" || s.Flavor == m.Flavor) &&
		(s.Cell == nil || *s.Cell == m.Cell)
}

// maintenanceRequest is the body of POST /registry/rota/requests. It names the machines by ID, by a selector, or both.
type maintenanceRequest struct {
	maintenance.Request
	Select *machineSelector `json:"select"`
}

// decodeMaintenanceRequest decodes a maintenance request and adds the IDs of the current members that its selector
// matches.
func (r *Replica) decodeMaintenanceRequest(req *http.Request) (statemachine.Command, error) {
	var body maintenanceRequest
	if err := decodeBody(req, &body); err != nil {
		return nil, err
	}
	if body.Select != nil {
		r.fsm.read(func(s *State) {
			for _, member := range s.members.sorted() {
				if body.Select.matches(member) {
					body.Machines = append(body.Machines, member.ID)
				}
			}
		})
	}
	slices.Sort(body.Machines)
	body.Machines = slices.Compact(body.Machines)
	return &maintenance.Command{Op: maintenance.OpAddRequest, Request: body.Request}, nil
}

func decodeWithdrawRequest(req *http.Request) (statemachine.Command, error) {
	request := maintenance.Request{ID: req.PathValue("id")}
	return &maintenance.Command{Op: maintenance.OpWithdrawRequest, Request: request}, nil
}

// decodeSettleOrder builds the command that settles the order of the turns. The caller names the version of a view,
// which must be the latest one, and this replica computes the machines' costs from that view, so that the caller cannot
// influence them. The cost of a machine is the number of attempts that the live nodes have in flight there plus the
// estimate of its queue.
func (r *Replica) decodeSettleOrder(req *http.Request) (statemachine.Command, error) {
	var version fleet.ViewVersion
	if err := decodeBody(req, &version); err != nil {
		return nil, err
	}
	view, err := r.views.latestViewOfVersion(version)
	if err != nil {
		return nil, err
	}
	costs := map[string]float64{}
	for _, endpoint := range view.endpoints {
		costs[endpoint.ID] = endpoint.Outstanding + endpoint.QueueEstimate
	}
	return &maintenance.Command{
		Op:    maintenance.OpSettleOrder,
		View:  maintenance.ViewVersion(version),
		Costs: costs,
	}, nil
}

// turnDecoder returns the decoder of calls for an operation on the turn of one machine.
func turnDecoder(operation statemachine.Operation) func(*http.Request) (statemachine.Command, error) {
	return func(req *http.Request) (statemachine.Command, error) {
		command := &maintenance.Command{}
		if err := decodeBody(req, command); err != nil {
			return nil, err
		}
		command.Op = operation
		command.Machine = req.PathValue("id")
		return command, nil
	}
}
