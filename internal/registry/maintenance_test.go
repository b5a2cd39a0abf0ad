package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"hitchvale/internal/maintenance"
)

// planAnswer is the answer to GET /registry/rota.
type planAnswer struct {
	Revision int64
	Order    []string
	Turns    []maintenance.Turn
}

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

// A machine's complete turn over HTTP on three replicas, each call to another one: requested by selector, its order
// settled on the view alone, granted, draining in the list, quiet once both nodes have confirmed, out, listed again,
// done; and what the rules forbid on the way is refused with its code.
func TestMaintenanceTurnOverHTTP(t *testing.T) {
	c := newClusterWith(t, 3, false)
	calls := 0
	url := func(path string) string {
		calls++
		return "http://" + c.http[calls%3] + path
	}
	expect := func(what string, status int, code string, wantStatus int, wantCode string) {
		t.Helper()
		if status != wantStatus || code != wantCode {
			t.Fatalf("%s: %d %q, want %d %q", what, status, code, wantStatus, wantCode)
		}
	}
	a, _ := testAgent(t, "n0", "p", c.http)
	testAgent(t, "n1", "p", c.http)
	await(t, "two fresh nodes", allFresh(a, 2))
	for i := range 3 {
		m := Member{ID: fmt.Sprint("s-", i), HostPort: "127.0.0.1:1", Locality: "a", Cell: i, Size: 1, UpSince: 1}
		status, code := callJSON(t, "POST", url("/registry/members"), map[string]any{"member": m}, nil)
		expect("register", status, code, 200, "")
	}
	maintenanceRequest := map[string]any{"id": "q", "select": map[string]any{"site": "a"}, "reason": "kernel", "length_ms": 1000,
		"budget": map[string]int{"all": 1}, "floor": map[string]float64{"a": 3}}
	status, code := callJSON(t, "POST", url("/registry/rota/requests"), maintenanceRequest, nil)
	expect("a floor that can never be met", status, code, 409, "rota.under-floor")
	maintenanceRequest["floor"] = map[string]float64{"a": 2}
	status, code = callJSON(t, "POST", url("/registry/rota/requests"), maintenanceRequest, nil)
	expect("the request", status, code, 200, "")
	step := func(id string, to maintenance.TurnState, rev int64) (int, string) {
		body := maintenance.Command{Target: to, Revision: rev}
		return callJSON(t, "POST", url("/registry/rota/machines/"+id+"/step"), body, nil)
	}
	var s planAnswer
	read := func() map[string]maintenance.Turn {
		t.Helper()
		status, code := callJSON(t, "GET", url("/registry/rota"), nil, &s)
		expect("read", status, code, 200, "")
		out := map[string]maintenance.Turn{}
		for _, x := range s.Turns {
			out[x.Machine] = x
		}
		return out
	}
	status, code = step("s-0", maintenance.Granted, read()["s-0"].Revision)
	expect("a grant before an order is settled", status, code, 409, "rota.out-of-order")
	await(t, "a settled order", func() bool {
		status, _ := callJSON(t, "POST", url("/registry/rota/settle"), a.Status().Version, nil)
		return status == 200
	})
	// The nodes report s-1 alone (testAgent): machines without a report follow it.
	if read(); len(s.Order) != 3 || s.Order[0] != "s-1" {
		t.Fatalf("order %v", s.Order)
	}
	id := s.Order[0]
	status, code = step(s.Order[1], maintenance.Granted, read()[s.Order[1]].Revision)
	expect("the second in order", status, code, 409, "rota.out-of-order")
	for _, to := range []maintenance.TurnState{maintenance.Granted, maintenance.Draining} {
		status, code = step(id, to, read()[id].Revision)
		expect(string(to), status, code, 200, "")
	}
	status, code = step(s.Order[0], maintenance.Granted, read()[s.Order[0]].Revision)
	expect("over the budget", status, code, 409, "rota.over-budget")
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
	await(t, "the list saying draining", func() bool { return phase() == PhaseDraining })
	for i, n := range []string{"n0", "n1"} {
		status, code = step(id, maintenance.Quiet, read()[id].Revision)
		expect("quiet without "+n, status, code, 409, "rota.unconfirmed")
		status, code = callJSON(t, "POST", url("/registry/rota/machines/"+id+"/confirm"),
			maintenance.Command{Node: n, Incarnation: 1, ListRevision: read()[id].DrainingRevision - 1}, nil)
		expect("a confirmation of an older list", status, code, 409, "rota.no-such-step")
		status, code = callJSON(t, "POST", url("/registry/rota/machines/"+id+"/confirm"),
			maintenance.Command{Node: n, Incarnation: 1, ListRevision: read()[id].DrainingRevision}, nil)
		expect(fmt.Sprint("confirmation ", i), status, code, 200, "")
	}
	for _, to := range []maintenance.TurnState{maintenance.Quiet, maintenance.Out, maintenance.Returning} {
		status, code = step(id, to, read()[id].Revision)
		expect(string(to), status, code, 200, "")
	}
	await(t, "the list saying ready", func() bool { return phase() == PhaseReady })
	stale := read()[id].Revision - 1
	status, code = step(id, maintenance.Done, stale)
	expect("a step from what was before", status, code, 409, "rota.changed-since")
	status, code = step(id, maintenance.Done, read()[id].Revision)
	expect("done", status, code, 200, "")
	if _, ok := read()[id]; ok {
		t.Error("a turn that is done is still there")
	}
	status, code = callJSON(t, "DELETE", url("/registry/rota/requests/q"), nil, nil)
	expect("withdraw", status, code, 200, "")
	if read(); len(s.Turns) != 0 {
		t.Errorf("turns after the withdrawal: %+v", s.Turns)
	}
}
