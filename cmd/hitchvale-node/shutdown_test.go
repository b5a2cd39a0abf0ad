package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A process that shuts down gives every request that it forwards a final response before the earliest SIGKILL, also
// during an upgrade while backends hang.
//
// The failure: during an upgrade, clients sent their first requests 1.2 s after the old process got SIGTERM, on
// connections that they had opened before. The process kept unused connections for the longest deadline plus 0.6 s and
// gave requests on them their whole deadline, since it applied the limit by the time of SIGKILL only if no other
// process of the node ran (restart). Every request sent 0.7 s after SIGTERM or later therefore had no response at
// SIGKILL. At a restart no request was lost.
func TestEarliestKillFindsNothingUnanswered(t *testing.T) {
	for scenario, terminate := range map[string]func(*shutdownScenario){
		"restart":                          func(s *shutdownScenario) { s.terminate(s.first) },
		"upgrade":                          func(s *shutdownScenario) { s.first.replace(); s.terminate(s.first) },
		"series of upgrades":               (*shutdownScenario).upgradeTwice,
		"successor ends before":            (*shutdownScenario).killSuccessorBefore,
		"successor ends after":             (*shutdownScenario).killSuccessorAfter,
		"successor is terminated first":    (*shutdownScenario).terminateSuccessorFirst,
		"both are terminated":              (*shutdownScenario).terminateBoth,
		"SIGTERM twice, and SIGHUP":        (*shutdownScenario).signalRepeatedly,
		"stalled at SIGTERM":               (*shutdownScenario).stallAtStart,
		"stalled at the last responses":    (*shutdownScenario).stallAtEnd,
		"successor starts during shutdown": (*shutdownScenario).startSuccessorLate,
	} {
		for part, begin := range map[string]string{
			"first request": "",
			"rest of head":  "GET /api HTTP/1.1\r\nHost: x\r\nX-Tr",
			"rest of body":  "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nX-Qos: a\r\nX-Trace-Id: %s\r\n\r\nab",
		} {
			t.Run(scenario+"/"+part, func(t *testing.T) {
				t.Parallel()
				s := newShutdownScenario(t, begin)
				terminate(s)
				s.checkRequests()
			})
		}
	}
}

const (
	// shutdownDeadline is the longest deadline of a class.
	shutdownDeadline = 650 * time.Millisecond
	// shutdownKill is the earliest time after SIGTERM at which SIGKILL may come.
	shutdownKill = shutdownDeadline + 700*time.Millisecond
	// maxCloseDelay is how long after a request was sent its connection may be closed without a response: the node may
	// have closed the connection while the request was on its way.
	maxCloseDelay = 50 * time.Millisecond
)

// hangingBackend reads requests and answers none. It records the X-Trace-Id of each request that it has read.
type hangingBackend struct {
	mu       sync.Mutex
	received map[string]bool
}

func (b *hangingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	b.received[r.Header.Get("X-Trace-Id")] = true
	b.mu.Unlock()
	<-r.Context().Done()
}

// hasReceived reports whether the backend has read the request with an id.
func (b *hangingBackend) hasReceived(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received[id]
}

// lateClient connects before SIGTERM, may send the beginning of a request, and completes the request some time after
// SIGTERM.
type lateClient struct {
	net.Conn
	id, begin string
	delay     time.Duration // from SIGTERM to the completion of the request
	sent      time.Time     // when the request had been written completely; zero if it was not
	ended     time.Time     // when the response was complete or the connection ended
	err       error         // why there is no complete response
}

// rest returns the part of the request that the client sends after SIGTERM.
func (c *lateClient) rest() string {
	switch {
	case strings.HasPrefix(c.begin, "POST"):
		return "cd"
	case c.begin != "":
		return "ace-Id: " + c.id + "\r\nX-Qos: read\r\n\r\n"
	}
	return "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + c.id + "\r\nX-Qos: read\r\n\r\n"
}

