package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// testTimeout limits every wait of the tests for something that must happen. It may be long: with the faults that the
// tests guard against, the awaited event never happens.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv("GLENCART_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A node without a valid configuration exits with status 1 and one line on standard error.
func TestInvalidConfigPrintsOneLine(t *testing.T) {
	bad := t.TempDir() + "/config.json"
	if err := os.WriteFile(bad, []byte(`{"listen":"127.0.0.1:0"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"", "/nonexistent/config.json", bad} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+path)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%q: got error %v, want exit status 1", path, err)
		}
		if strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "hitchvale-node: ") {
			t.Errorf("%q: printed %q, want one line that starts with \"hitchvale-node: \"", path, out)
		}
	}
}

// startDiscovery starts a discovery service that lists the given members. It sends on called when it is called.
func startDiscovery(t *testing.T, members ...string) (addr string, called <-chan struct{}) {
	t.Helper()
	c := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case c <- struct{}{}:
		default:
		}
		if r.URL.RawQuery != "" {
			<-r.Context().Done() // a watch without changes
		}
		fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[%s]}`, strings.Join(members, ","))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), c
}

// addressCount is the number of addresses that unusedAddress has returned.
var addressCount atomic.Int64

// unusedAddress returns an address that no other socket of this machine is likely to use: each has its own loopback
// host.
func unusedAddress() string {
	const port, hosts = 8443, 250
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()&63, n/hosts, 1+n%hosts, port)
}

// process is a node that runs in its own operating system process.
type process struct {
	*exec.Cmd
	t       *testing.T
	config  string   // path of the configuration file
	keys    []string // further keys of the configuration
	admin   string   // admin address of a process that start has started
	clients []*lateClient
	listen  string
	log     *os.File // standard error of the process
	logged  *bufio.Scanner
}

// startProcess starts a node with the address of a discovery service and further keys in its configuration, and waits
// until the node serves.
func startProcess(t *testing.T, discovery string, keys ...string) *process {
	t.Helper()
	p := &process{
		Cmd:    exec.Command(os.Args[0]),
		t:      t,
		config: t.TempDir() + "/config.json",
		listen: unusedAddress(),
		keys:   keys,
	}
	p.configure(discovery)
	p.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+p.config, "TMPDIR="+t.TempDir())
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.log, p.Stderr = read, write
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	t.Cleanup(func() {
		p.Process.Kill()
		read.Close()
	})
	p.logged = bufio.NewScanner(read)
	p.awaitLine("serving")
	return p
}

// write replaces the configuration file.
func (p *process) write(text string) {
	p.t.Helper()
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// configure writes a configuration file with the address of a discovery service.
func (p *process) configure(discovery string) {
	p.t.Helper()
	const (
		node    = `{"name":"n0","listen":%q,"discovery":%q,%s"settings":{"classes":[%s]}}`
		classes = `{"name":"a","deadline":%d},{"name":"read","effect":"pure","deadline":%d}`
	)
	keys := strings.Join(append(slices.Clone(p.keys), ""), ",")
	p.write(fmt.Sprintf(node, p.listen, discovery, keys, fmt.Sprintf(classes, shutdownDeadline, shutdownDeadline)))
}

// awaitLine reads the log until a line contains text.
func (p *process) awaitLine(text string) {
	p.t.Helper()
	for p.logged.Scan() {
		if strings.Contains(p.logged.Text(), text) {
			return
		}
	}
	p.t.Fatalf("the node ended without logging %q: %v", text, p.Wait())
}

// awaitEnd waits until a node that has got SIGTERM exits, and checks that it exits without an error.
func (p *process) awaitEnd() {
	p.t.Helper()
	p.awaitLine("shut down")
	for p.logged.Scan() {
	}
	if err := p.Wait(); err != nil {
		p.t.Errorf("the node exited with %v", err)
	}
}

// On SIGHUP the node reads its configuration again and calls the new discovery address. A file that can't be read
// changes nothing. The node runs until SIGTERM.
func TestHangupReadsTheConfigurationAgain(t *testing.T) {
	before, calledBefore := startDiscovery(t)
	after, calledAfter := startDiscovery(t)
	p := startProcess(t, before)
	<-calledBefore
	p.write("{")
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLine("configuration reload failed")
	p.configure(after)
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLine("configuration replaced")
	<-calledAfter
	p.Process.Signal(syscall.SIGTERM)
	p.awaitEnd()
}

// A configuration that can't be read at SIGHUP is retried until it can be read. The node has to use the list of the new
// discovery address at most 4 s after the signal.
func TestHangupBeforeTheFileIsComplete(t *testing.T) {
	before, calledBefore := startDiscovery(t)
	after, calledAfter := startDiscovery(t)
	p := startProcess(t, before)
	<-calledBefore
	if err := os.Remove(p.config); err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLine("configuration reload failed")
	p.configure(after)
	select {
	case <-calledAfter:
	case <-time.After(testTimeout):
		t.Error("discovery was not called at its new address")
	}
	p.Process.Signal(syscall.SIGTERM)
	p.awaitEnd()
}

// A draining node still forwards requests, so it follows discovery to a new address.
func TestHangupDuringADrain(t *testing.T) {
	before, calledBefore := startDiscovery(t)
	after, calledAfter := startDiscovery(t)
	p := startProcess(t, before)
	<-calledBefore
	p.Process.Signal(syscall.SIGTERM)
	p.awaitLine("shutting down")
	p.configure(after)
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLine("configuration replaced")
	<-calledAfter
	p.awaitEnd()
}

// answers reports whether the node answers a request. The node has no backend, so the expected answer is a rejection
// with status 503.
func (p *process) answers() bool {
	c := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+p.listen+"/api", nil)
	if err != nil {
		p.t.Fatal(err)
	}
	r.Header.Set("X-Trace-Id", "id")
	r.Header.Set("X-Qos", "a")
	resp, err := c.Do(r)
	if err != nil {
		p.t.Log(err)
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusServiceUnavailable
}

// A node whose log is not read still answers requests, and exits on SIGTERM.
func TestUnreadLogBlocksNothing(t *testing.T) {
	addr, called := startDiscovery(t)
	p := startProcess(t, addr)
	<-called
	const lines = 3000 // at about 100 characters a line, several times the capacity of a pipe
	for range lines {
		p.Process.Signal(syscall.SIGHUP)
		time.Sleep(200 * time.Microsecond)
	}
	if !p.answers() {
		t.Error("the node does not answer")
	}
	p.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the node exited with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("the node does not exit")
	}
}

// A node whose log pipe has been closed by its reader still answers requests, and exits on SIGTERM.
func TestClosedLogPipeEndsNothing(t *testing.T) {
	addr, called := startDiscovery(t)
	p := startProcess(t, addr)
	<-called
	p.log.Close()
	for range 20 {
		p.Process.Signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
	if !p.answers() {
		t.Error("the node does not answer")
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("the node exited with %v", err)
	}
}
