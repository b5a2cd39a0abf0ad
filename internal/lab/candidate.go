package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"hitchvale/internal/lease"
)

// Candidate is one process that wants a duty (`hitchvale lab candidate`): it acquires the lease, then does its
// work and one fenced write at a time to the registry, the resource, for as long as it holds the lease.
type Candidate struct {
	Replicas  []string      // HTTP addresses of the replicas (the lab's proxies to them)
	LeaseName string        // the lease's name
	ID        string        // the candidate's name; each process start holds as ID.PID
	TTL       time.Duration // the lease's TTL
	// Work is the time between the check that the lease is held and the write that relies on it: the gap that a
	// pause can fall into, and that only the fencing token makes harmless.
	WorkTime time.Duration
	Log      string // the file that DutyEvents are appended to, one JSON object a line
}

// LeaseEvent is one line of a candidate's log. Event is granted, accepted (a fenced write the registry took, at
// Revision), refused (a write the registry fenced off), lost (Lost closed) or released (on SIGTERM). At is Unix
// nanoseconds.
type LeaseEvent struct {
	Holder   string `json:"holder"`
	Event    string `json:"event"`
	Token    uint64 `json:"token"`
	Revision int64  `json:"revision,omitempty"`
	At       int64  `json:"at"`
}

// resourceID is the member that the duty's fenced writes register again and again, each raising the revision.
const resourceID = "duty-resource"

// Run holds the duty whenever it can until ctx ends (SIGTERM), then releases it at once so that a successor need
// not wait out the TTL. The error is for a log that cannot be written or a lease refused as malformed.
func (c Candidate) Run(ctx context.Context) error {
	f, err := os.OpenFile(c.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("candidate log: %w", err)
	}
	defer f.Close()
	w := &eventLog{enc: json.NewEncoder(f), holder: c.ID + "." + strconv.Itoa(os.Getpid())}
	lc := &lease.Client{Replicas: c.Replicas, HTTP: &http.Client{Timeout: c.TTL / 2}}
	var last uint64 // the token of the last grant, which the registry may still count as held after Lost
	for ctx.Err() == nil {
		held, err := lc.Acquire(ctx, c.LeaseName, w.holder, c.TTL)
		if errors.Is(err, context.Canceled) {
			// Ended between a lost lease and the next grant: the registry may still have it as ours (renewals
			// failed during a leader change, say), so step down anyway, lest the successor wait out the TTL.
			// A release with a token that is no longer the holder's changes nothing.
			if last != 0 {
				rctx, cancel := context.WithTimeout(context.Background(), c.TTL)
				defer cancel()
				lc.Adopt(c.LeaseName, w.holder, last).Release(rctx)
			}
			return nil
		} else if err != nil {
			return err
		}
		last = held.Token
		if err := w.write("granted", held.Token, 0); err != nil {
			return err
		}
		if err := c.serve(ctx, held, w); err != nil {
			return err
		}
	}
	return nil
}

// serve does the duty's work while held is not lost; it returns once the lease is lost, a write is fenced off, or
// ctx ends (then releasing the lease).
func (c Candidate) serve(ctx context.Context, held *lease.Lease, w *eventLog) error {
	for {
		select {
		case <-ctx.Done():
			rctx, cancel := context.WithTimeout(context.Background(), c.TTL)
			defer cancel()
			held.Release(rctx)
			return w.write("released", held.Token, 0)
		case <-held.Lost:
			return w.write("lost", held.Token, 0)
		default:
		}
		// The lease is not checked again before the write: that is the fence's job. A SIGTERM cuts the work short,
		// so that stepping down does not wait for it.
		select {
		case <-ctx.Done():
			continue
		case <-time.After(c.WorkTime):
		}
		code, rev := c.write(ctx, held.FencingToken())
		switch code {
		case http.StatusOK:
			if err := w.write("accepted", held.Token, rev); err != nil {
				return err
			}
		case http.StatusConflict:
			held.Release(context.Background()) // stops renewing; the registry has it as not held already
			return w.write("refused", held.Token, 0)
		}
	}
}

// write registers the resource member with the fence, at each replica in turn; it gives the status (0 when none
// answered) and the revision of an accepted write.
func (c Candidate) write(ctx context.Context, fence string) (int, int64) {
	body := []byte(`{"member":{"id":"` + resourceID + `","host_port":"127.0.0.1:9","phase":"ready"}}`)
	hc := &http.Client{Timeout: c.TTL / 2}
	for _, addr := range c.Replicas {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/registry/members",
			bytes.NewReader(body))
		if err != nil {
			return 0, 0
		}
		req.Header.Set("X-Fencing-Token", fence)
		resp, err := hc.Do(req)
		if err != nil {
			continue
		}
		var ans struct {
			Revision int64 `json:"revision"`
		}
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			continue
		}
		json.Unmarshal(text, &ans)
		return resp.StatusCode, ans.Revision
	}
	return 0, 0
}

type eventLog struct {
	mu     sync.Mutex
	enc    *json.Encoder
	holder string
}

func (log *eventLog) write(event string, token uint64, rev int64) error {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.enc.Encode(LeaseEvent{Holder: log.holder, Event: event, Token: token, Revision: rev,
		At: time.Now().UnixNano()})
}
