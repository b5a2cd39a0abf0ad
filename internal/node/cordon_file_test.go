package node

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startWithRecord starts a node with two backends, whose cordon file is in dir. served sends a request and returns the
// id of the backend that answered.
func startWithRecord(t *testing.T, dir string) (n *testNode, service *discoveryService, served func() string) {
	t.Helper()
	var members []listEntry
	for _, id := range []string{"s-a", "s-b"} {
		b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
			if r.URL.Path == "/stats" {
				return okResponse("TEXT inflight=0")
			}
			return okResponse(id)
		}))
		members = append(members, listEntry{id: id, addr: b.Addr().String(), phase: "ready"})
	}
	list := formatList(1, true, members...)
	service = newDiscoveryService(t, list)
	cfg := testConfig(t, service.addr, list)
	cfg.Admin, cfg.StateDir = "127.0.0.1:0", dir
	n = startNode(t, cfg)
	return n, service, func() string {
		_, body := roundTrip(t, newClientRequest(t, n.url+"/x", "read"))
		return body
	}
}

// adminPost sends a POST to the admin address and returns the status.
func adminPost(t *testing.T, n *testNode, path string) int {
	t.Helper()
	resp, _ := roundTrip(t, adminRequest(t, n, "POST", path))
	return resp.StatusCode
}

// neverServes sends 20 requests and reports whether the backend gets none of them.
func neverServes(served func() string, id string) bool {
	for range 20 {
		if served() == id {
			return false
		}
	}
	return true
}

// A cordon applies from the success of the call until the backend is uncordoned, in all processes of the node. A list
// that contains the backend does not end the cordon.
func TestCordonAppliesUntilUncordoned(t *testing.T) {
	dir := t.TempDir()
	n, service, served := startWithRecord(t, dir)
	other, _, servedByOther := startWithRecord(t, dir)
	for range 2 { // the second cordon changes nothing
		if got := adminPost(t, n, "/admin/cordon/s-a"); got != http.StatusOK {
			t.Fatalf("cordon: got status %d, want 200", got)
		}
	}
	if !neverServes(served, "s-a") {
		t.Error("a cordoned backend served a request")
	}
	if got := stats(t, n); got["members"] != 2 || got["members_unavailable"] != 1 {
		t.Errorf("got statistics %v, want 2 members of which 1 is unavailable", got)
	}
	service.changes <- formatList(2, true,
		listEntry{id: "s-a", addr: "127.0.0.1:9", phase: "ready", up: time.Now().UnixMilli()},
		listEntry{id: "s-b", addr: n.backendAddr(t, "s-b"), phase: "ready"})
	eventually(t, "the list is applied", func() bool { return n.backendAddr(t, "s-a") == "127.0.0.1:9" })
	if !neverServes(served, "s-a") {
		t.Error("a cordoned backend served a request after a list that contains the backend")
	}
	eventually(t, "the other process applies the cordon", func() bool {
		return stats(t, other)["members_unavailable"] == 1
	})
	if !neverServes(servedByOther, "s-a") {
		t.Error("the other process sends to a cordoned backend")
	}
	if got := adminPost(t, other, "/admin/uncordon/s-a"); got != http.StatusOK {
		t.Fatalf("uncordon: got status %d, want 200", got)
	}
	eventually(t, "the backend is used again", func() bool { return servedByOther() == "s-a" })
	eventually(t, "the first process applies the uncordon", func() bool { return stats(t, n)["members_unavailable"] == 0 })
	if got := adminPost(t, n, "/admin/cordon/s-none"); got != http.StatusNotFound {
		t.Errorf("unknown backend: got status %d, want 404", got)
	}
}

// backendAddr returns the address that the node has for a backend.
func (s *testNode) backendAddr(t *testing.T, id string) (addr string) {
	s.runOnLoop(t, func() { addr = s.loop.backendsByID[id].process.Addr })
	return addr
}

// A cordon also applies in a process that starts later.
func TestCordonAppliesAfterRestart(t *testing.T) {
	dir := t.TempDir()
	n, _, _ := startWithRecord(t, dir)
	adminPost(t, n, "/admin/cordon/s-a")
	n.stop()
	receive(t, "the end of the node", n.err)
	next, _, served := startWithRecord(t, dir)
	if !neverServes(served, "s-a") || stats(t, next)["members_unavailable"] != 1 {
		t.Error("a cordoned backend is used by the next process")
	}
}