// run completes the request at its delay after SIGTERM, and reads the response.
func (c *lateClient) run(sigterm time.Time) {
	time.Sleep(time.Until(sigterm.Add(c.delay)))
	c.SetDeadline(sigterm.Add(c.delay + shutdownDeadline + testTimeout))
	if _, err := io.WriteString(c, c.rest()); err == nil {
		c.sent = time.Now()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	c.ended, c.err = time.Now(), err
}

// shutdownScenario is a test of one node. Its processes get SIGTERM while clients that connected earlier complete their
// requests, and SIGKILL at the earliest time allowed.
type shutdownScenario struct {
	*testing.T
	backend *hangingBackend
	begin   string // the part of the clients' requests that is sent before SIGTERM
	first   *process
	clients []*lateClient
	running sync.WaitGroup // clients and processes
}

// newShutdownScenario starts the first process of a node, with hanging backends, and connects clients to it.
func newShutdownScenario(t *testing.T, begin string) *shutdownScenario {
	s := &shutdownScenario{T: t, backend: &hangingBackend{received: map[string]bool{}}, begin: begin}
	var members []string
	for i := range 24 { // so many that the node does not know yet that all of them hang
		server := httptest.NewServer(s.backend)
		t.Cleanup(server.CloseClientConnections) // ends the hanging requests
		const member = `{"id":"s-%d","host_port":%q,"locality":"a","flavor":"m","cell":0,"phase":"ready","size":1.0,` +
			`"up_since_ms":0}`
		members = append(members, fmt.Sprintf(member, i, server.Listener.Addr().String()))
	}
	addr, _ := startDiscovery(t, members...)
	s.first = startProcess(t, addr, `"admin":"127.0.0.1:0"`)
	s.connect(s.first)
	return s
}

// connect connects clients to the process that accepts now, with delays from 500 ms to shutdownKill. It also discards
// the log of the process.
func (s *shutdownScenario) connect(to *process) {
	go io.Copy(io.Discard, to.log)
	for delay := 500 * time.Millisecond; delay < shutdownKill; delay += 50 * time.Millisecond {
		conn, err := net.Dial("tcp", s.first.listen)
		if err != nil {
			s.Fatal(err)
		}
		s.Cleanup(func() { conn.Close() })
		id := fmt.Sprintf("id-%d-%d", to.Process.Pid, delay.Milliseconds())
		c := &lateClient{Conn: conn, id: id, delay: delay, begin: s.begin}
		if strings.Contains(s.begin, "%s") {
			c.begin = fmt.Sprintf(s.begin, c.id)
		}
		to.clients = append(to.clients, c)
	}
	time.Sleep(100 * time.Millisecond) // until the process has accepted them
}

// terminate sends SIGTERM to a process, and SIGKILL at the earliest time allowed. The clients of the process complete
// their requests. terminate does not wait for them.
func (s *shutdownScenario) terminate(to *process) {
	for _, c := range to.clients {
		io.WriteString(c, c.begin)
	}
	sigterm := time.Now()
	to.Process.Signal(syscall.SIGTERM)
	s.clients = append(s.clients, to.clients...)
	for _, c := range to.clients {
		s.running.Go(func() { c.run(sigterm) })
	}
	s.running.Go(func() {
		kill := time.AfterFunc(time.Until(sigterm.Add(shutdownKill)), func() { to.Process.Kill() })
		defer kill.Stop()
		to.Wait()
	})
}

// upgradeTwice replaces the first process, and its successor while the first process shuts down.
func (s *shutdownScenario) upgradeTwice() {
	second := s.first.replace()
	s.connect(second)
	s.terminate(s.first)
	second.replace()
	s.terminate(second)
}

// killSuccessorBefore kills the successor before the first process gets SIGTERM.
func (s *shutdownScenario) killSuccessorBefore() {
	s.first.replace().Process.Kill()
	time.Sleep(50 * time.Millisecond)
	s.terminate(s.first)
}

// killSuccessorAfter kills the successor after the first process has got SIGTERM.
func (s *shutdownScenario) killSuccessorAfter() {
	second := s.first.replace()
	s.terminate(s.first)
	time.Sleep(300 * time.Millisecond)
	second.Process.Kill()
}

// terminateSuccessorFirst sends SIGTERM to the successor during the hand-over, and later to the first process.
func (s *shutdownScenario) terminateSuccessorFirst() {
	second := s.first.start()
	time.Sleep(20 * time.Millisecond) // the successor may have inherited the listener by then
	second.Process.Signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	s.terminate(s.first)
}

// terminateBoth sends SIGTERM to the first process and to its successor.
func (s *shutdownScenario) terminateBoth() {
	second := s.first.replace()
	s.connect(second)
	s.terminate(s.first)
	s.terminate(second)
}

// signalRepeatedly sends further signals to the first process after SIGTERM.
func (s *shutdownScenario) signalRepeatedly() {
	s.first.replace()
	s.terminate(s.first)
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		time.Sleep(100 * time.Millisecond)
		s.first.Process.Signal(sig)
	}
}

// maxStall is the longest time for which a process may stall.
const maxStall = 150 * time.Millisecond

// stallAtStart stalls the first process when it gets SIGTERM.
func (s *shutdownScenario) stallAtStart() {
	s.first.replace()
	s.first.Process.Signal(syscall.SIGSTOP)
	s.terminate(s.first)
	time.Sleep(maxStall)
	s.first.Process.Signal(syscall.SIGCONT)
}

// stallAtEnd stalls the first process when it writes its last responses.
func (s *shutdownScenario) stallAtEnd() {
	s.first.replace()
	s.terminate(s.first)
	time.Sleep(shutdownKill - 250*time.Millisecond)
	s.first.Process.Signal(syscall.SIGSTOP)
	time.Sleep(maxStall)
	s.first.Process.Signal(syscall.SIGCONT)
}

// startSuccessorLate starts a successor while the first process shuts down.
func (s *shutdownScenario) startSuccessorLate() {
	s.terminate(s.first)
	time.Sleep(100 * time.Millisecond)
	s.first.start()
}

// checkRequests waits for all clients. It fails the test for each request without a complete response if a backend has
// received the request, or if the node held it for longer than maxCloseDelay.
func (s *shutdownScenario) checkRequests() {
	s.running.Wait()
	for _, c := range s.clients {
		switch {
		case c.err == nil:
		case s.backend.hasReceived(c.id):
			s.Errorf("request %s after SIGTERM: received by a backend, but no complete response: %v", c.delay, c.err)
		case !c.sent.IsZero() && c.ended.Sub(c.sent) > maxCloseDelay:
			s.Errorf("request %s after SIGTERM: held for %s, but no complete response: %v",
				c.delay, c.ended.Sub(c.sent), c.err)
		}
	}
}

// start starts another process of the same node.
func (p *process) start() *process {
	p.t.Helper()
	next := &process{Cmd: exec.Command(os.Args[0]), t: p.t, config: p.config, listen: p.listen, admin: unusedAddress()}
	next.Env = append(slices.Clone(p.Env), "BALANCER_ADMIN="+next.admin)
	next.log, _ = os.Open(os.DevNull)
	if err := next.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		next.Process.Kill()
		next.Wait()
		next.log.Close()
	})
	return next
}

// replace starts another process of the same node and waits until it is ready.
func (p *process) replace() *process {
	p.t.Helper()
	next := p.start()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + next.admin + "/admin/health")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return next
		}
	}
	p.t.Fatal("the new process does not become ready")
	return nil
}
