package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The client gets the backend's response unchanged, and the backend gets the request with its end-to-end headers.
func TestServedResponseIsForwardedUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		got <- r
		return "HTTP/1.1 200 OK\r\nContent-Type: text/x-menu\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	}))
	n := startNodeWith(t, b.Addr().String())
	resp, body := roundTrip(t, newClientRequest(t, n.url+"/api/a%2Fb/7f3a?x=1&y=%20", "token", func(r *http.Request) {
		r.Header.Set("X-Trace-Id", "trace-1")
		r.Header.Set("Connection", "X-Trace-Id, X-Hop")
		r.Header.Set("X-Hop", "1")
	}))
	if resp.StatusCode != 200 || body != "abcde" || resp.Header.Get("Content-Type") != "text/x-menu" {
		t.Errorf("the client got status %d, body %q, headers %v", resp.StatusCode, body, resp.Header)
	}
	r := receive(t, "the request at the backend", got)
	payload, _ := io.ReadAll(r.Body)
	if r.Method != "POST" || r.RequestURI != "/api/a%2Fb/7f3a?x=1&y=%20" || string(payload) != "payload" ||
		r.Header.Get("Idempotency-Key") != "key-1" {
		t.Errorf("the backend got %s %s, body %q, headers %v", r.Method, r.RequestURI, payload, r.Header)
	}
	// The id is forwarded even if the client names it in the Connection header.
	if r.Header.Get("X-Trace-Id") != "trace-1" || r.Header.Get("X-Hop") != "" {
		t.Errorf("the backend got headers %v, want X-Trace-Id and no X-Hop", r.Header)
	}
	var left float64
	if _, err := fmt.Sscan(r.Header.Get("X-Expires-In"), &left); err != nil || left <= 0 || left >= 9.5 {
		t.Errorf("the backend got X-Expires-In %q, want above 0 and below 9.5", r.Header.Get("X-Expires-In"))
	}
}

// A malformed request is rejected with a 4xx status and reaches no backend.
func TestMalformedRequests(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("") }))
	service := newDiscoveryService(t, formatList(1, true, listEntry{id: "s-a", addr: b.Addr().String(), phase: "ready"}))
	cfg := testConfig(t, service.addr, service.completeList)
	cfg.Limits.MemoryMB = 8 // so that at most maxBodyBytes of a request are buffered
	n := startNode(t, cfg)
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for name, tc := range map[string]struct {
		class  string
		change func(*http.Request)
		want   int
	}{
		"no id":                   {"read", set("X-Trace-Id", ""), 400},
		"unknown class":           {"read", set("X-Qos", "gold"), 400},
		"no class":                {"read", set("X-Qos", ""), 400},
		"unknown tenant":          {"read", set("X-Customer", "nobody"), 400},
		"deadline not a number":   {"read", set("X-Expires-In", "soon"), 400},
		"deadline NaN":            {"read", set("X-Expires-In", "NaN"), 400},
		"infinite deadline":       {"read", set("X-Expires-In", "Inf"), 400},
		"negative deadline":       {"read", set("X-Expires-In", "-1"), 400},
		"two ids":                 {"read", func(r *http.Request) { r.Header.Add("X-Trace-Id", "again") }, 400},
		"missing idempotency key": {"token", set("Idempotency-Key", ""), 400},
		"non-idempotent GET":      {"order", func(r *http.Request) { r.Method = "GET" }, 405},
		"idempotent POST":         {"read", func(r *http.Request) { r.Method = "POST" }, 405},
		"other method":            {"order", func(r *http.Request) { r.Method = "DELETE" }, 405},
		"body too long": {"order", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1))), maxBodyBytes+1
		}, 413},
		"chunked body too long": {"order", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1))), -1
		}, 413},
	} {
		t.Run(name, func(t *testing.T) {
			if resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", tc.class, tc.change)); resp.StatusCode != tc.want {
				t.Errorf("got status %d, want %d", resp.StatusCode, tc.want)
			}
		})
	}
	for name, text := range map[string]string{
		"not HTTP":        "\x16\x03\x01 hello\r\n\r\n",
		"negative length": "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
		"two lengths":     "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"huge head":       "GET /api/x HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 2*maxHeadBytes) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", n.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			go io.WriteString(c, text)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && (resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode >= 500) {
				t.Errorf("got status %d, want a 4xx status except 429", resp.StatusCode)
			}
			if err != nil && strings.Contains(err.Error(), "timeout") {
				t.Error("the node neither responds nor closes the connection")
			}
		})
	}
	if n := b.accepted.Load(); n != 0 {
		t.Errorf("%d connections reached the backend, want none", n)
	}
}

