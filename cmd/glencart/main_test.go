package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

func TestMain(m *testing.M) {
	if os.Getenv("GLENCART_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A node without a configuration ends with one line and a non-zero code.
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
		if strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "glencart: ") {
			t.Errorf("%q: printed %q", path, out)
		}
	}
}

// SIGHUP has the configuration read again and discovery asked where it is now; a file that can't be read changes
// nothing. The program goes on until SIGTERM.
func TestHangupReadsTheConfigurationAgain(t *testing.T) {
	registry := func() (addr string, asked <-chan struct{}) {
		c := make(chan struct{}, 1)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case c <- struct{}{}:
			default:
			}
			if r.URL.RawQuery != "" {
				<-r.Context().Done() // a watch with no news
			}
			io.WriteString(w, `{"revision":1,"complete":true,"members":[]}`)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String(), c
	}
	before, askedBefore := registry()
	after, askedAfter := registry()
	path := t.TempDir() + "/config.json"
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"settings":{"classes":[{"name":"a","deadline":100000000}]}}`,
			discovery)
	}
	write(config(before))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	logged := bufio.NewScanner(stderr)
	awaitLine := func(text string) {
		for logged.Scan() {
			if strings.Contains(logged.Text(), text) {
				return
			}
		}
		t.Fatalf("the node ended without logging %q: %v", text, cmd.Wait())
	}
	awaitLine("serving")
	<-askedBefore
	write("{")
	cmd.Process.Signal(syscall.SIGHUP)
	awaitLine("configuration not replaced")
	write(config(after))
	cmd.Process.Signal(syscall.SIGHUP)
	awaitLine("configuration replaced")
	<-askedAfter
	cmd.Process.Signal(syscall.SIGTERM)
	awaitLine("left")
	for logged.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
