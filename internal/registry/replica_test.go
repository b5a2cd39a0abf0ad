package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hitchvale/internal/statemachine"
)

// A watch from a revision that the ring still holds gets each changed member once, as it is now, removals as
// gone; from one older than the ring, the whole list.
func TestChangesSinceReturnsChangesOrCompleteList(t *testing.T) {
	s := NewState(16)
	m := func(id string) Member { return Member{ID: id, HostPort: "127.0.0.1:1", Phase: PhaseReady, Size: 1} }
	for _, c := range []statemachine.Command{
		&MemberCommand{Op: "register", Member: m("a")}, &MemberCommand{Op: "register", Member: m("b")}, &MemberCommand{Op: "register", Member: m("c")},
		&MemberCommand{Op: "phase", ID: "a", Phase: PhaseDraining}, &MemberCommand{Op: "deregister", ID: "b"},
	} {
		if r := s.Apply(c); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	got := s.ChangesSince(3)
	if got.Revision != 5 || got.Complete || len(got.Members) != 2 ||
		got.Members[0].Phase != PhaseDraining || got.Members[1].ID != "b" || got.Members[1].Phase != PhaseGone {
		t.Fatalf("since 3: %+v", got)
	}
	for range 20 { // push revision 1 to 5 out of the ring
		s.Apply(&MemberCommand{Op: "phase", ID: "c", Phase: PhaseDraining})
		s.Apply(&MemberCommand{Op: "phase", ID: "c", Phase: PhaseReady})
	}
	if w := s.ChangesSince(3); !w.Complete || len(w.Members) != 2 {
		t.Fatalf("since a compacted revision: %+v", w)
	}
	if r := s.Apply(&MemberCommand{Op: "phase", ID: "zz", Phase: PhaseReady}); !errors.Is(r.Err, ErrMemberNotFound) || r.Revision != s.Revision {
		t.Fatalf("unknown member: %+v", r)
	}
}

type cluster struct {
	t                testing.TB
	configs          []Config
	replicas         []*Replica
	http             []string
	stops            []func() // ends replica i's HTTP side and waits for it
	acknowledgeEarly bool     // the planted bug, for every replica opened
	disks            []*faultyDisk
}

func testConfig(id, dir string) Config {
	c := defaultConfig()
	c.ID, c.DataDir, c.Bootstrap = id, dir, true
	c.Timing.Heartbeat.Duration, c.Timing.Election.Duration, c.Timing.LeaderLease.Duration = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	return c
}

// newCluster starts n replicas in this process on ports of 127.0.0.1 that the system picks.
func newCluster(t testing.TB, n int) *cluster { return newClusterWith(t, n, false) }

func newClusterWith(t testing.TB, n int, ackEarly bool) *cluster {
	return newClusterFor(t, n, ackEarly, fleetInterval)
}

func newClusterFor(t testing.TB, n int, ackEarly bool, interval time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t, acknowledgeEarly: ackEarly, replicas: make([]*Replica, n), stops: make([]func(), n)}
	var peers []Peer
	var raftLn, httpLn []net.Listener
	for i := range n {
		rl, hl := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
		raftLn, httpLn = append(raftLn, rl), append(httpLn, hl)
		peers = append(peers, Peer{ID: fmt.Sprintf("r%d", i), RaftAddr: rl.Addr().String(), HTTPAddr: hl.Addr().String()})
	}
	for i := range n {
		cfg := testConfig(peers[i].ID, t.TempDir())
		cfg.RaftAddr, cfg.HTTPAddr, cfg.Peers = peers[i].RaftAddr, peers[i].HTTPAddr, peers
		cfg.FleetInterval.Duration = interval
		c.configs, c.http = append(c.configs, cfg), append(c.http, cfg.HTTPAddr)
		c.open(i, raftLn[i], httpLn[i])
	}
	t.Cleanup(func() {
		for i := range c.replicas {
			c.stop(i)
		}
	})
	return c
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (c *cluster) open(i int, raftLn, httpLn net.Listener) {
	if len(c.disks) <= i {
		c.disks = append(c.disks, &faultyDisk{})
	}
	r, err := openWithStore(c.configs[i], raftLn, slog.New(slog.DiscardHandler), c.disks[i].wrap)
	if err != nil {
		c.t.Fatal(err)
	}
	r.acknowledgeEarly = c.acknowledgeEarly
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { r.Serve(ctx, httpLn); close(served) }()
	c.replicas[i], c.stops[i] = r, func() { cancel(); <-served }
}

// Calls that a replica has taken when it is told to end get their answers: closing the server cut them off, as the end
// of a node did with requests (docs/incidents/2026-12-03-upgrade.md). Whoever wrote would not know whether that was
// done.
func TestShutdownAnswersCallsInFlight(t *testing.T) {
	c := newCluster(t, 1)
	r := c.replicas[0]
	await(t, "a leader", func() bool { return r.Leader() && r.canServeReads() })
	var revision int64
	r.fsm.read(func(s *State) { revision = s.Revision })
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?after=%d&wait_ms=60000", c.http[0], revision))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		answered <- err
	}()
	await(t, "the watch", func() bool { return r.openWatches.Load() > 0 })
	c.stop(0)
	if err := <-answered; err != nil {
		t.Errorf("the watch was cut off: %v", err)
	}
}

