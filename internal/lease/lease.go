// Package lease is the client of the registry's leases, which docs/registry.md describes. At most one process holds a
// lease at a time. The holder sends the lease's fencing token with every write that it makes under the lease, like a
// sequencer in Chubby.
package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// clockMarginFraction is the fraction of the TTL by which the holder considers its lease lost before the TTL ends.
	// The clocks of the leader and of this process may drift apart by this much within a TTL. Writes are protected by
	// the fencing token in any case.
	clockMarginFraction = 0.2

	// renewalsPerTTL is the number of times that a lease is renewed within its TTL.
	renewalsPerTTL = 3

	// A candidate polls for a lease that is held by another process. The interval is the smaller of maxPollInterval and
	// the TTL divided by pollsPerTTL, plus a random time of up to pollJitter, so that candidates do not poll at the
	// same time.
	maxPollInterval = 25 * time.Millisecond
	pollsPerTTL     = 4
	pollJitter      = 25 * time.Millisecond
)

// Lease is a lease that this process holds. Its methods are safe for concurrent use.
type Lease struct {
	Name   string
	Holder string
	Token  uint64 // the fencing token of the grant
	TTL    time.Duration
	// Lost is closed when this process can no longer be sure that it holds the lease. This is the case when the
	// registry reports that the lease is lost, or when the last successful renewal was sent longer ago than the TTL
	// minus the clock margin. Release also closes Lost.
	Lost <-chan struct{}

	client       *Client
	stopRenewing context.CancelFunc
	stopped      chan struct{} // closed when the renewals have stopped
	releaseOnce  sync.Once
}

// Acquire polls for the lease until the registry grants it, and then renews it in the background until Release or until
// the lease is lost. While the lease is held by another process or the registry cannot be reached, Acquire continues to
// poll. It fails if ctx ends or if the registry rejects the call for any other reason.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (*Lease, error) {
	request := acquireRequest{Holder: holder, TTLms: ttl.Milliseconds()}
	for {
		status, answer, err := c.post(ctx, leasePath(name, "acquire"), request)
		switch {
		case err == nil && status == http.StatusOK:
			return c.startRenewal(name, holder, answer.Lease.Token, ttl), nil
		case err == nil && status != http.StatusConflict:
			return nil, fmt.Errorf("acquire lease %s: status %d: %s", name, status, answer.Error)
		}
		wait := min(ttl/pollsPerTTL, maxPollInterval) + rand.N(pollJitter)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
}

// startRenewal returns a lease that has just been granted, and starts the goroutine that renews it.
func (c *Client) startRenewal(name, holder string, token uint64, ttl time.Duration) *Lease {
	ctx, cancel := context.WithCancel(context.Background())
	lost := make(chan struct{})
	l := &Lease{
		Name:         name,
		Holder:       holder,
		Token:        token,
		TTL:          ttl,
		Lost:         lost,
		client:       c,
		stopRenewing: cancel,
		stopped:      make(chan struct{}),
	}
	go func() {
		defer close(l.stopped)
		defer close(lost)
		l.renewUntilLost(ctx)
	}()
	return l
}

// renewUntilLost renews the lease until ctx ends or the lease is lost. The lease counts as lost when the registry
// reports it lost, or when validFor has passed since the last successful renewal was sent.
func (l *Lease) renewUntilLost(ctx context.Context) {
	validFor := time.Duration(float64(l.TTL) * (1 - clockMarginFraction))
	validUntil := time.Now().Add(validFor)
	expiry := time.NewTimer(validFor)
	defer expiry.Stop()
	ticker := time.NewTicker(l.TTL / renewalsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			return
		case <-ticker.C:
		}
		sent := time.Now()
		status, err := l.renew(ctx, validUntil)
		switch {
		case err == nil && status == http.StatusNoContent:
			validUntil = sent.Add(validFor)
			expiry.Reset(time.Until(validUntil))
		case err == nil && status == http.StatusConflict:
			return
		}
	}
}

// renew sends one renewal. The call ends at the deadline, so that a call without a response does not delay the closing
// of Lost.
func (l *Lease) renew(ctx context.Context, deadline time.Time) (int, error) {
	callCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request := holderRequest{Holder: l.Holder, Token: l.Token}
	status, _, err := l.client.post(callCtx, leasePath(l.Name, "renew"), request)
	return status, err
}

// FencingToken returns the value of the X-Fencing-Token header for writes that this process makes under the lease.
func (l *Lease) FencingToken() string { return l.Name + ":" + strconv.FormatUint(l.Token, 10) }

// Release stops the renewals and releases the lease, so that a successor does not have to wait for the TTL. Only the
// first call has an effect; later calls return nil. It is not an error if the lease is no longer held.
func (l *Lease) Release(ctx context.Context) error {
	var err error
	l.releaseOnce.Do(func() {
		l.stopRenewing()
		<-l.stopped
		err = l.release(ctx)
	})
	return err
}

func (l *Lease) release(ctx context.Context) error {
	request := holderRequest{Holder: l.Holder, Token: l.Token}
	status, answer, err := l.client.post(ctx, leasePath(l.Name, "release"), request)
	if err == nil && status != http.StatusOK && status != http.StatusConflict {
		return fmt.Errorf("release lease %s: status %d: %s", l.Name, status, answer.Error)
	}
	return err
}

// ExistingLease returns a Lease for a grant that the caller knows by its holder and token. The caller may only release
// the lease. For example, an operator uses it to end the lease of another process. The lease is not renewed, and Lost
// is nil.
func (c *Client) ExistingLease(name, holder string, token uint64) *Lease {
	stopped := make(chan struct{})
	close(stopped)
	return &Lease{
		Name:         name,
		Holder:       holder,
		Token:        token,
		client:       c,
		stopRenewing: func() {},
		stopped:      stopped,
	}
}
