package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/discovery/discoverytest"
)

// The client reads the complete list, then watches for changes and continues from the revision of each change.
func TestReadsCompleteListAndWatches(t *testing.T) {
	started := member("ready")
	started.UpSinceMillis = 1700000000000
	server := discoverytest.NewServer(t, discoverytest.FormatList(41, true, started))
	lists, _ := startClient(t, server.Addr, nil)
	l := receive(t, "the complete list", lists)
	if !l.Complete || l.Revision != 41 || len(l.Members) != 1 || l.Members[0].Zone != 0 ||
		l.Members[0].StartedAt != 1700000000000*time.Millisecond {
		t.Fatalf("got %+v, want the complete list of revision 41", l)
	}
	server.Changes <- discoverytest.FormatList(43, false, member("draining"))
	l = awaitList(t, "the change", lists, func(l List) bool { return len(l.Members) > 0 })
	if l.Complete || l.Members[0].Phase != balance.Draining {
		t.Fatalf("got %+v, want a change to draining", l)
	}
	resumed := func(query string) bool { return strings.HasPrefix(query, "after=43&wait_ms=") }
	eventually(t, "a watch from the revision of the change", func() bool {
		return slices.ContainsFunc(server.Queries(), resumed)
	})
}

// ParseList accepts white space between JSON tokens.
func TestParseIndentedList(t *testing.T) {
	started := member("ready")
	started.UpSinceMillis = 5
	text := discoverytest.FormatList(41, true, started)
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(text), "\r\n", "\t"); err != nil {
		t.Fatal(err)
	}
	l, err := ParseList(indented.Bytes(), testConfig(t, "").Settings)
	if err != nil || l.Revision != 41 || !l.Complete || len(l.Members) != 1 ||
		l.Members[0].StartedAt != 5*time.Millisecond {
		t.Fatalf("got %+v, error %v", l, err)
	}
}

