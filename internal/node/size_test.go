package node

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"hitchvale/balance"
)

// A node with 1,024 backends and 1,024 peers knows every backend and queues a datagram for every peer. The test logs
// the memory that this takes, and also runs with 350 nodes and 500 backends.
func TestLargeFleet(t *testing.T) {
	for _, tc := range []struct{ nodes, backends int }{{350, 500}, {1024, 1024}} {
		t.Run(fmt.Sprintf("%d nodes, %d backends", tc.nodes, tc.backends), func(t *testing.T) {
			before := heapInUse()
			b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("yes") }))
			peer := listenUDP(t)
			var members []listEntry
			for i := range tc.backends {
				members = append(members, listEntry{id: fmt.Sprintf("s-%08x", i), addr: b.Addr().String(), phase: "ready"})
			}
			list := formatList(1, true, members...)
			instances := fmt.Sprintf(`"nInstances":%d`, tc.nodes)
			cfg := testConfig(t, newDiscoveryService(t, list).addr, list, `"nInstances":1`, instances)
			cfg.PeerListen = "127.0.0.1:0"
			for range tc.nodes {
				cfg.Peers = append(cfg.Peers, peer.LocalAddr().String())
			}
			n, err := New(cfg, nopLog())
			if err != nil {
				t.Fatal(err)
			}
			for i := range tc.nodes { // before the node runs and sends the datagrams
				n.peers.enqueue(i, []byte("hello"))
			}
			if got := len(n.peers.outgoing); got != tc.nodes {
				t.Errorf("%d datagrams queued for %d peers, want one for each peer", got, tc.nodes)
			}
			s := runNode(t, n)
			eventually(t, "readiness", s.loop.ready.Load)
			var known, ready int
			s.runOnLoop(t, func() {
				for _, x := range s.loop.backendsByID {
					if known++; x.phase == balance.Ready {
						ready++
					}
				}
			})
			if known != tc.backends || ready != tc.backends {
				t.Errorf("%d of %d backends known, %d ready, want all", known, tc.backends, ready)
			}
			resp, body := roundTrip(t, newClientRequest(t, s.url+"/x", "read"))
			if resp.StatusCode != http.StatusOK || body != "yes" {
				t.Errorf("got status %d, body %q, want 200 and \"yes\"", resp.StatusCode, body)
			}
			t.Logf("heap in use: %d KiB more than before, including the test's own data", (heapInUse()-before)>>10)
		})
	}
}

// heapInUse returns the bytes of heap in use.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
