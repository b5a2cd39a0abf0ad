package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// waitTimeout bounds each wait for an expected event.
const waitTimeout = 20 * time.Second

// fakeNode is a Node with fixed answers. It knows the backend s-known, and s-stuck, whose cordons fail.
type fakeNode struct{ ready bool }

func (f *fakeNode) Ready() bool { return f.ready }

func (f *fakeNode) WriteStatistics(w io.Writer) { fmt.Fprintln(w, "edge_balancer.pending=14") }

func (f *fakeNode) Metrics() http.Handler { return http.NotFoundHandler() }
func (f *fakeNode) Fleet() (any, bool)    { return nil, false }

func (f *fakeNode) Cordon(_ context.Context, id string, cordoned bool) error {
	switch id {
	case "s-known":
		return nil
	case "s-stuck":
		return errors.New("no room")
	}
	return ErrUnknownBackend
}

// startServer starts a server that runs until the test ends, and returns its address.
func startServer(t *testing.T, n Node) string {
	t.Helper()
	s, err := Listen("127.0.0.1:0", n, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s.Addr().String()
}

// call sends a call and returns the status and the body of the answer. It fails the test unless the answer closes the
// connection.
func call(t *testing.T, addr, text string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitTimeout))
	go io.WriteString(c, text) // the server may answer before it has read a long call
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close {
		t.Errorf("the connection stays open after %q", text)
	}
	return resp.StatusCode, string(body)
}

// Each call is answered with the right status: 404 for an unknown path or backend, 405 for a wrong method, 503 for a
// node that is not ready or fails.
func TestStatusOfCalls(t *testing.T) {
	ready, notReady := startServer(t, &fakeNode{ready: true}), startServer(t, &fakeNode{})
	for _, c := range []struct {
		addr, line string
		status     int
		body       string
	}{
		{ready, "GET /admin/health", 200, "ok"},
		{notReady, "GET /admin/health", 503, ""},
		{ready, "GET /admin/stats", 200, "edge_balancer.pending=14\n"},
		{ready, "GET /admin/statistics", 404, ""},
		{ready, "GET /", 404, ""},
		{ready, "POST /admin/health", 405, ""},
		{ready, "DELETE /admin/stats", 405, ""},
		{ready, "nonsense", 400, ""},
		{ready, "POST /admin/cordon/s-known", 200, ""},
		{ready, "POST /admin/uncordon/s-known", 200, ""},
		{ready, "POST /admin/cordon/s-other", 404, ""},
		{ready, "POST /admin/uncordon/s-other", 404, ""},
		{ready, "POST /admin/cordon/s-stuck", 503, ""},
		{ready, "POST /admin/cordon/", 404, ""},
		{ready, "GET /admin/cordon/s-known", 405, ""},
	} {
		status, body := call(t, c.addr, c.line+" HTTP/1.1\r\nHost: x\r\n\r\n")
		if status != c.status || !strings.Contains(body, c.body) {
			t.Errorf("%.40s: answered %d %q, want %d %q", c.line, status, body, c.status, c.body)
		}
	}
}

// The server does not read an endless call. It answers with an error or closes the connection.
func TestOversizedCallIsNotServed(t *testing.T) {
	c, err := net.Dial("tcp", startServer(t, &fakeNode{ready: true}))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitTimeout))
	go io.Copy(c, io.MultiReader(strings.NewReader("GET /admin/health?"), endless{}))
	text, err := io.ReadAll(c)
	if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() || strings.HasPrefix(string(text), "HTTP/1.1 200") {
		t.Errorf("got %.40q, error %v; want an error status or a closed connection", text, err)
	}
}

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Connections without a complete call are evicted. A call is therefore answered even if many such connections are open.
func TestIncompleteCallsAreEvicted(t *testing.T) {
	addr := startServer(t, &fakeNode{ready: true})
	var held []net.Conn
	for i := range 4 * MaxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /admin/hea")
		}
		held = append(held, c)
	}
	if status, _ := call(t, addr, "GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
	// The first connection was evicted for later connections.
	held[0].SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := io.ReadAll(held[0]); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the oldest connection is still open: %v", err)
	}
}
