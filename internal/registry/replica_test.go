package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A replica that shuts down answers the calls in flight, so that a writer knows whether its write was applied.
// docs/incidents/2026-12-03-upgrade.md describes the failure that this test guards against.
func TestShutdownAnswersCallsInFlight(t *testing.T) {
	c := newCluster(t, 1)
	r := c.replicas[0]
	waitUntil(t, "the leader serves reads", func() bool { return r.IsLeader() && r.canServeReads() })
	var revision int64
	r.fsm.read(func(s *State) { revision = s.Revision })
	watchResult := make(chan error, 1)
	go func() {
		resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?after=%d&wait_ms=60000", c.http[0], revision))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		watchResult <- err
	}()
	waitUntil(t, "the watch is open", func() bool { return r.openWatches.Load() > 0 })
	c.stop(0)
	if err := <-watchResult; err != nil {
		t.Errorf("the shutdown interrupted the watch: %v", err)
	}
}

// A follower forwards writes to the leader, and the writes are acknowledged after they have been applied. After the
// leader has stopped, the next leader has every acknowledged write and continues with the next revision. Malformed
// writes change nothing.
func TestAcknowledgedWritesSurviveStopOfLeader(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader(t)
	follower := c.http[(lead+1)%3]
	waitUntil(t, "the follower knows the leader", func() bool { return c.replicas[(lead+1)%3].leaderHTTPAddr() != "" })
	for i := range 20 {
		body := fmt.Sprintf(`{"member":{"id":"s-%d","host_port":"127.0.0.1:%d","size":1}}`, i, 9000+i)
		if code, text := call(t, "POST", "http://"+follower+"/registry/members", body); code != 200 {
			t.Fatalf("write %d: %d %s, want 200", i, code, text)
		}
	}
	for _, malformed := range []string{`{"member":{"host_port":"127.0.0.1:1"}}`, `{"member":{"id":"x","host_port":"nowhere"}}`,
		`{"member":`, `{"member":{"id":"x","host_port":"127.0.0.1:1","phase":"asleep"}}`, `{"membr":{}}`} {
		if code, text := call(t, "POST", "http://"+follower+"/registry/members", malformed); code != 400 {
			t.Fatalf("malformed write %s: %d %s, want 400", malformed, code, text)
		}
	}
	c.stop(lead)
	next := c.leader(t)
	// The new leader responds with 503 until it has applied every entry that the old leader committed.
	code, text := 0, ""
	for try := 0; code != 200 && try < 100; try++ {
		if try > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		code, text = call(t, "GET", "http://"+c.http[next]+"/registry/instances", "")
	}
	var l MemberList
	if err := json.Unmarshal([]byte(text), &l); code != 200 || err != nil {
		t.Fatalf("read from the new leader: %d %s, want 200 and a list", code, text)
	}
	if l.Revision != 20 || len(l.Members) != 20 {
		t.Fatalf("list from the new leader: revision %d, %d members, want 20 and 20", l.Revision, len(l.Members))
	}
	code, text = call(t, "PUT", "http://"+c.http[next]+"/registry/members/s-3/phase", `{"phase":"draining"}`)
	if code != 200 || !strings.Contains(text, `"revision":21`) {
		t.Fatalf("set the phase on the new leader: %d %s, want 200 and revision 21", code, text)
	}
	_, text = call(t, "GET", "http://"+c.http[next]+"/metrics", "")
	for _, want := range []string{
		"hitchvale_registry_revision 21",
		"hitchvale_registry_members 20",
		"hitchvale_registry_leader 1",
		`hitchvale_registry_write_seconds_count{result="ok"} 1`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("/metrics lacks the line %s", want)
		}
	}
}
