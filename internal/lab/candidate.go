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
	"time"

	"hitchvale/internal/lease"
)

// Candidate is one process that competes for a lease (`hitchvale lab candidate`). While it holds the lease, it repeats
// its work and a fenced write to the registry.
type Candidate struct {
	Replicas  []string // HTTP addresses of the lab's proxies to the replicas
	LeaseName string
	ID        string // the candidate's name; a process holds the lease as ID.PID
	TTL       time.Duration
	// WorkTime is the time between the check that the lease is held and the write that relies on the check. If the process
	// is paused in between, only the fencing token prevents a stale write.
	WorkTime time.Duration
	Log      string // the file to which LeaseEvents are appended, one JSON object a line
}

// resourceID is the member that every fenced write registers again. Each such write raises the registry's revision.
const resourceID = "duty-resource"

// Run holds the lease whenever it can until ctx ends (SIGTERM). Then it releases the lease immediately, so that a
// successor does not have to wait for the TTL. It returns an error if the log cannot be written or the registry rejects
// the lease as malformed.
func (c Candidate) Run(ctx context.Context) error {
	file, err := os.OpenFile(c.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("candidate log: %w", err)
	}
	defer file.Close()
	log := &eventLog{encoder: json.NewEncoder(file), holder: c.ID + "." + strconv.Itoa(os.Getpid())}
	client := &lease.Client{Replicas: c.Replicas, HTTP: &http.Client{Timeout: c.TTL / 2}}
	var lastToken uint64 // of the last grant; the registry may still count that grant as held after Lost
	for ctx.Err() == nil {
		held, err := client.Acquire(ctx, c.LeaseName, log.holder, c.TTL)
		if errors.Is(err, context.Canceled) {
			c.releaseLast(client, log.holder, lastToken)
			return nil
		}
		if err != nil {
			return err
		}
		lastToken = held.Token
		if err := log.write(leaseGranted, held.Token, 0); err != nil {
			return err
		}
		if err := c.serve(ctx, held, log); err != nil {
			return err
		}
	}
	return nil
}

// releaseLast releases the last grant of a candidate that is ended between a lost lease and the next grant. The
// registry may still count that grant as held, for example if renewals failed during a change of the leader, and a
// successor would have to wait for the TTL. A release with a token that is no longer the holder's has no effect.
func (c Candidate) releaseLast(client *lease.Client, holder string, token uint64) {
	if token == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.TTL)
	defer cancel()
	client.ExistingLease(c.LeaseName, holder, token).Release(ctx)
}

// serve does the holder's work until the lease is lost, a write is rejected or ctx ends. When ctx ends it releases the
// lease.
func (c Candidate) serve(ctx context.Context, held *lease.Lease, log *eventLog) error {
	for {
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.Background(), c.TTL)
			defer cancel()
			held.Release(releaseCtx)
			return log.write(leaseReleased, held.Token, 0)
		case <-held.Lost:
			return log.write(leaseLost, held.Token, 0)
		default:
		}
		// The candidate does not check the lease again before the write, because the fencing token must be sufficient.
		// SIGTERM ends the work early, so that the release does not wait for it.
		select {
		case <-ctx.Done():
			continue
		case <-time.After(c.WorkTime):
		}
		status, revision := c.write(ctx, held.FencingToken())
		switch status {
		case http.StatusOK:
			if err := log.write(leaseWriteAccepted, held.Token, revision); err != nil {
				return err
			}
		case http.StatusConflict:
			held.Release(context.Background()) // ends the renewals; the registry has already granted the lease to another holder
			return log.write(leaseWriteRejected, held.Token, 0)
		}
	}
}

// write registers the resource under a fencing token. It tries the replicas in turn until one of them responds with a
// status other than 503. It returns the status, which is 0 if there is no such response, and the revision of an
// accepted write.
func (c Candidate) write(ctx context.Context, token string) (status int, revision int64) {
	client := &http.Client{Timeout: c.TTL / 2}
	for _, addr := range c.Replicas {
		status, revision, err := writeResource(ctx, client, addr, token)
		if errors.Is(err, errBadRequest) {
			return 0, 0
		}
		if err == nil && status != http.StatusServiceUnavailable {
			return status, revision
		}
	}
	return 0, 0
}

// errBadRequest is the error of an address for which no request can be made.
var errBadRequest = errors.New("malformed request")

// writeResource registers the resource at one replica and returns the response's status and revision.
func writeResource(ctx context.Context, client *http.Client, addr, token string) (status int, revision int64,
	err error) {
	body := []byte(`{"member":{"id":"` + resourceID + `","host_port":"127.0.0.1:9","phase":"ready"}}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/registry/members",
		bytes.NewReader(body))
	if err != nil {
		return 0, 0, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	request.Header.Set("X-Fencing-Token", token)
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	var answer struct {
		Revision int64 `json:"revision"`
	}
	json.Unmarshal(text, &answer) // a body that is not JSON leaves the revision 0
	return response.StatusCode, answer.Revision, nil
}
