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
	"hitchvale/internal/discovery"
	"hitchvale/internal/siteconfig"
)

// discoveryOutage is a discovery service that fails from one time until another. From the end of the outage on, it
// lists its backend as draining. A watch that is open when the outage begins fails too.
type discoveryOutage struct {
	from, until time.Time
	fault       string // "silent": calls are not answered; "refused": calls fail; "busy": the status is 503
}

func (o *discoveryOutage) RoundTrip(r *http.Request) (*http.Response, error) {
	const latency = 100 * time.Millisecond
	sleep(r.Context(), latency)
	openBefore := time.Now().Before(o.from) // the call arrived before the outage
	fails := func() bool { now := time.Now(); return !now.Before(o.from) && (openBefore || now.Before(o.until)) }
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for time.Now().Before(end) && !fails() && time.Now().Before(o.until) {
		next := o.until
		if openBefore {
			next = o.from
		}
		sleep(r.Context(), min(time.Until(end), time.Until(next)))
	}
	switch {
	case r.Context().Err() != nil:
		return nil, r.Context().Err()
	case fails() && o.fault == "silent":
		<-r.Context().Done()
		return nil, r.Context().Err()
	case fails() && o.fault == "refused":
		return nil, errors.New("refused")
	case fails():
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	revision, phase := 7, "ready"
	if !time.Now().Before(o.until) {
		revision, phase = 8, "draining"
	}
	text := formatList(revision, r.URL.RawQuery == "", listEntry{"s", "127.0.0.1:1", phase, 0})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// A node learns of a change at most 6 s after the discovery service has the change and can be reached again. This holds
// for every length and kind of outage and for every size of the fleet. The Balancer's backoff and the timeouts of the
// discovery client together must keep this limit.
func TestEndpointChangeArrivesSoonAfterOutage(t *testing.T) {
	for _, fault := range []string{"silent", "refused", "busy"} {
		for _, polled := range []bool{true, false} {
			for _, instances := range []int{1, 300} {
				t.Run(fmt.Sprintf("%s,polled=%v,nodes=%d", fault, polled, instances), func(t *testing.T) {
					for seed := range uint64(4) {
						for _, length := range []time.Duration{0, 4 * time.Second, 11 * time.Second, 63 * time.Second} {
							synctest.Test(t, func(t *testing.T) {
								testListAfterOutage(t, fault, polled, instances, seed, length)
							})
						}
					}
				})
			}
		}
	}
}

// testListAfterOutage checks that a node learns of a change within 6 s of the end of an outage of the given length.
func testListAfterOutage(t *testing.T, fault string, polled bool, instances int, seed uint64, length time.Duration) {
	settings, err := siteconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	settings.Config.PollDiscovery, settings.Config.Instances = polled, instances
	settings.Config.Rules.PollInterval = 10 * time.Second
	balancer, err := balance.New(settings.Config, seed)
	if err != nil {
		t.Fatal(err)
	}
	pool := newBackendPool(1, balance.Limits{}, new(closeCounters))
	l := newEventLoop(balancer, newUpstreamTransport(pool, false, new(atomic.Int64), nopLog()), newCounters(nil), nopLog())
	var receivedAfter atomic.Int64 // time from the end of the outage to the list with the change
	from := time.Now().Add(10*time.Second + time.Duration(seed)*300*time.Millisecond)
	service := &discoveryOutage{from: from, until: from.Add(length), fault: fault}
	client := discovery.NewClient(discovery.Config{
		Address:   "127.0.0.1:1",
		Settings:  settings,
		Transport: service,
		Log:       nopLog(),
		OnList: func(list discovery.List) {
			if list.Members[0].Phase == balance.Draining {
				receivedAfter.CompareAndSwap(0, int64(time.Since(service.until)))
			}
			l.post(endpointListReceived{kind: balance.ListChanges, list: list})
		},
		OnFailure: func() { l.post(discoveryFailed{}) },
	})
	l.requestDiscovery = client.Request
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	go func() { l.run(ctx.Done()); ended <- struct{}{} }()
	go func() { client.Run(ctx); ended <- struct{}{} }()
	l.post(endpointListReceived{kind: balance.CachedList, list: discovery.List{Complete: true}})
	time.Sleep(time.Until(service.until) + 30*time.Second)
	cancel()
	<-ended
	<-ended
	if took := time.Duration(receivedAfter.Load()); took == 0 || took > 6*time.Second {
		t.Errorf("seed %d, outage of %v: change received %v after its end, want at most 6s", seed, length, took)
	}
}
