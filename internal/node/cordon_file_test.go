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

// startWithRecord starts a node on two backends, with its record in dir. served sends a request and returns the
// backend.
func startWithRecord(t *testing.T, dir string) (n *testNode, reg *discoveryService, served func() string) {
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
	reg = newDiscoveryService(t, list)
	cfg := testConfig(t, reg.addr, list)
	cfg.Admin, cfg.StateDir = "127.0.0.1:0", dir
	n = startNode(t, cfg)
	return n, reg, func() string {
		_, body := roundTrip(t, newClientRequest(t, n.url+"/x", "read"))
		return body
	}
}

func adminPost(t *testing.T, n *testNode, path string) int {
	t.Helper()
	resp, _ := roundTrip(t, adminCall(t, n, "POST", path))
	return resp.StatusCode
}

// neverServes reports whether a backend gets none of many requests.
func neverServes(served func() string, id string) bool {
	for range 20 {
		if served() == id {
			return false
		}
	}
	return true
}

// A backend is cordoned from the success of the call until it is uncordoned, through lists that name it, at all
// processes of the node.
func TestCordonHolds(t *testing.T) {
	dir := t.TempDir()
	n, reg, served := startWithRecord(t, dir)
	other, _, servedByOther := startWithRecord(t, dir)
	for range 2 { // cordoned twice is cordoned once
		if got := adminPost(t, n, "/admin/cordon/s-a"); got != http.StatusOK {
			t.Fatalf("answered %d", got)
		}
	}
	if !neverServes(served, "s-a") {
		t.Error("served by a cordoned backend")
	}
	if got := stats(t, n); got["members"] != 2 || got["members_unavailable"] != 1 {
		t.Errorf("statistics: %v", got)
	}
	reg.changes <- formatList(2, true,
		listEntry{id: "s-a", addr: "127.0.0.1:9", phase: "ready", up: time.Now().UnixMilli()},
		listEntry{id: "s-b", addr: n.backendAddr(t, "s-b"), phase: "ready"})
	eventually(t, "the list is taken in", func() bool { return n.backendAddr(t, "s-a") == "127.0.0.1:9" })
	if !neverServes(served, "s-a") {
		t.Error("served by a cordoned backend, after a list that names it")
	}
	eventually(t, "the other process follows", func() bool { return stats(t, other)["members_unavailable"] == 1 })
	if !neverServes(servedByOther, "s-a") {
		t.Error("the other process sends to a cordoned backend")
	}
	if got := adminPost(t, other, "/admin/uncordon/s-a"); got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	eventually(t, "the backend is used again", func() bool { return servedByOther() == "s-a" })
	eventually(t, "the first process follows", func() bool { return stats(t, n)["members_unavailable"] == 0 })
	if got := adminPost(t, n, "/admin/cordon/s-none"); got != http.StatusNotFound {
		t.Errorf("unknown backend: answered %d", got)
	}
}

// backendAddr returns the address of a backend as the node has it.
func (s *testNode) backendAddr(t *testing.T, id string) (addr string) {
	s.runOnLoop(t, func() { addr = s.loop.backendsByID[id].process.Addr })
	return addr
}

// A cordon holds in a process that starts later.
func TestCordonOutlivesTheProcess(t *testing.T) {
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

// A record that is empty or malformed keeps no node from starting, nor from writing a new one.
func TestMalformedCordonRecord(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "damaged": `{"version":1,"back`, "odd": `[1,2]`} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "glencart-n1.cordons"), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			n, _, served := startWithRecord(t, dir)
			if got := adminPost(t, n, "/admin/cordon/s-a"); got != http.StatusOK {
				t.Errorf("answered %d", got)
			}
			if !neverServes(served, "s-a") {
				t.Error("served by a cordoned backend")
			}
			c, err := newCordonFile(dir, "n1", nopLog()).load()
			if err != nil || !c.Backends["s-a"].Cordoned {
				t.Errorf("the record: %v, %v", c, err)
			}
		})
	}
}

// A call fails where the record can't be written: the next process would not have the cordon.
func TestCordonFailsWithoutARecord(t *testing.T) {
	n, _, _ := startWithRecord(t, filepath.Join(t.TempDir(), "missing"))
	if got := adminPost(t, n, "/admin/cordon/s-a"); got != http.StatusServiceUnavailable {
		t.Errorf("answered %d", got)
	}
}

// The record that a process has outlives its file, and no older one replaces it.
func TestUpdateStartsFromTheKnownRecord(t *testing.T) {
	f := newCordonFile(t.TempDir(), "n/1", nopLog())
	if strings.Contains(filepath.Base(f.path), "/") {
		t.Errorf("path %q", f.path)
	}
	ctx := context.Background()
	a, err := f.update(ctx, cordonRecord{}, "a", true, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	os.Remove(f.path)
	b, err := f.update(ctx, a, "b", true, 9*time.Second)
	if err != nil || !b.Backends["a"].Cordoned || !b.Backends["b"].Cordoned || b.Version <= a.Version {
		t.Errorf("%+v, %v", b, err)
	}
	held, err := f.lock(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer held()
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if _, err := f.update(short, b, "a", false, 11*time.Second); err == nil {
		t.Error("changed under another's lock")
	}
}

// failingRead fails a number of reads, as a process does that is short of descriptors, or a disk, and then reads.
func failingRead(fails int64) func(string) ([]byte, error) {
	var reads atomic.Int64
	return func(path string) ([]byte, error) {
		if reads.Add(1) <= fails {
			return nil, syscall.ENFILE
		}
		return os.ReadFile(path)
	}
}

// A record with transient read errors still binds: a process that starts then has the cordons, one that watches
// receives a change, and an update never replaces what could not be read.
func TestTransientReadErrorsOfTheRecord(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir := t.TempDir()
	out, err := newCordonFile(dir, "n1", nopLog()).update(ctx, cordonRecord{}, "a", true, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	starts := newCordonFile(dir, "n1", nopLog())
	starts.readFile = failingRead(3)
	if c := starts.loadAtStart(); !c.Backends["a"].Cordoned {
		t.Errorf("a process that starts has %+v", c)
	}
	follows := newCordonFile(dir, "n1", nopLog())
	follows.loadAtStart()
	follows.readFile = failingRead(3)
	if _, err := newCordonFile(dir, "n1", nopLog()).update(ctx, out, "b", true, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	records := make(chan cordonRecord, 16)
	go follows.watch(ctx, func(c cordonRecord) { records <- c })
	select {
	case c := <-records:
		if !c.Backends["b"].Cordoned {
			t.Errorf("received %+v", c)
		}
	case <-time.After(testTimeout):
		t.Error("a process that watches does not receive the change")
	}
	changes := newCordonFile(dir, "n1", nopLog())
	changes.readFile = failingRead(1)
	if _, err := changes.update(ctx, cordonRecord{}, "c", true, 3*time.Second); err == nil {
		t.Error("a change took the place of a record that could not be read")
	}
	c, err := newCordonFile(dir, "n1", nopLog()).load()
	if err != nil || !c.Backends["a"].Cordoned || !c.Backends["b"].Cordoned {
		t.Errorf("the record has %+v, %v", c, err)
	}
}