// A malformed list is not passed to the caller, and the client reads the complete list again.
func TestMalformedListIsDropped(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":      `{"revision":2,`,
		"no revision":   `{"complete":false,"members":[]}`,
		"no id":         `{"revision":2,"members":[{"host_port":"127.0.0.1:1","phase":"ready"}]}`,
		"unknown phase": `{"revision":2,"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"asleep"}]}`,
		"no address":    `{"revision":2,"members":[{"id":"s","host_port":"here","phase":"ready"}]}`,
		"negative up_since_ms": `{"revision":2,"members":
			[{"id":"s","host_port":"127.0.0.1:1","phase":"ready","up_since_ms":-5}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := discoverytest.NewServer(t, discoverytest.FormatList(1, true, member("ready")))
			lists, failures := startClient(t, server.Addr, nil)
			receive(t, "the first list", lists)
			server.Changes <- text
			l := awaitList(t, "the complete list again", lists, func(l List) bool { return l.Complete })
			if failures.Load() == 0 || l.Revision != 1 || len(l.Members) != 1 {
				t.Errorf("got %+v after %d failed calls, want revision 1 with 1 member after at least 1", l, failures.Load())
			}
		})
	}
}

// The client receives the list after a call without an answer, a reset connection and a call that was rejected.
func TestRecoversAfterFailedCalls(t *testing.T) {
	var calls atomic.Int64
	text := discoverytest.FormatList(7, true, member("ready"))
	addr := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			switch calls.Add(1) {
			case 1: // no answer
				br.ReadByte()
				return
			case 2:
				reset(c)
				return
			case 3:
				c.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
			default:
				c.Write([]byte(ok200(text)))
			}
		}
	})
	lists, failures := startClient(t, addr, func(c *Client) { c.fullListTimeout = time.Second })
	if l := receive(t, "the list", lists); l.Revision != 7 || failures.Load() != 3 {
		t.Errorf("got %+v after %d failed calls, want revision 7 after 3", l, failures.Load())
	}
}

// If the time between two calls exceeds maxWatchGap, changes may have been missed, so the complete list is read again.
func TestLateWatchReadsTheCompleteList(t *testing.T) {
	server := discoverytest.NewServer(t, discoverytest.FormatList(1, true))
	var firstList atomic.Bool
	firstList.Store(true)
	startClient(t, server.Addr, func(c *Client) {
		c.onList = func(List) {
			if firstList.Swap(false) {
				time.Sleep(2 * maxWatchGap)
			}
		}
	})
	eventually(t, "two complete lists before the first watch", func() bool {
		calls := server.Queries()
		return len(calls) > 2 && calls[0] == "" && calls[1] == "" && calls[2] != ""
	})
}

// Where lists are polled, the client makes a call only after a request.
func TestPollingCallsOnRequestOnly(t *testing.T) {
	server := discoverytest.NewServer(t, discoverytest.FormatList(1, true, member("ready")))
	requests := make(chan balance.ActionKind, 16)
	lists, _ := startClient(t, server.Addr, func(c *Client) { c.requests = requests })
	select {
	case <-lists:
		t.Fatal("the client made a call without a request")
	case <-time.After(50 * time.Millisecond):
	}
	requests <- balance.FetchEndpoints
	receive(t, "the list", lists)
	if calls := server.Queries(); len(calls) != 1 || calls[0] != "" {
		t.Fatalf("the client made calls with the queries %q, want one call for the complete list", calls)
	}
	requests <- balance.WatchEndpoints
	eventually(t, "a watch", func() bool { return len(server.Queries()) > 2 })
}

// When the address of discovery changes, the client reads the complete list at the new address immediately, even if a
// call is open at the old address. It then watches at the new address and makes no more calls to the old address.
func TestAddressChangeDuringCall(t *testing.T) {
	for _, polled := range []bool{false, true} {
		before := discoverytest.NewServer(t, discoverytest.FormatList(90, true, member("ready")))
		movedMember := discoverytest.Member{ID: "s", Address: "127.0.0.1:2", Phase: "ready"}
		after := discoverytest.NewServer(t, discoverytest.FormatList(3, true, movedMember))
		var c *Client
		lists, failures := startClient(t, before.Addr, func(client *Client) {
			c = client
			if polled {
				client.requests = make(chan balance.ActionKind, 16)
				client.requests <- balance.WatchEndpoints
			}
		})
		receive(t, "the first list", lists)
		eventually(t, "a watch", func() bool { return len(before.Queries()) > 1 })
		c.SetAddress(after.Addr)
		l := awaitList(t, "the list at the new address", lists, func(l List) bool { return l.Complete })
		if l.Revision != 3 || l.Members[0].Address != "127.0.0.1:2" {
			t.Errorf("got %+v, want revision 3 with the member's new address", l)
		}
		calls := len(before.Queries())
		movedMember.Phase = "draining"
		after.Changes <- discoverytest.FormatList(4, false, movedMember)
		awaitList(t, "a change at the new address", lists, func(l List) bool { return l.Revision == 4 })
		if n := len(before.Queries()); n != calls || failures.Load() != 0 {
			t.Errorf("%d more calls to the old address, %d calls failed; want none", n-calls, failures.Load())
		}
	}
}

// The client does not abandon a call that waits 1.5 s in discovery's queue. Discovery would serve the abandoned call
// anyway, and a new call would wait behind it.
func TestQueuedCallIsNotAbandoned(t *testing.T) {
	var calls atomic.Int64
	text := discoverytest.FormatList(7, true, member("ready"))
	addr := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if calls.Add(1) == 1 {
				time.Sleep(1500 * time.Millisecond)
			}
			c.Write([]byte(ok200(text)))
		}
	})
	lists, failures := startClient(t, addr, nil)
	if receive(t, "the list", lists); failures.Load() != 0 {
		t.Errorf("%d calls were abandoned", failures.Load())
	}
}

// With replicas, the client calls the next replica after a failed call and continues the watch from the revision held.
// It rejects the list of a lagging replica that has a lower revision.
func TestReplicaFailoverRejectsOlderList(t *testing.T) {
	first := discoverytest.NewServer(t, discoverytest.FormatList(41, true, member("ready")))
	lagging := discoverytest.NewServer(t, discoverytest.FormatList(30, true))
	lagging.Changes <- discoverytest.FormatList(30, false)
	lagging.Changes <- discoverytest.FormatList(44, false, member("draining"))
	lists, failures := startClient(t, first.Addr, func(c *Client) { c.replicas = []string{first.Addr, lagging.Addr} })
	if l := receive(t, "the complete list", lists); l.Revision != 41 {
		t.Fatalf("got %+v, want revision 41", l)
	}
	first.Server.Close()
	l := awaitList(t, "the change at the other replica", lists, func(l List) bool {
		if l.Revision < 41 {
			t.Fatalf("revision went back to %d", l.Revision)
		}
		return len(l.Members) > 0
	})
	if l.Revision != 44 || l.Members[0].Phase != balance.Draining {
		t.Fatalf("got %+v, want the change to draining of revision 44", l)
	}
	if failures.Load() < 2 {
		t.Fatalf("%d failed calls, want one at the closed replica and one for the lagging answer", failures.Load())
	}
	if queries := lagging.Queries(); len(queries) == 0 || !strings.HasPrefix(queries[0], "after=41&") {
		t.Fatalf("the other replica was called with %q", queries)
	}
}
