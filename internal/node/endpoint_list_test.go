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

// An endpoint list takes effect while idle clients occupy all connections for clients, after discovery was down, and
// whether lists are pushed or polled: a drain is noticed, and the new backend serves a new client.
func TestEndpointListIsAppliedWhileIdleClientsFillTheNode(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			old := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("old") }))
			fresh := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("fresh") }))
			before := formatList(1, true, listEntry{"old", old.Addr().String(), "ready", 0})
			after := formatList(2, false,
				listEntry{"old", old.Addr().String(), "draining", 0},
				listEntry{"fresh", fresh.Addr().String(), "ready", 0})
			down, back := make(chan struct{}), make(chan struct{})
			over := func(c chan struct{}) bool {
				select {
				case <-c:
					return true
				default:
					return false
				}
			}
			disco := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					query := r.URL.RawQuery
					waits := query != "" && !strings.HasSuffix(query, "wait_ms=0")
					if !over(down) && waits {
						<-down // a watch that is open when it goes down
					}
					switch {
					case !over(down):
						io.WriteString(c, okResponse(before))
					case !over(back):
						resetConn(c)
						return
					case query == "":
						io.WriteString(c, okResponse(strings.Replace(after, `"complete":false`, `"complete":true`, 1)))
					case strings.HasPrefix(query, "after=2") && waits:
						br.ReadByte()
					default:
						io.WriteString(c, okResponse(after))
					}
				}
			})
			cfg := testConfig(t, disco.Addr().String(), before, `"zones"`, `"membershipMode":"`+mode+`","zones"`)
			cfg.Limits.Sockets = minDescriptors
			n := startNode(t, cfg)
			eventually(t, "readiness", n.loop.ready.Load)
			close(down)
			for i := range 4 * n.maxClientConns {
				text := ""
				if i%2 == 0 {
					text = "GET /api/x HTTP/1.1\r\nHost: x\r\nX-Tr"
				}
				n.dialAndSend(t, text)
			}
			eventually(t, "a node full of idle clients", func() bool { return n.server.conns.open() >= n.maxClientConns*3/4 })
			close(back)
			eventually(t, "the drain", func() (heard bool) {
				n.runOnLoop(t, func() { heard = n.loop.backendsByID["old"].phase == balance.Draining })
				return heard
			})
			resp, body := roundTrip(t, newClientRequest(t, n.url+"/api/x", "read"))
			if resp.StatusCode != http.StatusOK || body != "fresh" {
				t.Errorf("a new client: %d %q", resp.StatusCode, body)
			}
			open, _ := n.pool.Size()
			if held := n.listener.openConns(); held+open+reservedDescriptors > cfg.Limits.Sockets {
				t.Errorf("%d connections of clients and %d to backends, of %d descriptors",
					held, open, cfg.Limits.Sockets)
			}
		})
	}
}

// A backend that a complete list does not name is removed, though it still answers: requests go to those named.
func TestBackendMissingFromCompleteListIsRemoved(t *testing.T) {
	before := formatList(1, true, listEntry{"old", newEchoBackend(t).Addr().String(), "ready", 0})
	reg := newDiscoveryService(t, before)
	n := startNode(t, testConfig(t, reg.addr, before))
	reg.changes <- formatList(2, true, listEntry{"new", newEchoBackend(t).Addr().String(), "ready", 0})
	eventually(t, "the end of what is left out", func() (gone bool) {
		n.runOnLoop(t, func() {
			old, fresh := n.loop.backendsByID["old"], n.loop.backendsByID["new"]
			gone = fresh != nil && fresh.available() && !old.available() && old.phase == balance.Removed
		})
		return gone
	})
	if resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

// A draining backend finishes its requests, and their responses are passed on; later requests go elsewhere.
func TestDrainingBackendFinishesItsRequests(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 8)
	old := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return okResponse("old")
	}))
	before := formatList(1, true, listEntry{"old", old.Addr().String(), "ready", 0})
	reg := newDiscoveryService(t, before)
	n := startNode(t, testConfig(t, reg.addr, before))
	first := make(chan string, 1)
	go func() {
		_, body := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order"))
		first <- body
	}()
	receive(t, "the request at the backend", held)
	reg.changes <- formatList(2, false,
		listEntry{"old", old.Addr().String(), "draining", 0},
		listEntry{"new", newEchoBackend(t).Addr().String(), "ready", 0})
	eventually(t, "the drain", func() (heard bool) {
		n.runOnLoop(t, func() { heard = n.loop.backendsByID["old"].phase == balance.Draining })
		return heard
	})
	resp, body := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order"))
	if resp.StatusCode != http.StatusOK || body == "old" {
		t.Errorf("after the drain: %d %q", resp.StatusCode, body)
	}
	close(hold)
	if body := receive(t, "the answer that hung", first); body != "old" {
		t.Errorf("the one that hung got %q", body)
	}
}
