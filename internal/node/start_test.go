package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A node whose address is still in use by a process that is being killed waits until the address is free, and starts.
func TestStartWaitsForItsAddress(t *testing.T) {
	for _, socket := range []string{"listen", "admin", "peer_listen"} {
		t.Run(socket, func(t *testing.T) {
			text := formatList(1, true, listEntry{"s", newEchoBackend(t).Addr().String(), "ready", 0})
			cfg := testConfig(t, newDiscoveryService(t, text).addr, text)
			cfg.StateDir = t.TempDir()
			var held interface{ Close() error }
			switch socket {
			case "peer_listen":
				c := listenUDP(t)
				cfg.PeerListen, held = c.LocalAddr().String(), c
			default:
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				if held = l; socket == "listen" {
					cfg.Listen = l.Addr().String()
				} else {
					cfg.Admin = l.Addr().String()
				}
			}
			time.AfterFunc(300*time.Millisecond, func() { held.Close() })
			n, err := New(cfg, nopLog())
			if err != nil {
				held.Close()
				t.Fatalf("the node did not start: %v", err)
			}
			s := runNode(t, n)
			eventually(t, "readiness", s.loop.ready.Load)
			if resp, _ := roundTrip(t, newClientRequest(t, s.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
				t.Errorf("got status %d, want 200", resp.StatusCode)
			}
		})
	}
}

// A process whose discovery accepts calls but answers none becomes ready with the list of its configuration. Where
// lists are polled it is ready immediately, and where they are pushed it is ready after firstListTimeout, long before
// 10 s.
func TestStartsReadyWithUnresponsiveDiscovery(t *testing.T) {
	if firstListTimeout > 5*time.Second {
		t.Errorf("the node waits %v for a pushed list, want at most 5 s", firstListTimeout)
	}
	silent := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { io.Copy(io.Discard, br) })
	known := formatList(1, true, listEntry{"s", newEchoBackend(t).Addr().String(), "ready", 0})
	n := startNode(t, testConfig(t, silent.Addr().String(), known, `"zones"`, `"membershipMode":"ask","zones"`))
	eventually(t, "readiness", n.loop.ready.Load)
	if resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "read")); resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", resp.StatusCode)
	}
}
