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

// flakyListener is a listener whose Accept fails if fails returns true for the number of the call. The failures return
// the errors in errs in turn.
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

// transientErrors are errors of accept(2) after which a later call may succeed: they come from a shortage of resources
// or from a connection that is broken already.
var transientErrors = []error{
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

// startWithFlakyListener starts a node with one backend. Its calls of accept fail if fails returns true, with the given
// errors in turn.
func startWithFlakyListener(t *testing.T, backend string, errs []error, fails func(call int64) bool) *testNode {
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

// A node whose calls of accept fail with transient errors serves every request.
func TestServesWhileAcceptFails(t *testing.T) {
	addr := newEchoBackend(t).Addr().String()
	s := startWithFlakyListener(t, addr, transientErrors, func(call int64) bool { return call%3 != 1 })
	began := time.Now()
	for range 2 * len(transientErrors) {
		if resp, _ := roundTrip(t, newClientRequest(t, s.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
			t.Errorf("got status %d, want 200", resp.StatusCode)
		}
	}
	if spent := time.Since(began); spent > testTimeout/2 {
		t.Errorf("the requests took %v, want at most %v", spent, testTimeout/2)
	}
	select {
	case err := <-s.err:
		t.Fatalf("the node has ended: %v", err)
	default:
	}
}

// Connections that wait in the backlog at SIGTERM because accept fails are served before the listener is closed.
func TestShutdownServesTheBacklogOnceAcceptWorksAgain(t *testing.T) {
	var failing atomic.Bool
	addr := newEchoBackend(t).Addr().String()
	s := startWithFlakyListener(t, addr, []error{syscall.ENFILE}, func(int64) bool { return failing.Load() })
	failing.Store(true)
	s.dialAndSend(t, "").Close() // ends the call of accept that is waiting
	s.stop()
	eventually(t, "the drain", s.server.shutdown.started)
	statuses := make(chan int, 1)
	go func() {
		tr := &http.Transport{DisableKeepAlives: true}
		resp, err := tr.RoundTrip(newClientRequest(t, s.url+"/api/x", "order"))
		if err != nil {
			t.Error(err)
			statuses <- 0
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		statuses <- resp.StatusCode
	}()
	time.Sleep(acceptPeriod + 4*backlogEmptyFor)
	failing.Store(false)
	if status := receive(t, "the response", statuses); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
}

// A listener that can never accept again shuts the node down, after every admitted request has been answered.
func TestLostListenerEndsTheNodeInOrder(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return okResponse("done")
	}))
	var lost atomic.Bool
	s := startWithFlakyListener(t, b.Addr().String(), []error{syscall.EBADF}, func(int64) bool { return lost.Load() })
	bodies := make(chan string, 1)
	go func() {
		_, body := roundTrip(t, newClientRequest(t, s.url+"/api/x", "order"))
		bodies <- body
	}()
	receive(t, "the request at the backend", held)
	lost.Store(true)
	s.dialAndSend(t, "").Close()
	eventually(t, "the drain", s.server.shutdown.started)
	close(hold)
	if body := receive(t, "the response", bodies); body != "done" {
		t.Errorf("got body %q, want \"done\"", body)
	}
	if err := receive(t, "the end", s.err); err == nil {
		t.Error("the node ended without an error")
	}
}

// The time that a request waits in the backlog while accept fails counts against its deadline, and reduces the time
// that the node sends to the backend in X-Expires-In.
func TestDeadlineCountsTheWaitInTheBacklog(t *testing.T) {
	expiresIn := make(chan string, 4)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		if r.URL.Path == "/api/x" {
			expiresIn <- r.Header.Get("X-Expires-In")
		}
		return okResponse("done")
	}))
	var failing atomic.Bool
	s := startWithFlakyListener(t, b.Addr().String(), []error{syscall.ENFILE}, func(int64) bool { return failing.Load() })
	failing.Store(true)
	s.dialAndSend(t, "").Close() // ends the call of accept that is waiting
	const deadline, backlogWait = 9500 * time.Millisecond, time.Second
	time.AfterFunc(backlogWait, func() { failing.Store(false) })
	began := time.Now()
	roundTrip(t, newClientRequest(t, s.url+"/api/x", "order"))
	if time.Since(began) < backlogWait {
		t.Fatalf("the request was answered within %v, although accept failed for as long", backlogWait)
	}
	seconds, err := strconv.ParseFloat(receive(t, "the request", expiresIn), 64)
	if err != nil {
		t.Fatal(err)
	}
	left := time.Duration(seconds * float64(time.Second))
	if left > deadline-backlogWait+150*time.Millisecond || left < deadline-backlogWait-testTimeout/4 {
		t.Errorf("the backend got a deadline of %v, want about %v less %v in the backlog", left, deadline, backlogWait)
	}
}
