package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// stats reads the statistics of a node from its admin address, by name without the prefix.
func stats(t *testing.T, n *testNode) map[string]int {
	t.Helper()
	resp, body := roundTrip(t, adminRequest(t, n, "GET", "/admin/stats"))
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("got status %d for the statistics, want 200", resp.StatusCode)
	}
	out := map[string]int{}
	for line := range strings.Lines(body) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		v, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("the value in line %q is not a number: %v", line, err)
		}
		out[strings.TrimPrefix(name, "edge_balancer.")] = v
	}
	return out
}

// adminRequest returns a request to the admin address of a node.
func adminRequest(t *testing.T, n *testNode, method, path string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.admin.Addr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// startWithAdmin starts a node with an admin address. The change functions may change its configuration before that.
func startWithAdmin(t *testing.T, list string, change ...func(*Config)) *testNode {
	t.Helper()
	cfg := testConfig(t, newDiscoveryService(t, list).addr, list)
	for _, f := range change {
		f(&cfg)
	}
	if err := cfg.SetAdmin("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	return startNode(t, cfg)
}

// The statistics count each request in one outcome of its class and each attempt once it is written. No request stays
// pending.
func TestAdminStatistics(t *testing.T) {
	paths := make(chan string, 64)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		paths <- r.URL.Path
		switch r.URL.Path {
		case "/rejected":
			return "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
		case "/error":
			return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
		case "/stats":
			return okResponse("TEXT inflight=0")
		case "/slow":
			time.Sleep(50 * time.Millisecond)
		}
		return okResponse("fine")
	}))
	n := startWithAdmin(t, formatList(1, true, listEntry{id: "s-a", addr: b.Addr().String(), phase: "ready"},
		listEntry{id: "s-b", addr: "127.0.0.1:9", phase: "draining"}))
	for _, path := range []string{"/fine", "/fine", "/rejected", "/error"} {
		roundTrip(t, newClientRequest(t, n.url+path, "order"))
	}
	roundTrip(t, newClientRequest(t, n.url+"/fine", "read"))
	roundTrip(t, newClientRequest(t, n.url+"/error", "read")) // there is no other backend for a retry
	// A client that disconnects ends its request. The request is counted in one outcome, which may be any.
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for receive(t, "the slow request", paths) != "/slow" {
		}
		cancel()
	}()
	// After the two errors the node may withhold requests from its only ready backend, the longer the slower the backend
	// was before. A client that is rejected sends its request again after Retry-After.
	sent := 0
	eventually(t, "the slow request reaches its backend", func() bool {
		sent++
		slow := newClientRequest(t, n.url+"/slow", "token").WithContext(ctx)
		resp, err := http.DefaultTransport.RoundTrip(slow)
		if err != nil {
			return true
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		retryAfter, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(retryAfter * float64(time.Second)))
		return resp.StatusCode != http.StatusServiceUnavailable
	})
	// An attempt is counted when its write has returned. The backend may have the complete request before that.
	eventually(t, "no request is pending and seven attempts are written", func() bool {
		got := stats(t, n)
		return got["pending"] == 0 && got["upstream_requests"] == 7
	})
	got := stats(t, n)
	// One backend drains. Whether the other one counts as failing after two errors depends on the time between them.
	if u := got["members_unavailable"]; u < 1 || u > 2 {
		t.Errorf("members_unavailable: got %d, want 1 or 2", u)
	}
	for name, want := range map[string]int{
		"completed.order": 2, "rejected.order": 1, "failed.order": 1,
		"completed.read": 1, "rejected.read": 1, "failed.read": 0,
		"members": 2,
	} {
		if got[name] != want {
			t.Errorf("%s: got %d, want %d", name, got[name], want)
		}
	}
	if sum := got["completed.token"] + got["rejected.token"] + got["failed.token"]; sum != sent {
		t.Errorf("%d requests of the class token count in %d outcomes, want one each", sent, sum)
	}
}

// A node without an admin address in its configuration has no admin server.
func TestNoAdminServerWithoutAddress(t *testing.T) {
	if n := startNodeWith(t, "127.0.0.1:9"); n.admin != nil {
		t.Error("the node has an admin server, want none without an address")
	}
}

// The health check on the admin address reports whether the process is ready.
func TestHealthFollowsReadiness(t *testing.T) {
	n := startWithAdmin(t, formatList(1, true))
	if resp, _ := roundTrip(t, adminRequest(t, n, "GET", "/admin/health")); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d without a backend, want 503", resp.StatusCode)
	}
	n = startWithAdmin(t, formatList(1, true, listEntry{id: "s-a", addr: "127.0.0.1:9", phase: "ready"}))
	eventually(t, "the node is ready", func() bool {
		resp, _ := roundTrip(t, adminRequest(t, n, "GET", "/admin/health"))
		return resp.StatusCode == http.StatusOK
	})
}

// GET /metrics shows the same outcomes as the statistics, and in addition the attempts by status, the revision of the
// endpoint list and the calls to discovery.
func TestMetricsEqualStatistics(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		if r.URL.Path == "/error" {
			return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
		}
		return okResponse("fine")
	}))
	n := startWithAdmin(t, formatList(7, true, listEntry{id: "s-a", addr: b.Addr().String(), phase: "ready"}))
	roundTrip(t, newClientRequest(t, n.url+"/fine", "order"))
	roundTrip(t, newClientRequest(t, n.url+"/error", "read"))
	var body string
	eventually(t, "a call to discovery is counted and no request is pending", func() bool {
		var resp *http.Response
		resp, body = roundTrip(t, adminRequest(t, n, "GET", "/metrics"))
		return resp.StatusCode == http.StatusOK && strings.Contains(body, "glencart_pending_requests 0") &&
			strings.Contains(body, `glencart_discovery_call_seconds_count{result="ok"}`)
	})
	for _, want := range []string{
		`glencart_requests_total{class="order",outcome="completed"} 1`,
		`glencart_requests_total{class="read",outcome="rejected"} 1`,
		`glencart_attempts_total{status="delivered"} 1`,
		`glencart_attempts_total{status="app_error"} 1`,
		`glencart_members 1`, `glencart_members_usable 1`, `glencart_list_revision 7`,
		`glencart_discovery_call_seconds_count{result="ok"}`,
	} {
		if !strings.Contains(body, want) {
			t.Errorf("%s is missing in\n%s", want, body)
		}
	}
}