// stop ends replica i, as a crash would, but with its files whole.
func (c *cluster) stop(i int) {
	if c.replicas[i] == nil {
		return
	}
	c.stops[i]()
	c.replicas[i].Close()
	c.replicas[i] = nil
}

// restart opens replica i again from its folder, on its addresses.
func (c *cluster) restart(i int) {
	c.open(i, listen(c.t, c.configs[i].RaftAddr), listen(c.t, c.configs[i].HTTPAddr))
}

// leader waits for a leader among the replicas still open.
func (c *cluster) leader(t testing.TB) int {
	t.Helper()
	for range 200 {
		for i, r := range c.replicas {
			if r != nil && r.Leader() {
				return i
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no leader")
	return -1
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// Writes sent to a follower are forwarded and acknowledged once applied; every acknowledged write is there after
// the leader is stopped, the revision goes on from where it was, and bad input changes nothing.
func TestAcknowledgedWritesSurviveTheLeader(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader(t)
	follower := c.http[(lead+1)%3]
	await(t, "a follower that knows the leader", func() bool { return c.replicas[(lead+1)%3].leaderHTTPAddr() != "" })
	for i := range 20 {
		body := fmt.Sprintf(`{"member":{"id":"s-%d","host_port":"127.0.0.1:%d","size":1}}`, i, 9000+i)
		if code, text := call(t, "POST", "http://"+follower+"/registry/members", body); code != 200 {
			t.Fatalf("write %d: %d %s", i, code, text)
		}
	}
	for _, bad := range []string{`{"member":{"host_port":"127.0.0.1:1"}}`, `{"member":{"id":"x","host_port":"nowhere"}}`,
		`{"member":`, `{"member":{"id":"x","host_port":"127.0.0.1:1","phase":"asleep"}}`, `{"membr":{}}`} {
		if code, text := call(t, "POST", "http://"+follower+"/registry/members", bad); code != 400 {
			t.Fatalf("%s: %d %s", bad, code, text)
		}
	}
	c.stop(lead)
	next := c.leader(t)
	// A new leader answers 503 until it has applied what the old one committed; then it must hold all of it.
	code, text := 0, ""
	for try := 0; code != 200 && try < 100; try++ {
		if try > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		code, text = call(t, "GET", "http://"+c.http[next]+"/registry/instances", "")
	}
	var l MemberList
	if err := json.Unmarshal([]byte(text), &l); code != 200 || err != nil {
		t.Fatalf("read: %d %s", code, text)
	}
	if l.Revision != 20 || len(l.Members) != 20 {
		t.Fatalf("after the leader: revision %d, %d members", l.Revision, len(l.Members))
	}
	if code, text := call(t, "PUT", "http://"+c.http[next]+"/registry/members/s-3/phase", `{"phase":"draining"}`); code != 200 ||
		!strings.Contains(text, `"revision":21`) {
		t.Fatalf("phase: %d %s", code, text)
	}
	_, text = call(t, "GET", "http://"+c.http[next]+"/metrics", "")
	for _, want := range []string{"hitchvale_registry_revision 21", "hitchvale_registry_members 20", "hitchvale_registry_leader 1",
		`hitchvale_registry_write_seconds_count{result="ok"} 1`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in /metrics", want)
		}
	}
}
