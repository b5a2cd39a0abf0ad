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

// patience bounds every wait for something that must happen: what it looks for never came before its mend.
const patience = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv("GLENCART_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A node without a valid configuration exits with status 1 and one line.
func TestBadStartIsOneLine(t *testing.T) {
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
			t.Errorf("%q: %v", path, err)
		}
		if strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "hitchvale-node: ") {
			t.Errorf("%q: printed %q", path, out)
		}
	}
}

// discovery starts a discovery that lists these members. The channel receives when it is called.
func discovery(t *testing.T, members ...string) (addr string, asked <-chan struct{}) {
	t.Helper()
	c := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case c <- struct{}{}:
		default:
		}
		if r.URL.RawQuery != "" {
			<-r.Context().Done() // a watch with no news
		}
		fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[%s]}`, strings.Join(members, ","))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), c
}

// addresses numbers the results of address.
var addresses atomic.Int64

// address returns one that no other socket of this machine is likely to use: each has a loopback host of its own.
func address() string {
	const port, hosts = 8443, 250
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()&63, n/hosts, 1+n%hosts, port)
}

// process is a node that runs as a process of its own.
type process struct {
	*exec.Cmd
	t       *testing.T
	config  string // the file
	keys    []string
	admin   string // its second address, of one that replaces another
	clients []*lateClient
	listen  string
	log     *os.File // what it logs
	logged  *bufio.Scanner
}

// startProcess starts a node with a discovery and further keys in its configuration, and waits until it serves.
func startProcess(t *testing.T, discovery string, keys ...string) *process {
	t.Helper()
	p := &process{
		Cmd:    exec.Command(os.Args[0]),
		t:      t,
		config: t.TempDir() + "/config.json",
		listen: address(),
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

// configure replaces the configuration file with one that names a discovery.
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

// awaitEnd waits for the exit of a node that has got SIGTERM.
func (p *process) awaitEnd() {
	p.t.Helper()
	p.awaitLine("shut down")
	for p.logged.Scan() {
	}
	if err := p.Wait(); err != nil {
		p.t.Errorf("ended with %v", err)
	}
}

// SIGHUP has the configuration read again and the new discovery called; a file that can't be read changes nothing. The
// node runs on until SIGTERM.
func TestHangupReadsTheConfigurationAgain(t *testing.T) {
	before, askedBefore := discovery(t)
	after, askedAfter := discovery(t)
	p := startProcess(t, before)
	<-askedBefore
	p.write("{")
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLine("configuration reload failed")
	p.configure(after)
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLine("configuration replaced")
	<-askedAfter
	p.Process.Signal(syscall.SIGTERM)
	p.awaitEnd()
}

// A configuration that can't be read at SIGHUP is read again until it can be: 4 s after the signal the new discovery's
// list has to be in use.
func TestHangupBeforeTheFileIsComplete(t *testing.T) {
	before, askedBefore := discovery(t)
	after, askedAfter := discovery(t)
	p := startProcess(t, before)
	<-askedBefore
	if err := os.Remove(p.config); err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLine("configuration reload failed")
	p.configure(after)
	select {
	case <-askedAfter:
	case <-time.After(patience):
		t.Error("discovery was not asked where it is now")
	}
	p.Process.Signal(syscall.SIGTERM)
	p.awaitEnd()
}

// A draining node still forwards requests, so it follows a discovery that moves.
func TestHangupDuringADrain(t *testing.T) {
	before, askedBefore := discovery(t)
	after, askedAfter := discovery(t)
	p := startProcess(t, before)
	<-askedBefore
	p.Process.Signal(syscall.SIGTERM)
	p.awaitLine("shutting down")
	p.configure(after)
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLine("configuration replaced")
	<-askedAfter
	p.awaitEnd()
}

// answers reports whether the node answers a request: it has no backend, so it rejects it.
func (p *process) answers() bool {
	c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
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

// A log that nobody reads blocks nothing: the node answers, and exits at SIGTERM.
func TestUnreadLogBlocksNothing(t *testing.T) {
	addr, asked := discovery(t)
	p := startProcess(t, addr)
	<-asked
	const lines = 3000 // of some hundred characters: several times what a pipe holds
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
			t.Errorf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("the node does not end")
	}
}

// A log whose reader has exited ends no process.
func TestClosedLogPipeEndsNothing(t *testing.T) {
	addr, asked := discovery(t)
	p := startProcess(t, addr)
	<-asked
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
		t.Errorf("ended with %v", err)
	}
}
