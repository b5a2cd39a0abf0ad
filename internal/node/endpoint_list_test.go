package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"hitchvale/balance"
)

// After an outage of discovery, an endpoint list is applied although idle clients occupy all connections for clients.
// The node notices that a backend drains, and a new backend serves a new client. The test covers pushed and polled
// lists.
func TestEndpointListIsAppliedWhileIdleClientsFillTheNode(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			old := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("old") }))
			fresh := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("fresh") }))
			before := formatList(1, true, listEntry{"old", old.Addr().String(), "ready", 0})
			after := formatList(2, false,
				listEntry{"old", old.Addr().String(), "draining", 0},
				listEntry{"fresh", fresh.Addr().String(), "ready", 0})
			outageStart, outageEnd := make(chan struct{}), make(chan struct{})
			closed := func(c chan struct{}) bool {
				select {
				case <-c:
					return true
				default:
					return false
				}
			}
			discovery := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					query := r.URL.RawQuery
					isWatch := query != "" && !strings.HasSuffix(query, "wait_ms=0")
					if !closed(outageStart) && isWatch {
						<-outageStart // this watch is open when the outage starts
					}
					switch {
					case !closed(outageStart):
						io.WriteString(c, okResponse(before))
					case !closed(outageEnd):
						resetConn(c)
						return
					case query == "":
						io.WriteString(c, okResponse(strings.Replace(after, `"complete":false`, `"complete":true`, 1)))
					case strings.HasPrefix(query, "after=2") && isWatch:
						br.ReadByte()
					default:
						io.WriteString(c, okResponse(after))
					}
				}
			})
			cfg := testConfig(t, discovery.Addr().String(), before, `"zones"`, `"membershipMode":"`+mode+`","zones"`)
			cfg.Limits.Sockets = minDescriptors
			n := startNode(t, cfg)
			eventually(t, "readiness", n.loop.ready.Load)
			close(outageStart)
			for i := range 4 * n.maxClientConns {
				text := ""
				if i%2 == 0 {
					text = "GET /api/x HTTP/1.1\r\nHost: x\r\nX-Tr"
				}
				n.dialAndSend(t, text)
			}
			eventually(t, "many idle clients", func() bool { return n.server.conns.open() >= n.maxClientConns*3/4 })
			close(outageEnd)
			eventually(t, "the drain", func() (draining bool) {
				n.runOnLoop(t, func() { draining = n.loop.backendsByID["old"].phase == balance.Draining })
				return draining
			})
			resp, body := roundTrip(t, newClientRequest(t, n.url+"/api/x", "read"))
			if resp.StatusCode != http.StatusOK || body != "fresh" {
				t.Errorf("response to a new client: status %d, body %q, want 200 and \"fresh\"", resp.StatusCode, body)
			}
			open, _ := n.pool.Size()
			if clients := n.listener.openConns(); clients+open+reservedDescriptors > cfg.Limits.Sockets {
				t.Errorf("%d connections of clients and %d to backends exceed the %d descriptors",
					clients, open, cfg.Limits.Sockets)
			}
		})
	}
}

// A backend that is missing from a complete list is removed although it still answers. Requests go to the listed
// backends.
func TestBackendMissingFromCompleteListIsRemoved(t *testing.T) {
	before := formatList(1, true, listEntry{"old", newEchoBackend(t).Addr().String(), "ready", 0})
	service := newDiscoveryService(t, before)
	n := startNode(t, testConfig(t, service.addr, before))
	service.changes <- formatList(2, true, listEntry{"new", newEchoBackend(t).Addr().String(), "ready", 0})
	eventually(t, "the removal of the missing backend", func() (removed bool) {
		n.runOnLoop(t, func() {
			old, fresh := n.loop.backendsByID["old"], n.loop.backendsByID["new"]
			removed = fresh != nil && fresh.available() && !old.available() && old.phase == balance.Removed
		})
		return removed
	})
	if resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", resp.StatusCode)
	}
}

// A draining backend finishes its requests, and the node forwards their responses. Later requests go to other backends.
func TestDrainingBackendFinishesItsRequests(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 8)
	old := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		arrived <- struct{}{}
		<-release
		return okResponse("old")
	}))
	before := formatList(1, true, listEntry{"old", old.Addr().String(), "ready", 0})
	service := newDiscoveryService(t, before)
	n := startNode(t, testConfig(t, service.addr, before))
	first := make(chan string, 1)
	go func() {
		_, body := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order"))
		first <- body
	}()
	receive(t, "the request at the backend", arrived)
	service.changes <- formatList(2, false,
		listEntry{"old", old.Addr().String(), "draining", 0},
		listEntry{"new", newEchoBackend(t).Addr().String(), "ready", 0})
	eventually(t, "the drain", func() (draining bool) {
		n.runOnLoop(t, func() { draining = n.loop.backendsByID["old"].phase == balance.Draining })
		return draining
	})
	resp, body := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order"))
	if resp.StatusCode != http.StatusOK || body == "old" {
		t.Errorf("response after the drain: status %d, body %q, want 200 from the new backend", resp.StatusCode, body)
	}
	close(release)
	if body := receive(t, "the delayed response", first); body != "old" {
		t.Errorf("the delayed response has the body %q, want \"old\"", body)
	}
}
