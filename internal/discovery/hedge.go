package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// silenceTimeout is how long the answer to a watch may be overdue before a hedged call is made. The first one may
	// be on a broken connection, or stand in discovery's queue; it keeps its place.
	silenceTimeout = time.Second
	// fullListHedgeDelay is how long the complete list may take before a hedged call is made.
	fullListHedgeDelay = 3 * time.Second
)

// listRead is one way to read the list: the call, and the hedged call beside it when no answer comes.
type listRead struct {
	query      string        // "": the complete list
	timeout    time.Duration // of the first call
	hedgeQuery string        // of the hedged call, whose timeout is responseSlack as it waits for nothing
	hedgeDelay time.Duration
}

// fullRead reads the complete list, which costs discovery work for each entry.
func (c *Client) fullRead() listRead {
	return listRead{timeout: c.fullListTimeout, hedgeDelay: fullListHedgeDelay}
}

// watchRead waits for a change after the revision that is known. Where lists are pushed, the first call of a process
// does not wait: it must not serve on an older list than discovery's.
func (c *Client) watchRead() listRead {
	wait := c.watchWait
	if !c.polls() && !c.position.listReceived {
		wait = 0
	}
	return listRead{
		query:      c.watchQuery(wait),
		timeout:    c.watchWait + responseSlack,
		hedgeQuery: c.watchQuery(0),
		hedgeDelay: c.watchWait + silenceTimeout,
	}
}

func (c *Client) watchQuery(wait time.Duration) string {
	return fmt.Sprintf("?after=%d&wait_ms=%d", c.position.revision, wait.Milliseconds())
}

// readList reads the list at a URL. Among replicas no call is hedged: a silent one is abandoned for the next.
func (c *Client) readList(ctx context.Context, url string, r listRead) (List, error) {
	if len(c.replicas) > 1 {
		return c.get(ctx, url+r.query, r.timeout)
	}
	return c.hedgedGet(ctx, url, r)
}

// hedgedGet makes a call, and a hedged one beside it if the first has no answer after the delay. The first answer
// counts; an error counts once no other call is open, or if it wraps ErrMalformed.
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
	silent := time.NewTimer(r.hedgeDelay)
	defer silent.Stop()
	for {
		select {
		case got := <-results:
			open--
			if got.err == nil || open == 0 || errors.Is(got.err, ErrMalformed) {
				return got.list, got.err
			}
		case <-silent.C:
			c.log.Info("discovery silent", "hedged_url", url+r.hedgeQuery)
			start(url+r.hedgeQuery, responseSlack)
		}
	}
}
