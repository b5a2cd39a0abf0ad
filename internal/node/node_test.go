package node

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// A node that shuts down accepts requests for a while yet, responds to all that it has accepted, closes connections
// with their responses, and ends by itself.
func TestShutdownAnswersAllAcceptedRequests(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 16)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			held <- struct{}{}
			<-hold
		}
		return okResponse("done")
	}))
	n := startNodeWith(t, b.Addr().String())
	eventually(t, "readiness", func() bool {
		resp, _ := roundTrip(t, newClientRequest(t, n.url+"/health/ready", "read"))
		return resp.StatusCode == 200
	})
	client := &http.Client{Transport: &http.Transport{}}
	slow := make(chan *http.Response, 1)
	go func() {
		resp, err := client.Do(newClientRequest(t, n.url+"/api/slow", "order"))
		if err != nil {
			t.Error(err)
			resp = &http.Response{}
		}
		slow <- resp
	}()
	receive(t, "the slow request at the backend", held)
	began := time.Now()
	n.stop()
	eventually(t, "leaving", func() bool { return n.server.shutdown.started() })
	if resp, _ := roundTrip(t, newClientRequest(t, n.url+"/health/ready", "read")); resp.StatusCode != 503 {
		t.Errorf("readiness of a node that leaves: %d", resp.StatusCode)
	}
	late, body := roundTrip(t, newClientRequest(t, n.url+"/api/late", "order"))
	if late.StatusCode != 200 || body != "done" || !late.Close {
		t.Errorf("a new connection while leaving: %d %q, closed: %t", late.StatusCode, body, late.Close)
	}
	eventually(t, "end of accepting", func() bool {
		c, err := net.Dial("tcp", n.Addr().String())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if d := time.Since(began); d < 400*time.Millisecond {
		t.Errorf("accepted for only %v", d)
	}
	close(hold)
	if resp := receive(t, "the slow answer", slow); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the slow request: %d, closed: %t", resp.StatusCode, resp.Close)
	}
	if err := receive(t, "the node's end", n.err); err != nil {
		t.Error(err)
	}
}

// A request in the listener's backlog counts as accepted: a full node that shuts down still serves it.
func TestShutdownServesTheBacklog(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 64)
	serve := respondWith(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			held <- struct{}{}
			<-hold
		}
		return okResponse("done")
	})
	text := formatList(1, true, // while one has a slow request, the other is idle
		listEntry{"s-0", newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), "ready", 0},
		listEntry{"s-1", newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), "ready", 0})
	cfg := testConfig(t, newDiscoveryService(t, text).addr, text)
	cfg.Limits.Sockets = minDescriptors
	n := startNode(t, cfg)
	clients, _ := cfg.Limits.divideDescriptors(false)
	n.server.conns.setLimit(2 * clients) // else the silent ones would give way
	slow := make(chan string, 1)
	go func() {
		_, body := roundTrip(t, newClientRequest(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request at the backend", held)
	var silent []net.Conn
	for range clients - 1 {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	eventually(t, "a full node", n.listener.backlogged)
	waits := make(chan string, 1)
	go func() {
		_, body := roundTrip(t, newClientRequest(t, n.url+"/api/waits", "order"))
		waits <- body
	}()
	n.stop()
	time.Sleep(acceptPeriod + 100*time.Millisecond)
	for _, c := range silent {
		c.Close()
	}
	if body := receive(t, "the answer to the one that waited", waits); body != "done" {
		t.Errorf("the one that waited: %q", body)
	}
	close(hold)
	if body := receive(t, "the slow answer", slow); body != "done" {
		t.Errorf("the slow one: %q", body)
	}
	if err := receive(t, "the node's end", n.err); err != nil {
		t.Error(err)
	}
}

// A node without backends is not ready, and becomes ready when discovery lists one.
func TestReadyOnlyWithBackends(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("x") }))
	reg := newDiscoveryService(t, formatList(1, true))
	n := startNode(t, testConfig(t, reg.addr, "null"))
	resp, _ := roundTrip(t, newClientRequest(t, n.url+"/health/ready", "read"))
	if resp.StatusCode != 503 {
		t.Fatalf("no backend, and readiness says %d", resp.StatusCode)
	}
	reg.changes <- formatList(2, false, listEntry{"s", b.Addr().String(), "ready", 0})
	eventually(t, "readiness", func() bool {
		resp, _ := roundTrip(t, newClientRequest(t, n.url+"/health/ready", "read"))
		return resp.StatusCode == 200
	})
	if resp, body := roundTrip(t, newClientRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 200 || body != "x" {
		t.Fatalf("%d %q", resp.StatusCode, body)
	}
}

// Connections beyond the limit wait in the backlog: accepting them would use up the process's descriptors.
func TestConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := newLimitListener(l, 2)
	defer bounded.Close()
	got := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := bounded.Accept()
			if err != nil {
				return
			}
			got <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	first := receive(t, "the first connection", got)
	second := receive(t, "the second", got)
	defer second.Close()
	select {
	case <-got:
		t.Fatal("a third connection was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	first.Close()
	receive(t, "the third, once there is room", got).Close()
}
