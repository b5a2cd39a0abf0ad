package node

import (
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchvale/internal/fleet"
)

// Without the key "fleet" in its configuration a node is not a member of a fleet: it has no agent, sets no hooks, runs
// no goroutine of the fleet, and has no fleet status on its admin address. It therefore opens no connection to a
// registry and makes no calls to it.
func TestNoFleetMemberWithoutFleetKey(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("x") }))
	n := startWithAdmin(t, formatList(1, true, listEntry{"s", b.Addr().String(), "ready", 0}))
	eventually(t, "readiness", n.loop.ready.Load)
	roundTrip(t, newClientRequest(t, n.url+"/api/x", "read"))
	if n.fleet != nil || n.server.fleet != nil || n.loop.onServed != nil {
		t.Error("the node is a fleet member without the key")
	}
	stacks := make([]byte, 4<<20)
	if stacks = stacks[:runtime.Stack(stacks, true)]; strings.Contains(string(stacks), "hitchvale/internal/fleet.") {
		t.Error("a goroutine of package fleet runs")
	}
	if resp, _ := roundTrip(t, adminRequest(t, n, "GET", "/admin/fleet")); resp.StatusCode != http.StatusNotFound {
		t.Errorf("/admin/fleet: got status %d, want 404", resp.StatusCode)
	}
}

// The key "fleet" is validated: defaults are set, and an error names the setting that is wrong.
func TestFleetKeyIsValidated(t *testing.T) {
	for text, want := range map[string]string{
		`{}`:                    "fleet.registry: no replica",
		`{"registry":["here"]}`: `fleet.registry: "here"`,
		`{"registry":["127.0.0.1:1"],"interval_ms":5}`:      "fleet.interval_ms: 5",
		`{"registry":["127.0.0.1:1"],"tenants":-1}`:         "fleet.tenants: -1",
		`{"registry":["127.0.0.1:1"],"site":"a"}`:           "",
		`{"registry":["127.0.0.1:1"],"interval_ms":"soon"}`: "interval_ms",
	} {
		cfg, err := ParseConfig([]byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","fleet":` + text +
			`,"settings":` + testSettings + `}`))
		switch {
		case want == "" && (err != nil || cfg.Fleet.IntervalMs != 1000 || cfg.Fleet.Tenants != 64):
			t.Errorf("%s: got error %v, settings %+v, want the defaults 1000 and 64", text, err, cfg.Fleet)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%s: got error %v, want %s", text, err, want)
		}
	}
}

// A report has the connections and the working time of backends by tenant, and the Balancer's estimates of the
// endpoints.
func TestFleetReport(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		time.Sleep(5 * time.Millisecond)
		return okResponse("x")
	}))
	text := formatList(1, true, listEntry{"s-a", b.Addr().String(), "ready", 0})
	cfg := testConfig(t, newDiscoveryService(t, text).addr, text)
	cfg.Fleet = &FleetConfig{Registry: []string{"127.0.0.1:1"}, Site: "a"}
	if err := cfg.check(); err != nil {
		t.Fatal(err)
	}
	n := startNode(t, cfg)
	eventually(t, "readiness", n.loop.ready.Load)
	clients := make([]*http.Client, 3)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		resp, err := clients[i].Do(newClientRequest(t, n.url+"/api/x", "read"))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	report := n.fleet.report()
	connsOfAcme := func(r fleet.Report) float64 {
		isAcme := func(tenant fleet.WeightedKey) bool { return tenant.Key == "acme" }
		if i := slices.IndexFunc(r.TenantsByConnections, isAcme); i >= 0 {
			return r.TenantsByConnections[i].Weight
		}
		return 0
	}
	metrics := report.Metrics
	if connsOfAcme(report) != 3 || metrics.Connections < 3 || metrics.Descriptors <= metrics.Connections ||
		metrics.DescriptorLimit == 0 {
		t.Errorf("got report %+v, want three connections of acme and the usage of descriptors", report)
	}
	work := report.TenantsByWork
	if len(work) != 1 || work[0].Key != "acme" || work[0].Weight < 0.010 {
		t.Errorf("got work by tenant %+v, want at least 0.010 of acme only", report.TenantsByWork)
	}
	if len(report.Endpoints) != 1 || report.Endpoints[0].ID != "s-a" {
		t.Errorf("got endpoints %+v, want only s-a", report.Endpoints)
	}
	for _, c := range clients {
		c.CloseIdleConnections()
	}
	eventually(t, "the connections are closed", func() bool { return connsOfAcme(n.fleet.report()) == 0 })
	if again := n.fleet.report(); len(again.TenantsByWork) != 0 {
		t.Errorf("the same work is reported twice: %+v", again.TenantsByWork)
	}
}
