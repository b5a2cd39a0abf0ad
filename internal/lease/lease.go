// Package lease is the client of the registry's leases (docs/registry.md): a duty that one process holds at a time,
// with a fencing token that every write on the duty's behalf carries (after Chubby's sequencers, and the lease
// section of docs/ROADMAP.md).
package lease

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Client speaks to the registry's replicas, trying each in turn.
type Client struct {
	Replicas []string // HTTP addresses
	HTTP     *http.Client
}

// Held is a lease that this process holds. Lost is closed the moment the holder can no longer prove it holds it:
// renewals have failed for longer than the TTL less Margin, on this process's monotonic clock.
type Lease struct {
	Name, Holder string
	Token        uint64
	TTL          time.Duration
	Lost         <-chan struct{}

	c      *Client
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
}

// Margin is how much before the TTL's end a holder takes its lease as lost: the leader's clock and this one may
// run apart by that much over a TTL before harm can come (a holder's writes are fenced in any case).
const clockMargin = 0.2

// pollLeast is the least wait between two asks of a candidate.
const minPollInterval = 25 * time.Millisecond

type response struct {
	Lease struct {
		Token uint64 `json:"token"`
	} `json:"lease"`
	Error string `json:"error"`
}

// call posts body to path at each replica in turn until one answers other than 503 or fails to connect.
func (c *Client) post(ctx context.Context, path string, body any) (int, response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, response{}, err
	}
	hc := c.HTTP
	if hc == nil {
		hc = &http.Client{Timeout: 2 * time.Second}
	}
	last := errors.New("no replica named")
	for _, addr := range c.Replicas {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(text))
		if err != nil {
			return 0, response{}, err
		}
		resp, err := hc.Do(req)
		if err != nil {
			last = err
			continue
		}
		var a response
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		resp.Body.Close()
		json.Unmarshal(raw, &a)
		if resp.StatusCode == http.StatusServiceUnavailable {
			last = fmt.Errorf("%s: %s", addr, a.Error)
			continue
		}
		return resp.StatusCode, a, nil
	}
	return 0, response{}, last
}

// Acquire asks for the lease until it is granted or ctx ends; a held lease is waited out, asking every 25 to 50 ms
// (at most a quarter of the TTL) with jitter so that candidates do not ask in step, and a released one is taken
// within that.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (*Lease, error) {
	for {
		code, a, err := c.post(ctx, "/registry/leases/"+name+"/acquire", map[string]any{"holder": holder, "ttl_ms": ttl.Milliseconds()})
		switch {
		case err == nil && code == http.StatusOK:
			return c.startRenewal(name, holder, a.Lease.Token, ttl), nil
		case err == nil && code != http.StatusConflict:
			return nil, fmt.Errorf("acquire %s: %d %s", name, code, a.Error)
		}
		wait := min(ttl/4, minPollInterval) + rand.N(minPollInterval)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
}

// keep renews at a third of the TTL until released, and closes Lost when the lease can no longer be proven.
func (c *Client) startRenewal(name, holder string, token uint64, ttl time.Duration) *Lease {
	ctx, cancel := context.WithCancel(context.Background())
	lost := make(chan struct{})
	h := &Lease{Name: name, Holder: holder, Token: token, TTL: ttl, Lost: lost, c: c, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		defer close(lost)
		// The lease is proven until limit after the last ask that the registry answered yes (the grant first).
		limit := time.Duration(float64(ttl) * (1 - clockMargin))
		until := time.Now().Add(limit)
		deadline := time.NewTimer(limit)
		defer deadline.Stop()
		tick := time.NewTicker(ttl / 3)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-deadline.C:
				return // renewals failed for the TTL less the margin
			case <-tick.C:
			}
			asked := time.Now()
			// A renewal that hangs (a registry cut off) must not hold the loss back past the deadline.
			callCtx, stop := context.WithDeadline(ctx, until)
			code, _, err := c.post(callCtx, "/registry/leases/"+name+"/renew", map[string]any{"holder": holder, "token": token})
			stop()
			switch {
			case err == nil && code == http.StatusNoContent:
				until = asked.Add(limit)
				deadline.Reset(time.Until(until))
			case err == nil && code == http.StatusConflict:
				return // the registry says it is gone
			}
		}
	}()
	return h
}

// Fence is the value of X-Fencing-Token for writes on the duty's behalf.
func (h *Lease) FencingToken() string { return h.Name + ":" + strconv.FormatUint(h.Token, 10) }

// Release gives the lease up at once, so that a successor needs no TTL wait (a step-down on SIGTERM), and stops
// renewing. It is safe to call more than once.
func (h *Lease) Release(ctx context.Context) error {
	var err error
	h.once.Do(func() {
		h.cancel()
		<-h.done
		var code int
		var a response
		code, a, err = h.c.post(ctx, "/registry/leases/"+h.Name+"/release", map[string]any{"holder": h.Holder, "token": h.Token})
		if err == nil && code != http.StatusOK && code != http.StatusConflict {
			err = fmt.Errorf("release %s: %d %s", h.Name, code, a.Error)
		}
	})
	return err
}

// Adopt stands for a lease held elsewhere, for Release alone (an operator's step-down); it renews nothing.
func (c *Client) Adopt(name, holder string, token uint64) *Lease {
	done := make(chan struct{})
	close(done)
	return &Lease{Name: name, Holder: holder, Token: token, c: c, cancel: func() {}, done: done}
}
