package discovery

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"hitchvale/internal/discovery/discoverytest"
	"hitchvale/internal/siteconfig"
)

// waitTimeout bounds each wait for an expected event.
const waitTimeout = 20 * time.Second

const testSettings = `{"nInstances":1,"zones":["a","b"],"skus":["m"],
 "classes":[{"name":"read","aim":1000000000,"deadline":10000000000,"effect":"pure","points":1}]}`

// testConfig returns the configuration of a client of discovery at an address, with callbacks that do nothing.
func testConfig(t *testing.T, address string) Config {
	t.Helper()
	settings, err := siteconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	return Config{
		Address:   address,
		Settings:  settings,
		Log:       slog.New(slog.DiscardHandler),
		OnList:    func(List) {},
		OnFailure: func() {},
	}
}

// member returns an entry of a list.
func member(phase string) discoverytest.Member {
	return discoverytest.Member{ID: "s", Address: "127.0.0.1:1", Phase: phase}
}

// run starts a client that runs until the test ends.
func run(t *testing.T, c *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// startClient starts a client of discovery at an address, after configure has changed the client. It returns a channel
// of the lists received and the number of failed calls.
func startClient(t *testing.T, address string, configure func(*Client)) (<-chan List, *atomic.Int64) {
	t.Helper()
	lists := make(chan List, 64)
	failures := new(atomic.Int64)
	cfg := testConfig(t, address)
	cfg.OnList = func(l List) { lists <- l }
	cfg.OnFailure = func() { failures.Add(1) }
	c := NewClient(cfg)
	if configure != nil {
		configure(c)
	}
	run(t, c)
	return lists, failures
}

// awaitList receives lists until ok returns true for a list, and returns that list.
func awaitList(t *testing.T, what string, lists <-chan List, ok func(List) bool) List {
	t.Helper()
	for {
		if l := receive(t, what, lists); ok(l) {
			return l
		}
	}
}

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// receive returns the next value of a channel, and fails the test after waitTimeout.
func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// roundTrip is an http.RoundTripper that calls a function.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// serveConnections listens until the test ends and calls serve for each connection. It returns the address.
func serveConnections(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// ok200 returns an HTTP response with status 200.
func ok200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}
