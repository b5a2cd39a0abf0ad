package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"hitchvale/internal/maintenance"
)

// planResponse is the response to GET /registry/rota.
type planResponse struct {
	Revision int64
	Order    []string
	Turns    []maintenance.Turn
}

// callJSON makes an HTTP call with a JSON body and decodes the body of a response with status 200 into out, unless out
// is nil. It returns the status and, if the call failed, the error code.
func callJSON(t *testing.T, method, url string, body any, out any) (status int, code string) {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, _ := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(text))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var e struct{ Code string }
	var raw json.RawMessage
	json.NewDecoder(resp.Body).Decode(&raw)
	json.Unmarshal(raw, &e)
	if out != nil && resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(raw, out); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, e.Code
}

// The test takes a machine through a complete maintenance turn over HTTP, with each call to the next of three replicas.
// The machine is requested by a selector, and the order of the turns is settled from the view alone. The turn is
// granted, the machine is draining in the member list, and quiet after both nodes have confirmed. Then the machine is
// out, ready again in the list, and its turn is done. Calls that the rules forbid at a step are rejected with their
// error code.
func TestMaintenanceTurnOverHTTP(t *testing.T) {
	c := newCluster(t, 3)
	calls := 0
	url := func(path string) string {
		calls++
		return "http://" + c.http[calls%3] + path
	}
	expect := func(call string, status int, code string, wantStatus int, wantCode string) {
		t.Helper()
		if status != wantStatus || code != wantCode {
			t.Fatalf("%s: status %d, code %q; want status %d, code %q", call, status, code, wantStatus, wantCode)
		}
	}
	a, _ := startTestAgent(t, "n0", "p", c.http)
	startTestAgent(t, "n1", "p", c.http)
	waitUntil(t, "the view has two fresh nodes", allFresh(a, 2))
	for i := range 3 {
		m := Member{ID: fmt.Sprint("s-", i), HostPort: "127.0.0.1:1", Locality: "a", Cell: i, Size: 1, UpSince: 1}
		status, code := callJSON(t, "POST", url("/registry/members"), map[string]any{"member": m}, nil)
		expect("registration", status, code, 200, "")
	}
	request := map[string]any{"id": "q", "select": map[string]any{"site": "a"}, "reason": "kernel", "length_ms": 1000,
		"budget": map[string]int{"all": 1}, "floor": map[string]float64{"a": 3}}
	status, code := callJSON(t, "POST", url("/registry/rota/requests"), request, nil)
	expect("request with a floor that can never be met", status, code, 409, "rota.under-floor")
	request["floor"] = map[string]float64{"a": 2}
	status, code = callJSON(t, "POST", url("/registry/rota/requests"), request, nil)
	expect("request", status, code, 200, "")
	step := func(id string, to maintenance.TurnState, revision int64) (int, string) {
		body := maintenance.Command{Target: to, Revision: revision}
		return callJSON(t, "POST", url("/registry/rota/machines/"+id+"/step"), body, nil)
	}
	var plan planResponse
	read := func() map[string]maintenance.Turn {
		t.Helper()
		status, code := callJSON(t, "GET", url("/registry/rota"), nil, &plan)
		expect("read of the plan", status, code, 200, "")
		turns := map[string]maintenance.Turn{}
		for _, turn := range plan.Turns {
			turns[turn.Machine] = turn
		}
		return turns
	}
	status, code = step("s-0", maintenance.Granted, read()["s-0"].Revision)
	expect("grant before the order is settled", status, code, 409, "rota.out-of-order")
	waitUntil(t, "the order is settled", func() bool {
		status, _ := callJSON(t, "POST", url("/registry/rota/settle"), a.Status().Version, nil)
		return status == 200
	})
	// The test agents report only s-1. Machines without a report come after it in the order.
	if read(); len(plan.Order) != 3 || plan.Order[0] != "s-1" {
		t.Fatalf("order %v, want s-1 first of three machines", plan.Order)
	}
	id := plan.Order[0]
	status, code = step(plan.Order[1], maintenance.Granted, read()[plan.Order[1]].Revision)
	expect("grant of the second machine in the order", status, code, 409, "rota.out-of-order")
	for _, to := range []maintenance.TurnState{maintenance.Granted, maintenance.Draining} {
		status, code = step(id, to, read()[id].Revision)
		expect(string(to), status, code, 200, "")
	}
	status, code = step(plan.Order[0], maintenance.Granted, read()[plan.Order[0]].Revision)
	expect("grant over the budget", status, code, 409, "rota.over-budget")
	phase := func() string {
		var l MemberList
		callJSON(t, "GET", url("/registry/instances"), nil, &l)
		for _, m := range l.Members {
			if m.ID == id {
				return m.Phase
			}
		}
		return ""
	}
	waitUntil(t, "the machine is draining in the member list", func() bool { return phase() == PhaseDraining })
	for i, n := range []string{"n0", "n1"} {
		status, code = step(id, maintenance.Quiet, read()[id].Revision)
		expect("quiet before "+n+" has confirmed", status, code, 409, "rota.unconfirmed")
		status, code = callJSON(t, "POST", url("/registry/rota/machines/"+id+"/confirm"),
			maintenance.Command{Node: n, Incarnation: 1, ListRevision: read()[id].DrainingRevision - 1}, nil)
		expect("confirmation of an older list", status, code, 409, "rota.no-such-step")
		status, code = callJSON(t, "POST", url("/registry/rota/machines/"+id+"/confirm"),
			maintenance.Command{Node: n, Incarnation: 1, ListRevision: read()[id].DrainingRevision}, nil)
		expect(fmt.Sprint("confirmation of node ", i), status, code, 200, "")
	}
	for _, to := range []maintenance.TurnState{maintenance.Quiet, maintenance.Out, maintenance.Returning} {
		status, code = step(id, to, read()[id].Revision)
		expect(string(to), status, code, 200, "")
	}
	waitUntil(t, "the machine is ready in the member list", func() bool { return phase() == PhaseReady })
	staleRevision := read()[id].Revision - 1
	status, code = step(id, maintenance.Done, staleRevision)
	expect("step from an earlier revision of the turn", status, code, 409, "rota.changed-since")
	status, code = step(id, maintenance.Done, read()[id].Revision)
	expect("done", status, code, 200, "")
	if _, ok := read()[id]; ok {
		t.Error("the plan still contains the turn that is done")
	}
	status, code = callJSON(t, "DELETE", url("/registry/rota/requests/q"), nil, nil)
	expect("withdrawal of the request", status, code, 200, "")
	if read(); len(plan.Turns) != 0 {
		t.Errorf("turns after the withdrawal of the request: %+v, want none", plan.Turns)
	}
}
