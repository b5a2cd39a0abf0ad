package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"hitchvale/balance"
)

// No new request is sent to a draining backend. An attempt that is still dialing the backend is cancelled, and later
// requests go to another backend.
func TestDrainCancelsAttemptsThatDial(t *testing.T) {
	served := make(chan string, 8)
	serve := func(name string) func(net.Conn, *bufio.Reader) {
		return respondWith(func(*http.Request) string { served <- name; return okResponse(name) })
	}
	old := newRawBackend(t, "127.0.0.1:0", serve("old"))
	other := newRawBackend(t, "127.0.0.1:0", serve("other"))
	text := formatList(1, true, listEntry{"old", old.Addr().String(), "ready", 0})
	service := newDiscoveryService(t, text)
	n, err := New(testConfig(t, service.addr, text), nopLog())
	if err != nil {
		t.Fatal(err)
	}
	dialing, continueDial := make(chan struct{}, 8), make(chan struct{})
	n.pool.DialContext = dialWithControl(func(_, addr string, _ syscall.RawConn) error {
		if addr == old.Addr().String() {
			dialing <- struct{}{}
			<-continueDial
		}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { n.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	s := &testNode{Node: n, url: "http://" + n.Addr().String()}
	answered := make(chan string, 1)
	go func() {
		_, body := roundTrip(t, newClientRequest(t, s.url+"/api/x", "order"))
		answered <- body
	}()
	receive(t, "the dial", dialing)
	service.changes <- formatList(2, false, listEntry{"old", old.Addr().String(), "draining", 0},
		listEntry{"new", other.Addr().String(), "ready", 0})
	eventually(t, "the drain", func() (draining bool) {
		s.runOnLoop(t, func() { draining = n.loop.backendsByID["old"].phase == balance.Draining })
		return draining
	})
	close(continueDial)
	// The request has not run, so the Balancer may retry it. It may also reject it, because a node that has just started
	// has no retry budget.
	if body := receive(t, "the response", answered); body == "old" {
		t.Errorf("the draining backend served the request: response %q", body)
	}
	for range 3 {
		if _, body := roundTrip(t, newClientRequest(t, s.url+"/api/x", "order")); body != "other" {
			t.Errorf("response %q, want \"other\"", body)
		}
	}
	eventually(t, "the close of the dialed connection", func() bool {
		open, _ := n.pool.Size()
		return open == 1
	})
	close(served)
	for name := range served {
		if name == "old" {
			t.Error("a request was sent to a draining backend")
		}
	}
}

// A node with a known list watches from the revision of this list. Reading the complete list again would cost the
// discovery service work for each entry.
func TestWatchStartsFromTheKnownList(t *testing.T) {
	text := formatList(41, true, listEntry{"s", "127.0.0.1:1", "ready", 0})
	service := newDiscoveryService(t, text)
	n, err := New(testConfig(t, service.addr, text), nopLog())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { n.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	eventually(t, "the first discovery call", func() bool { return len(service.queries()) > 0 })
	if first := service.queries()[0]; !strings.HasPrefix(first, "after=41&wait_ms=") {
		t.Errorf("the first discovery call has the query %q, want after=41 and a wait", first)
	}
}

// A process is not ready on the list of its configuration. It becomes ready when it has read the list of the discovery
// service, and its first call asks for this list without waiting for a change. A discovery service that does not answer
// delays the readiness only by firstListTimeout.
func TestNotReadyBeforeTheFirstPushedList(t *testing.T) {
	known := formatList(1, true, listEntry{"s", "127.0.0.1:9", "ready", 0})
	for _, answers := range []bool{true, false} {
		release, queries := make(chan struct{}), make(chan string, 64)
		b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
			queries <- r.URL.RawQuery
			<-release
			return okResponse(formatList(2, false,
				listEntry{"s", "127.0.0.1:9", "draining", 0}, listEntry{"u", "127.0.0.1:9", "ready", 0}))
		}))
		n, err := New(testConfig(t, b.Addr().String(), known), nopLog())
		if err != nil {
			t.Fatal(err)
		}
		if n.firstListTimeout = time.Hour; !answers {
			n.firstListTimeout = time.Millisecond
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { n.Run(ctx); close(done) }()
		if first := receive(t, "the first discovery call", queries); first != "after=1&wait_ms=0" {
			t.Errorf("the first discovery call has the query %q, want after=1 without a wait", first)
		}
		if n.loop.ready.Load() && answers {
			t.Error("the node is ready before it has read the list of the discovery service")
		}
		if answers {
			close(release)
		}
		eventually(t, "readiness", n.loop.ready.Load)
		if !answers {
			close(release)
		}
		cancel()
		<-done
	}
}