// If a backend never responds, the client gets a 504 before its deadline, since the backend may have run the request.
// The node closes the attempt's connection.
func TestSilentBackendGivesGatewayTimeout(t *testing.T) {
	ended := make(chan error, 4)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			io.Copy(io.Discard, br)
			_, err = c.Read(make([]byte, 1))
			ended <- err
		}
	})
	n := startNodeWith(t, b.Addr().String())
	began := time.Now()
	short := func(r *http.Request) { r.Header.Set("X-Expires-In", "0.300") }
	resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order", short))
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got status %d, want 504", resp.StatusCode)
	}
	if d := time.Since(began); d < 200*time.Millisecond {
		t.Errorf("the request failed after %v, before its deadline of 300 ms", d)
	}
	receive(t, "the end of the backend's connection", ended)
	eventually(t, "no request is open", func() bool { return n.openRequests(t) == 0 })
}

// When a client disconnects, its request, its attempt and its connection end.
func TestDisconnectedClientLeaksNothing(t *testing.T) {
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			begun <- struct{}{}
			io.Copy(io.Discard, br)
			ended <- struct{}{}
		}
	})
	n := startNodeWith(t, b.Addr().String())
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "GET /api/x HTTP/1.1\r\nHost: x\r\n"+
		"X-Trace-Id: gone-1\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In: 9\r\n\r\n")
	receive(t, "the request at the backend", begun)
	disconnected := time.Now()
	c.(*net.TCPConn).CloseWrite()
	receive(t, "the end of the attempt's connection", ended)
	if d := time.Since(disconnected); d > 5*time.Second {
		t.Errorf("the attempt continued for %v after the disconnect, want at most 5s", d)
	}
	// The backend has not responded, so the client must not get any response. net/http would send an empty one.
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if text, _ := io.ReadAll(c); len(text) > 0 {
		t.Errorf("got response %q, want none", text)
	}
	c.Close()
	eventually(t, "no request is open", func() bool { return n.openRequests(t) == 0 })
	eventually(t, "no request is in flight and no connection is open", func() bool {
		return n.server.inFlight.Load() == 0 && n.server.conns.open() == 0
	})
}

// A request is rejected with 409 if another open request has the same id, since a backend could not distinguish the
// two.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return okResponse("once")
	}))
	n := startNodeWith(t, b.Addr().String())
	same := func(r *http.Request) { r.Header.Set("X-Trace-Id", "same") }
	first := make(chan string, 1)
	go func() {
		_, body := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order", same))
		first <- body
	}()
	receive(t, "the first request at the backend", held)
	if resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order", same)); resp.StatusCode != http.StatusConflict {
		t.Errorf("got status %d for the second request, want 409", resp.StatusCode)
	}
	close(hold)
	if body := receive(t, "the response to the first request", first); body != "once" {
		t.Errorf("got body %q for the first request, want \"once\"", body)
	}
}

// A node with maxInFlight requests in flight rejects further requests with 503 and a Retry-After.
func TestRequestsBeyondLimitAreRejected(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return okResponse("x")
	}))
	n := startNodeWith(t, b.Addr().String())
	n.runOnLoop(t, func() {})
	n.server.inFlight.Store(n.server.maxInFlight - 1) // one more request is admitted
	first := make(chan int, 1)
	go func() {
		resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order"))
		first <- resp.StatusCode
	}()
	receive(t, "the admitted request at the backend", held)
	resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order"))
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d and Retry-After %q, want 503 and a time", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	close(hold)
	if status := receive(t, "the response to the admitted request", first); status != 200 {
		t.Errorf("got status %d for the admitted request, want 200", status)
	}
	n.server.inFlight.Add(1 - n.server.maxInFlight)
}

// Idle connections are evicted for clients that send requests.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string { return okResponse("x") }))
	text := formatList(1, true, listEntry{"s", b.Addr().String(), "ready", 0})
	cfg := testConfig(t, newDiscoveryService(t, text).addr, text)
	cfg.Limits.Sockets = minDescriptors
	n := startNode(t, cfg)
	clients, _ := cfg.Limits.divideDescriptors(false)
	for range 2 * clients {
		tr := &http.Transport{} // keeps its connection open
		defer tr.CloseIdleConnections()
		resp, err := tr.RoundTrip(newClientRequest(t, n.url+"/api/x", "read"))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Errorf("got status %d, want 200", resp.StatusCode)
		}
	}
	busy := clients / 2 // more than the limit leaves in addition to the idle connections
	for range busy {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /api/x HTTP/1.1\r\n")
	}
	eventually(t, "all of the busy connections are open at the same time", func() bool {
		n.server.conns.mu.Lock()
		defer n.server.conns.mu.Unlock()
		notIdle := 0
		for _, since := range n.server.conns.idleSince {
			if since.IsZero() {
				notIdle++
			}
		}
		return notIdle >= busy
	})
}

// A request is rejected immediately, with a Retry-After, if no backend accepts connections.
func TestRejectionHasRetryAfter(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close() // from now on connections to this address are refused
	n := startNodeWith(t, addr)
	began := time.Now()
	resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "order"))
	var after float64
	_, err = fmt.Sscan(resp.Header.Get("Retry-After"), &after)
	if resp.StatusCode != 503 || err != nil || after <= 0 || after > 2 {
		t.Errorf("got status %d and Retry-After %q, want 503 and at most 2 s",
			resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if d := time.Since(began); d > 5*time.Second {
		t.Errorf("the rejection took %v, want at most 5s", d)
	}
}