// A node with an empty or malformed record starts, and can write a new record.
func TestMalformedCordonRecord(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "truncated": `{"version":1,"back`, "wrong type": `[1,2]`} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "glencart-n1.cordons"), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			n, _, served := startWithRecord(t, dir)
			if got := adminPost(t, n, "/admin/cordon/s-a"); got != http.StatusOK {
				t.Errorf("cordon: got status %d, want 200", got)
			}
			if !neverServes(served, "s-a") {
				t.Error("a cordoned backend served a request")
			}
			c, err := newCordonFile(dir, "n1", nopLog()).load()
			if err != nil || !c.Backends["s-a"].Cordoned {
				t.Errorf("got record %v, error %v, want s-a cordoned", c, err)
			}
		})
	}
}

// A call to cordon a backend fails if the record can't be written, since the next process would not have the cordon.
func TestCordonFailsIfRecordCannotBeWritten(t *testing.T) {
	n, _, _ := startWithRecord(t, filepath.Join(t.TempDir(), "missing"))
	if got := adminPost(t, n, "/admin/cordon/s-a"); got != http.StatusServiceUnavailable {
		t.Errorf("cordon without a directory for the record: got status %d, want 503", got)
	}
}

// If the file is removed, an update starts from the record that the process knows, and writes a higher version even if
// the wall clock has been set back. An update fails while another process holds the lock.
func TestUpdateStartsFromTheKnownRecord(t *testing.T) {
	f := newCordonFile(t.TempDir(), "n/1", nopLog())
	if strings.Contains(filepath.Base(f.path), "/") {
		t.Errorf("the path %q contains the slash of the node's name", f.path)
	}
	ctx := context.Background()
	a, err := f.update(ctx, cordonRecord{}, "a", true, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	os.Remove(f.path)
	b, err := f.update(ctx, a, "b", true, 9*time.Second)
	if err != nil || !b.Backends["a"].Cordoned || !b.Backends["b"].Cordoned || b.Version <= a.Version {
		t.Errorf("got record %+v, error %v, want a and b cordoned and a higher version", b, err)
	}
	unlock, err := f.lock(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer unlock()
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if _, err := f.update(short, b, "a", false, 11*time.Second); err == nil {
		t.Error("the update succeeded while another lock was held")
	}
}

// failingRead returns a function that fails the given number of reads with ENFILE, the error of a system that is short
// of descriptors. Later reads succeed.
func failingRead(failures int64) func(string) ([]byte, error) {
	var reads atomic.Int64
	return func(path string) ([]byte, error) {
		if reads.Add(1) <= failures {
			return nil, syscall.ENFILE
		}
		return os.ReadFile(path)
	}
}

// Transient read errors lose no cordon: a process that starts retries and has the cordons, a process that watches the
// file receives the change later, and an update fails rather than replace a record that it could not read.
func TestTransientReadErrorsOfTheRecord(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir := t.TempDir()
	first, err := newCordonFile(dir, "n1", nopLog()).update(ctx, cordonRecord{}, "a", true, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	starting := newCordonFile(dir, "n1", nopLog())
	starting.readFile = failingRead(3)
	if c := starting.loadAtStart(); !c.Backends["a"].Cordoned {
		t.Errorf("a process that starts has the record %+v, want a cordoned", c)
	}
	watching := newCordonFile(dir, "n1", nopLog())
	watching.loadAtStart()
	watching.readFile = failingRead(3)
	if _, err := newCordonFile(dir, "n1", nopLog()).update(ctx, first, "b", true, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	records := make(chan cordonRecord, 16)
	go watching.watch(ctx, func(c cordonRecord) { records <- c })
	select {
	case c := <-records:
		if !c.Backends["b"].Cordoned {
			t.Errorf("a process that watches received the record %+v, want b cordoned", c)
		}
	case <-time.After(testTimeout):
		t.Error("a process that watches does not receive the change")
	}
	updating := newCordonFile(dir, "n1", nopLog())
	updating.readFile = failingRead(1)
	if _, err := updating.update(ctx, cordonRecord{}, "c", true, 3*time.Second); err == nil {
		t.Error("an update replaced a record that could not be read")
	}
	c, err := newCordonFile(dir, "n1", nopLog()).load()
	if err != nil || !c.Backends["a"].Cordoned || !c.Backends["b"].Cordoned {
		t.Errorf("got record %+v, error %v, want a and b cordoned", c, err)
	}
}
