package discovery

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
	"hitchvale/internal/discovery/discoverytest"
)

// scriptedTransport is an http.RoundTripper that stands for discovery. The function answer computes each answer from
// the number of the call, counted from 0, and its query. If the text is "", the call has no answer.
type scriptedTransport struct {
	mu      sync.Mutex
	queries []string
	answer  func(call int, query string) (delay time.Duration, text string)
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	n := len(s.queries)
	s.queries = append(s.queries, r.URL.RawQuery)
	s.mu.Unlock()
	delay, text := s.answer(n, r.URL.RawQuery)
	if text == "" {
		delay = time.Hour
	}
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(delay):
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// A node must know of a change at most 6 s after the start of a watch that is not answered, or 2 s after the end of the
// watch's wait if that is later. The client must pass the drain in this test to the caller by then, both where lists are
// pushed and where they are polled. A watch whose answer is less than hedgeSlack late is not hedged.
func TestUnansweredWatchIsHedged(t *testing.T) {
	const drained = `{"revision":9,"complete":false,"members":
		[{"id":"s","host_port":"127.0.0.1:1","phase":"draining"}]}`
	first := discoverytest.FormatList(7, true, member("ready"))
	for name, tc := range map[string]struct {
		polled bool
		late   time.Duration // delay of the watch's answer after its wait; 0 means no answer
		within time.Duration // limit for passing on the drain, from the start of the watch
		hedged int           // hedged calls
	}{
		"pushed, no answer": {within: 6 * time.Second, hedged: 1},
		"polled, no answer": {polled: true, within: pollWatchWait + 2*time.Second, hedged: 1},
		"pushed, late":      {late: hedgeSlack - time.Millisecond},
		"polled, late":      {polled: true, late: hedgeSlack - time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig(t, "127.0.0.1:1")
				cfg.Settings.Config.PollDiscovery = tc.polled
				var notified time.Duration
				var start time.Time
				transport := &scriptedTransport{}
				cfg.Transport = transport
				cfg.OnList = func(l List) {
					if len(l.Members) == 1 && l.Members[0].Phase == balance.Draining && notified == 0 {
						notified = time.Since(start)
					}
				}
				c := NewClient(cfg)
				transport.answer = func(call int, query string) (time.Duration, string) {
					switch {
					case call == 0:
						return 0, first
					case call == 1:
						start = time.Now()
						if tc.late > 0 {
							return c.watchWait + tc.late, drained
						}
						return 0, ""
					case strings.HasSuffix(query, "wait_ms=0"):
						return 100 * time.Millisecond, drained
					}
					return 0, ""
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					c.Run(ctx)
					close(done)
				}()
				if tc.polled {
					c.requests <- balance.WatchEndpoints
				}
				time.Sleep(pollWatchWait + 4*time.Second)
				cancel()
				<-done
				hedged := 0
				for _, q := range transport.queries {
					if q == "after=7&wait_ms=0" {
						hedged++
					}
				}
				if notified == 0 || tc.late == 0 && notified > tc.within || hedged != tc.hedged {
					t.Errorf("notified of the drain after %v, want %v at most; %d hedged calls, want %d: %q",
						notified, tc.within, hedged, tc.hedged, transport.queries)
				}
			})
		})
	}
}

// If discovery answers neither the watch nor the hedged call, the two calls return one error together.
func TestUnansweredHedgedCallFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(t, "127.0.0.1:1")
		cfg.Transport = &scriptedTransport{answer: func(int, string) (time.Duration, string) { return 0, "" }}
		cfg.InitialList = List{Revision: 1, Members: []Member{{ID: "s"}}}
		c := NewClient(cfg)
		c.position.listReceived = true
		start := time.Now()
		_, err := c.hedgedGet(t.Context(), "http://127.0.0.1:1/", c.watchRead())
		want := c.watchWait + hedgeSlack + responseSlack
		if spent := time.Since(start); !errors.Is(err, context.DeadlineExceeded) || spent != want {
			t.Errorf("error %v after %v, want %v after %v", err, spent, context.DeadlineExceeded, want)
		}
	})
}

// During an outage the client calls all replicas, backs off, and calls all of them again. When a replica has recovered,
// its list arrives after one backoff at most, and not after one backoff for each replica that is still down.
func TestRecoveredReplicaIsFoundAfterOneBackoff(t *testing.T) {
	for range 20 { // the delays are random
		synctest.Test(t, func(t *testing.T) {
			var notified atomic.Int64 // time of the first list after the replica's recovery, in nanoseconds
			recovery := time.Now().Add(time.Minute)
			replicas := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"}
			cfg := testConfig(t, replicas[0])
			cfg.Replicas = replicas
			cfg.OnList = func(List) { notified.CompareAndSwap(0, int64(time.Since(recovery))) }
			cfg.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
				if time.Now().Before(recovery) || r.URL.Host != replicas[4] {
					return nil, errors.New("refused")
				}
				if r.URL.RawQuery != "" { // a watch without changes
					<-r.Context().Done()
					return nil, r.Context().Err()
				}
				text := discoverytest.FormatList(1, true, member("ready"))
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
			})
			c := NewClient(cfg)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				c.Run(ctx)
				close(done)
			}()
			time.Sleep(time.Minute + 20*time.Second)
			cancel()
			<-done
			most := maxBackoff*3/2 + time.Duration(len(replicas))*minBackoff*3/2
			if took := time.Duration(notified.Load()); took == 0 || took > most {
				t.Errorf("first list %v after the recovery of a replica, want at most %v", took, most)
			}
		})
	}
}
