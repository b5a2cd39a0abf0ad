package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

// scripted is discovery as a function of each call's number and query; an answer "" is none, until the caller goes.
type scripted struct {
	mu     sync.Mutex
	asked  []string
	answer func(call int, query string) (after time.Duration, text string)
}

func (s *scripted) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	n := len(s.asked)
	s.asked = append(s.asked, r.URL.RawQuery)
	s.mu.Unlock()
	after, text := s.answer(n, r.URL.RawQuery)
	if text == "" {
		after = time.Hour
	}
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(after):
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// What a silent watch misses counts as told 6 s after the silence began, or 2 s after the end of its wait if that is
// later; the drain below is one. The node must have heard of it by then, whichever way lists come. A watch that is only
// late has no second call beside it.
func TestSilentWatchIsHedged(t *testing.T) {
	const drained = `{"revision":9,"complete":false,"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"draining"}]}`
	first := listText(7, true, listed{"s", "127.0.0.1:1", "ready", 0})
	for name, tc := range map[string]struct {
		asks   bool          // lists come when they are asked for
		late   time.Duration // of the watch's answer, past its wait; 0: never
		told   time.Duration // from the watch's start, when its silence began
		beside int           // calls beside the watch
	}{
		"pushed, silent": {told: 6 * time.Second, beside: 1},
		"asked, silent":  {asks: true, told: pollWatchWait + 2*time.Second, beside: 1},
		"pushed, late":   {late: silenceTimeout - time.Millisecond},
		"asked, late":    {asks: true, late: silenceTimeout - time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				names, err := siteconfig.Parse([]byte(testSettings))
				if err != nil {
					t.Fatal(err)
				}
				names.Config.PollDiscovery = tc.asks
				var heard time.Duration
				var start time.Time
				d := NewClient("127.0.0.1:1", nil, names, quiet(), func(l List) {
					if len(l.Members) == 1 && l.Members[0].Phase == balance.Draining && heard == 0 {
						heard = time.Since(start)
					}
				}, func() {})
				disco := &scripted{}
				disco.answer = func(call int, query string) (time.Duration, string) {
					switch {
					case call == 0:
						return 0, first
					case call == 1:
						start = time.Now()
						if tc.late > 0 {
							return d.watchWait + tc.late, drained
						}
						return 0, ""
					case strings.HasSuffix(query, "wait_ms=0"):
						return 100 * time.Millisecond, drained
					}
					return 0, ""
				}
				d.httpClient = &http.Client{Transport: disco}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { d.Run(ctx); close(done) }()
				if tc.asks {
					d.requests <- balance.WatchEndpoints
				}
				time.Sleep(pollWatchWait + 4*time.Second)
				cancel()
				<-done
				beside := 0
				for _, q := range disco.asked {
					if q == "after=7&wait_ms=0" {
						beside++
					}
				}
				if heard == 0 || tc.late == 0 && heard > tc.told || beside != tc.beside {
					t.Errorf("heard of the drain after %v, want %v at most; %d calls beside the watch, want %d: %q",
						heard, tc.told, beside, tc.beside, disco.asked)
				}
			})
		})
	}
}

// A discovery that is silent altogether is lost, and said to be, once for the watch and the call beside it.
func TestSilentDiscoveryIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names, _ := siteconfig.Parse([]byte(testSettings))
		d := NewClient("127.0.0.1:1", nil, names, quiet(), func(List) {}, func() {})
		d.httpClient = &http.Client{Transport: &scripted{answer: func(int, string) (time.Duration, string) { return 0, "" }}}
		start := time.Now()
		const url = "http://127.0.0.1:1/?after=1&wait_ms="
		_, err := d.hedgedGet(t.Context(), url+"2000", url+"0", d.watchWait+silenceTimeout, d.watchWait+responseSlack)
		if spent := time.Since(start); !errors.Is(err, context.DeadlineExceeded) || spent != d.watchWait+silenceTimeout+responseSlack {
			t.Errorf("%v after %v", err, spent)
		}
	})
}

// A list that is pushed counts as told from the first moment of a new process: it is not ready on the one that it was
// started with, but once it has read what the agent has, which it asks for without waiting. An agent that does not answer
// keeps it away for a while only.
func TestNewProcessReadsThePushedListFirst(t *testing.T) {
	known := listText(1, true, listed{"s", "127.0.0.1:9", "ready", 0})
	for _, answers := range []bool{true, false} {
		release, asked := make(chan struct{}), make(chan string, 64)
		b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string {
			asked <- r.URL.RawQuery
			<-release
			return ok200(listText(2, false, listed{"s", "127.0.0.1:9", "draining", 0}, listed{"u", "127.0.0.1:9", "ready", 0}))
		}))
		n, err := New(testConfig(t, b.Addr().String(), known), quiet())
		if err != nil {
			t.Fatal(err)
		}
		if n.firstList = time.Hour; !answers {
			n.firstList = time.Millisecond
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { n.Run(ctx); close(done) }()
		if first := receive(t, "the first call", asked); first != "after=1&wait_ms=0" {
			t.Errorf("the first call asks for %q", first)
		}
		if n.loop.ready.Load() && answers {
			t.Error("ready before the agent's list was read")
		}
		if answers {
			close(release)
		}
		eventually(t, "readiness", n.loop.ready.Load)
		if !answers {
			close(release)
		}
		cancel()
		<-done
	}
}

// Through a long outage a node asks all replicas, waits, and asks all again: once one is back the node has its list after
// one such wait at the most, and not after one for each replica that is still down.
func TestReplicaThatIsBackIsFoundAfterOneWait(t *testing.T) {
	for range 20 { // waits are drawn
		synctest.Test(t, func(t *testing.T) {
			names, err := siteconfig.Parse([]byte(testSettings))
			if err != nil {
				t.Fatal(err)
			}
			var heard atomic.Int64 // since the replica is back, in nanoseconds
			back := time.Now().Add(time.Minute)
			replicas := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"}
			d := NewClient(replicas[0], replicas, names, quiet(), func(List) { heard.CompareAndSwap(0, int64(time.Since(back))) }, func() {})
			d.httpClient = &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
				if time.Now().Before(back) || r.URL.Host != replicas[4] {
					return nil, errors.New("refused")
				}
				if r.URL.RawQuery != "" { // a watch: nothing is new
					<-r.Context().Done()
					return nil, r.Context().Err()
				}
				text := listText(1, true, listed{"s", "127.0.0.1:1", "ready", 0})
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
			})}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { d.Run(ctx); close(done) }()
			time.Sleep(time.Minute + 20*time.Second)
			cancel()
			<-done
			if took := time.Duration(heard.Load()); took == 0 || took > maxBackoff*3/2+time.Duration(len(replicas))*minBackoff*3/2 {
				t.Errorf("heard %v after a replica was back", took)
			}
		})
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
