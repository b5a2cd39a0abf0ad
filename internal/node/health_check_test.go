package node

import (
	"net/http"
	"sync/atomic"
	"testing"

	"hitchvale/balance"
	"hitchvale/internal/connpool"
)

// A health check returns the backend's load report, and an empty report if the backend's report is malformed.
func TestHealthChecks(t *testing.T) {
	var body atomic.Value // the backend's goroutine reads it
	body.Store("TEXT inflight=7, util=0.5")
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		if r.Method != "GET" || r.URL.Path != "/stats" {
			return "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
		}
		return okResponse(body.Load().(string))
	}))
	transport, done := newTestTransport(t), make(chan attemptResult, 1)
	transport.checkHealth(connpool.Server{Addr: b.Addr().String()}, func(r attemptResult) { done <- r })
	r := receive(t, "the health check", done)
	if r.status != balance.StatusSucceeded || r.load.Active != 7 || r.load.CPU != 0.5 {
		t.Errorf("got result %+v, want status succeeded, 7 active and CPU 0.5", r)
	}
	body.Store("\x00\x01")
	transport.checkHealth(connpool.Server{Addr: b.Addr().String()}, func(r attemptResult) { done <- r })
	if r := receive(t, "the second health check", done); r.load.Has != 0 {
		t.Errorf("got result %+v for a malformed report, want an empty load", r)
	}
}
