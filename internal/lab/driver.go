package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Outcome is what the driver saw of one request.
type Outcome struct {
	Trace  string `json:"trace"`
	Node   int    `json:"node"`
	Class  string `json:"class"`
	Sent   int64  `json:"sent_ns"` // Unix time in nanoseconds
	Done   int64  `json:"done_ns"`
	Status int    `json:"status"` // 0: no answer
	Kind   string `json:"kind"`   // served, refused, failed, broken (the connection ended with no answer), none (no answer in time)
	Error  string `json:"error,omitempty"`
}

// answerGrace is how long after its deadline the driver still waits for a final answer (FLEET: half a second).
const answerGrace = 500 * time.Millisecond

// maxInFlight bounds the driver's requests under way; a request that finds it full is not sent and is counted.
const maxInFlight = 2048

// Driver sends the scenario's load to the nodes through their client proxies, at the scenario's rate, and
// records every outcome. It is bounded in count and time.
type Driver struct {
	Load    Load
	Targets []string // host:port of each node's client proxy
	Seed    uint64
	Stop    <-chan struct{} // closed to have no more sent; nil: never

	mu       sync.Mutex
	outcomes []Outcome
	unsent   int
}

// Run sends until the count or the duration is reached, or ctx ends, then waits for the answers under way.
func (d *Driver) Run(ctx context.Context, duration time.Duration) {
	rng := rand.New(rand.NewPCG(d.Seed, 3))
	clients := make([]*http.Client, len(d.Targets))
	for i := range clients {
		tr := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: 2 * time.Second,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
		defer tr.CloseIdleConnections()
		clients[i] = &http.Client{Transport: tr, Timeout: d.Load.Deadline.Duration + answerGrace}
	}
	sem := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	every := time.Duration(float64(time.Second) / d.Load.Rate)
	start := time.Now()
	for i := 0; i < d.Load.Count; i++ {
		next := start.Add(time.Duration(i) * every)
		if next.Sub(start) >= duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-d.Stop:
			return
		case <-time.After(time.Until(next)):
		}
		node := rng.IntN(len(d.Targets))
		class, method := "read", http.MethodGet
		if rng.Float64() < d.Load.Unsafe {
			class, method = "claim", http.MethodPost
		}
		trace := fmt.Sprintf("%016x", rng.Uint64())
		select {
		case sem <- struct{}{}:
		default:
			d.mu.Lock()
			d.unsent++
			d.mu.Unlock()
			continue
		}
		wg.Go(func() {
			defer func() { <-sem }()
			d.record(d.send(ctx, clients[node], node, class, method, trace))
		})
	}
}

func (d *Driver) send(ctx context.Context, c *http.Client, node int, class, method, trace string) Outcome {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(`{"claim":"` + trace + `"}`)
	}
	o := Outcome{Trace: trace, Node: node, Class: class, Sent: time.Now().UnixNano()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Targets[node]+"/api", body)
	if err != nil {
		o.Kind, o.Error = "broken", err.Error()
		return o
	}
	req.Header.Set("X-Trace-Id", trace)
	req.Header.Set("X-Qos", class)
	req.Header.Set("X-Expires-In", fmt.Sprintf("%.3f", d.Load.Deadline.Seconds()))
	resp, err := c.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		o.Status = resp.StatusCode
	}
	o.Done = time.Now().UnixNano()
	var timeout interface{ Timeout() bool }
	switch {
	case err != nil && errors.As(err, &timeout) && timeout.Timeout():
		o.Kind, o.Error, o.Status = "none", err.Error(), 0
	case err != nil:
		o.Kind, o.Error, o.Status = "broken", err.Error(), 0
	case o.Status == http.StatusOK:
		o.Kind = "served"
	case o.Status == http.StatusTooManyRequests || o.Status == http.StatusServiceUnavailable:
		o.Kind = "refused"
	default:
		o.Kind = "failed"
	}
	return o
}

func (d *Driver) record(o Outcome) {
	d.mu.Lock()
	d.outcomes = append(d.outcomes, o)
	d.mu.Unlock()
}

// Outcomes gives what was recorded, and how many requests found the driver full.
func (d *Driver) Outcomes() ([]Outcome, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Outcome(nil), d.outcomes...), d.unsent
}
