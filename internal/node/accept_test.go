package node

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// flakyListener's Accept fails in some calls with errors of the operating system.
type flakyListener struct {
	net.Listener
	errs  []error
	calls atomic.Int64
	fails func(call int64) bool
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if call := l.calls.Add(1); l.fails(call) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.errs[call%int64(len(l.errs))]}
	}
	return l.Listener.Accept()
}

// passingErrors are errors of accept(2) that pass: of a shortage, or of a connection that has broken already.
var passingErrors = []error{
	syscall.ECONNABORTED,
	syscall.ENFILE,
	syscall.EMFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EPERM,
	syscall.ENETDOWN,
	syscall.EPROTO,
	syscall.ENOPROTOOPT,
	syscall.EHOSTDOWN,
	syscall.ENONET,
	syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP,
	syscall.ENETUNREACH,
	syscall.ETIMEDOUT,
	syscall.EINTR,
}

// startFlaky starts a node whose calls of accept fail with the given errors, in turn, where fails says so.
func startFlaky(t *testing.T, backend string, errs []error, fails func(call int64) bool) *testNode {
	t.Helper()
	text := formatList(1, true, listEntry{"s", backend, "ready", 0})
	n, err := New(testConfig(t, newDiscoveryService(t, text).addr, text), nopLog())
	if err != nil {
		t.Fatal(err)
	}
	n.listener.Listener = &flakyListener{Listener: n.listener.Listener, errs: errs, fails: fails}
	s := runNode(t, n)
	eventually(t, "readiness", s.loop.ready.Load)
	return s
}

// A node whose calls of accept fail for a moment, with any error that passes, serves every request.
func TestServesWhileAcceptFails(t *testing.T) {
	s := startFlaky(t, newEchoBackend(t).Addr().String(), passingErrors, func(call int64) bool { return call%3 != 1 })
	began := time.Now()
	for range 2 * len(passingErrors) {
		if resp, _ := roundTrip(t, newClientRequest(t, s.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
			t.Errorf("answered %d", resp.StatusCode)
		}
	}
	if spent := time.Since(began); spent > testTimeout/2 {
		t.Errorf("took %v", spent)
	}
	select {
	case err := <-s.err:
		t.Fatalf("the node has ended: %v", err)
	default:
	}
}

// Connections that wait in the backlog at SIGTERM, since accept fails just then, are served before the listener is
// closed.
func TestShutdownServesTheBacklogOnceAcceptWorksAgain(t *testing.T) {
	var failing atomic.Bool
	addr := newEchoBackend(t).Addr().String()
	s := startFlaky(t, addr, []error{syscall.ENFILE}, func(int64) bool { return failing.Load() })
	failing.Store(true)
	s.dialAndSend(t, "").Close() // ends the call of accept that waits already
	s.stop()
	eventually(t, "the drain", s.server.shutdown.started)
	answered := make(chan int, 1)
	go func() {
		tr := &http.Transport{DisableKeepAlives: true}
		resp, err := tr.RoundTrip(newClientRequest(t, s.url+"/api/x", "order"))
		if err != nil {
			t.Error(err)
			answered <- 0
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	time.Sleep(acceptPeriod + 4*backlogEmptyFor)
	failing.Store(false)
	if status := receive(t, "the answer", answered); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
}

// A listener that can never accept again ends the node, after every admitted request has been answered.
func TestLostListenerEndsTheNodeInOrder(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return okResponse("done")
	}))
	var lost atomic.Bool
	s := startFlaky(t, b.Addr().String(), []error{syscall.EBADF}, func(int64) bool { return lost.Load() })
	answered := make(chan string, 1)
	go func() {
		_, body := roundTrip(t, newClientRequest(t, s.url+"/api/x", "order"))
		answered <- body
	}()
	receive(t, "the request at the backend", held)
	lost.Store(true)
	s.dialAndSend(t, "").Close()
	eventually(t, "the drain", s.server.shutdown.started)
	close(hold)
	if body := receive(t, "the answer", answered); body != "done" {
		t.Errorf("answered %q", body)
	}
	if err := receive(t, "the end", s.err); err == nil {
		t.Error("the node ended without an error")
	}
}

// The time that a request waits in the backlog, while accept fails, counts against its deadline and against the time
// that its backend is given.
func TestDeadlineCountsTheWaitInTheBacklog(t *testing.T) {
	told := make(chan string, 4)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		if r.URL.Path == "/api/x" {
			told <- r.Header.Get("X-Expires-In")
		}
		return okResponse("done")
	}))
	var failing atomic.Bool
	s := startFlaky(t, b.Addr().String(), []error{syscall.ENFILE}, func(int64) bool { return failing.Load() })
	failing.Store(true)
	s.dialAndSend(t, "").Close() // ends the call of accept that waits already
	const waits, waited = 9500 * time.Millisecond, time.Second
	time.AfterFunc(waited, func() { failing.Store(false) })
	began := time.Now()
	roundTrip(t, newClientRequest(t, s.url+"/api/x", "order"))
	if time.Since(began) < waited {
		t.Fatal("accept did not fail for as long")
	}
	seconds, err := strconv.ParseFloat(receive(t, "the request", told), 64)
	if err != nil {
		t.Fatal(err)
	}
	left := time.Duration(seconds * float64(time.Second))
	if left > waits-waited+150*time.Millisecond || left < waits-waited-testTimeout/4 {
		t.Errorf("told %v of %v after %v in the backlog", left, waits, waited)
	}
}
