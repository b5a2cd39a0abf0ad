package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

// outage is discovery as calls meet it: it fails from one time to another, and has a drain to tell of from its end on. A
// watch that is open when it begins fails with it.
type outage struct {
	from, until time.Time
	fault       string // silent: what is asked meanwhile is never answered; refused, busy
}

func (o *outage) RoundTrip(r *http.Request) (*http.Response, error) {
	const slow = 100 * time.Millisecond
	sleep(r.Context(), slow)
	open := time.Now().Before(o.from)
	down := func() bool { now := time.Now(); return !now.Before(o.from) && (open || now.Before(o.until)) }
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); time.Now().Before(end) && !down() && time.Now().Before(o.until); {
		next := o.until
		if open {
			next = o.from
		}
		sleep(r.Context(), min(time.Until(end), time.Until(next)))
	}
	switch {
	case r.Context().Err() != nil:
		return nil, r.Context().Err()
	case down() && o.fault == "silent":
		<-r.Context().Done()
		return nil, r.Context().Err()
	case down() && o.fault == "refused":
		return nil, errors.New("refused")
	case down():
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	revision, phase := 7, "ready"
	if !time.Now().Before(o.until) {
		revision, phase = 8, "draining"
	}
	text := listText(revision, r.URL.RawQuery == "", listed{"s", "127.0.0.1:1", phase, 0})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// A change counts as told 6 s after discovery had it and could be reached, however long it was away, whatever became of
// calls meanwhile and however large the fleet: the module's pauses and the client's patience together have to hold that.
func TestAChangeIsHeardSoonAfterAnOutage(t *testing.T) {
	for _, fault := range []string{"silent", "refused", "busy"} {
		for _, asks := range []bool{true, false} {
			for _, instances := range []int{1, 300} {
				t.Run(fmt.Sprintf("%s,asks=%v,nodes=%d", fault, asks, instances), func(t *testing.T) {
					for seed := range uint64(4) {
						for _, lasts := range []time.Duration{0, 4 * time.Second, 11 * time.Second, 63 * time.Second} {
							synctest.Test(t, func(t *testing.T) { hearAfter(t, fault, asks, instances, seed, lasts) })
						}
					}
				})
			}
		}
	}
}

func hearAfter(t *testing.T, fault string, asks bool, instances int, seed uint64, lasts time.Duration) {
	names, err := siteconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	names.Config.PollDiscovery, names.Config.Instances = asks, instances
	names.Config.Rules.PollInterval = 10 * time.Second
	bal, err := balance.New(names.Config, seed)
	if err != nil {
		t.Fatal(err)
	}
	l := newEventLoop(bal, newUpstreamTransport(newConnPool(1, 0, 0), false, new(atomic.Int64), quiet()), newFigures(nil), quiet())
	var heard atomic.Int64
	from := time.Now().Add(10*time.Second + time.Duration(seed)*300*time.Millisecond)
	o := &outage{from: from, until: from.Add(lasts), fault: fault}
	d := newDiscovery("127.0.0.1:1", nil, names, quiet(), func(list List) {
		if list.Members[0].Phase == balance.Draining {
			heard.CompareAndSwap(0, int64(time.Since(o.until)))
		}
		l.post(endpointListReceived{kind: balance.ListChanges, list: list})
	}, func() { l.post(discoveryFailed{}) })
	d.http = &http.Client{Transport: o}
	l.requestDiscovery = d.ask
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	go func() { l.run(ctx.Done()); ended <- struct{}{} }()
	go func() { d.run(ctx); ended <- struct{}{} }()
	l.post(endpointListReceived{kind: balance.CachedList, list: List{Complete: true}})
	time.Sleep(time.Until(o.until) + 30*time.Second)
	cancel()
	<-ended
	<-ended
	if took := time.Duration(heard.Load()); took == 0 || took > 6*time.Second {
		t.Errorf("seed %d, away for %v: heard %v after", seed, lasts, took)
	}
}

// Where discovery moves while no call is under way, since the last one failed and the module waits, it is asked at the new
// address at once, for the whole list: the lists may be numbered in another way there.
func TestMoveBetweenCalls(t *testing.T) {
	for _, asks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			names, err := siteconfig.Parse([]byte(testSettings))
			if err != nil {
				t.Fatal(err)
			}
			names.Config.PollDiscovery = asks
			lost, calls := make(chan struct{}, 64), make(chan string, 64)
			d := newDiscovery("127.0.0.1:1", nil, names, quiet(), func(List) {}, func() { lost <- struct{}{} })
			d.have, d.after = true, 90
			d.http = &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
				if r.URL.Host == "127.0.0.1:1" {
					return nil, errors.New("refused")
				}
				calls <- r.URL.RawQuery
				<-r.Context().Done()
				return nil, r.Context().Err()
			})}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { d.run(ctx); close(ended) }()
			if asks {
				d.ask(balance.WatchEndpoints)
			}
			<-lost
			synctest.Wait()
			d.move("127.0.0.1:2")
			moved := time.Now()
			if query := <-calls; query != "" || time.Since(moved) > 0 {
				t.Errorf("asks=%v: asked for %q after %v", asks, query, time.Since(moved))
			}
			cancel()
			<-ended
		})
	}
}
