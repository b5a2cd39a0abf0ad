package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// hedgeSlack is how long the answer to a watch may be overdue before a hedged call is made. The first call may
	// be on a broken connection or in discovery's queue. It is not cancelled, so it keeps its place in the queue.
	hedgeSlack = time.Second
	// fullListHedgeDelay is how long a call for the complete list may take before a hedged call is made.
	fullListHedgeDelay = 3 * time.Second
)

// listRead describes a call, and the hedged call that is made if the first call has no answer after hedgeDelay.
type listRead struct {
	query      string        // of the first call; "" reads the complete list
	timeout    time.Duration // of the first call
	hedgeQuery string        // of the hedged call, whose timeout is responseSlack because it asks for no wait
	hedgeDelay time.Duration // from the start of the first call
}

// fullRead returns the read of the complete list. It costs discovery work for each entry.
func (c *Client) fullRead() listRead {
	return listRead{timeout: c.fullListTimeout, hedgeDelay: fullListHedgeDelay}
}

// watchRead returns the read that waits for a change after the revision held. Where lists are pushed, the first call of
// a client does not wait, because the node must not serve requests with a list that is older than discovery's.
func (c *Client) watchRead() listRead {
	wait := c.watchWait
	if !c.polls() && !c.position.listReceived {
		wait = 0
	}
	return listRead{
		query:      c.watchQuery(wait),
		timeout:    c.watchWait + responseSlack,
		hedgeQuery: c.watchQuery(0),
		hedgeDelay: c.watchWait + hedgeSlack,
	}
}

// watchQuery returns the query of a call that discovery answers after a change, or without a change after wait.
func (c *Client) watchQuery(wait time.Duration) string {
	return fmt.Sprintf("?after=%d&wait_ms=%d", c.position.revision, wait.Milliseconds())
}

// readList reads the list at a URL. With several replicas no call is hedged. If a replica does not answer in time, the
// call fails and Run continues with the next replica.
func (c *Client) readList(ctx context.Context, url string, r listRead) (List, error) {
	if len(c.replicas) > 1 {
		return c.get(ctx, url+r.query, r.timeout)
	}
	return c.hedgedGet(ctx, url, r)
}

// hedgedGet makes a call, and a hedged call in addition if the first has no answer after hedgeDelay. It returns the
// first list. It returns the error of a failed call only if no other call is open or if the error wraps ErrMalformed.
func (c *Client) hedgedGet(ctx context.Context, url string, r listRead) (List, error) {
	type result struct {
		list List
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result, 2)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	open := 0
	start := func(url string, timeout time.Duration) {
		open++
		calls.Go(func() {
			list, err := c.get(ctx, url, timeout)
			results <- result{list, err}
		})
	}
	start(url+r.query, r.timeout)
	hedgeTimer := time.NewTimer(r.hedgeDelay)
	defer hedgeTimer.Stop()
	for {
		select {
		case received := <-results:
			open--
			if received.err == nil || open == 0 || errors.Is(received.err, ErrMalformed) {
				return received.list, received.err
			}
		case <-hedgeTimer.C:
			c.log.Info("discovery has not answered; making a hedged call", "hedged_url", url+r.hedgeQuery)
			start(url+r.hedgeQuery, responseSlack)
		}
	}
}
