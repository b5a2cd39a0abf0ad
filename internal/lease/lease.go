// Package lease is the client of the registry's leases (docs/registry.md). A lease is a duty that one process holds at
// a time; its fencing token goes with every write on the duty's behalf, as a sequencer does in Chubby.
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
	// clockMarginFraction is the fraction of the TTL by which a holder takes its lease for lost before the TTL ends:
	// the clocks of the leader and of this process may drift apart by that much. Writes are fenced in any case.
	clockMarginFraction = 0.2

	// renewalsPerTTL is how often a lease is renewed within its TTL.
	renewalsPerTTL = 3

	// A candidate polls for a lease that is held at least every maxPollInterval, or pollsPerTTL times within its TTL,
	// plus a random time of up to pollJitter, so that candidates don't poll in step.
	maxPollInterval = 25 * time.Millisecond
	pollsPerTTL     = 4
	pollJitter      = 25 * time.Millisecond
)

// Lease is a lease that this process holds.
type Lease struct {
	Name   string
	Holder string
	Token  uint64 // the fencing token of the grant
	TTL    time.Duration
	// Lost is closed once the holder can't be sure to hold the lease: the registry has said that it doesn't, or the
	// last renewal that succeeded was sent a TTL less the clock margin ago. Release closes it too.
	Lost <-chan struct{}

	client       *Client
	stopRenewing context.CancelFunc
	stopped      chan struct{} // closed when renewing has stopped
	releaseOnce  sync.Once
}

// Acquire polls for the lease until it is granted, the registry refuses the call for another reason than that the lease
// is held, or ctx ends. It then renews the lease until Release.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (*Lease, error) {
	request := acquireRequest{Holder: holder, TTLms: ttl.Milliseconds()}
	for {
		status, answer, err := c.post(ctx, leasePath(name, "acquire"), request)
		switch {
		case err == nil && status == http.StatusOK:
			return c.startRenewal(name, holder, answer.Lease.Token, ttl), nil
		case err == nil && status != http.StatusConflict:
			return nil, fmt.Errorf("acquire %s: %d %s", name, status, answer.Error)
		}
		wait := min(ttl/pollsPerTTL, maxPollInterval) + rand.N(pollJitter)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
}

// startRenewal returns a lease that has just been granted and starts to renew it.
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

// renewUntilLost renews the lease until ctx ends or the lease is lost. The holder is sure to hold it until validFor has
// passed since the last renewal that succeeded was sent.
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

// renew sends one renewal. A call that hangs ends at the deadline, so that it does not delay the loss of the lease.
func (l *Lease) renew(ctx context.Context, deadline time.Time) (int, error) {
	callCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request := holderRequest{Holder: l.Holder, Token: l.Token}
	status, _, err := l.client.post(callCtx, leasePath(l.Name, "renew"), request)
	return status, err
}

// FencingToken returns the value of X-Fencing-Token for writes on the duty's behalf.
func (l *Lease) FencingToken() string { return l.Name + ":" + strconv.FormatUint(l.Token, 10) }

// Release stops renewing and releases the lease, so that a successor need not wait for the TTL. Only the first call
// does anything. A lease that is no longer held is no error.
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
		return fmt.Errorf("release %s: %d %s", l.Name, status, answer.Error)
	}
	return err
}

// ExistingLease returns a lease that was granted elsewhere, for Release alone, as when an operator steps a holder down.
// It is not renewed, and its Lost is nil.
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
