package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// A node must know of a change at most 6 s after discovery has the change and can be reached, even if calls fail or
// hang in the meantime. A watch without an answer is therefore hedged (hedge.go) after its wait plus hedgeSlack, which
// is 3 s where lists are pushed and 4 s where they are polled. With several replicas calls are not hedged. Instead the
// next replica is called after the wait plus responseSlack, which is 4.5 s or 5.5 s.
const (
	// pushWatchWait is how long discovery may hold a watch open where lists are pushed.
	pushWatchWait = 2 * time.Second
	// pollWatchWait is how long discovery may hold a watch open where lists are polled. It is longer than pushWatchWait
	// because each call costs discovery work.
	pollWatchWait = 3 * time.Second
	// maxWatchGap is the longest time between two calls of a watch without the risk of a missed change. Discovery ends a
	// watch that has no open call for 200 ms.
	maxWatchGap = 150 * time.Millisecond
)

var (
	errIncomplete   = errors.New("discovery answered a call for the complete list with a list of changes")
	errStaleReplica = errors.New("the replica's list is older than the list held")
)

// follow reads the list, and its changes if watch is set. It returns when a call fails, when ctx ends or when the watch
// is no longer wanted. When the address of discovery changes it continues at the new address. It reports whether any
// list was received.
func (c *Client) follow(ctx context.Context, watch bool) (received bool, err error) {
	for {
		receivedList, moved, err := c.followUntilMove(ctx, watch)
		received = received || receivedList
		if !moved || ctx.Err() != nil {
			return received, err
		}
		c.httpClient.CloseIdleConnections()
	}
}

// followUntilMove does the work of follow at the current address, and returns with moved set when the address changes.
func (c *Client) followUntilMove(ctx context.Context, watch bool) (received, moved bool, err error) {
	url, addressChanged := c.location()
	addressCtx, cancel := context.WithCancel(ctx) // ends when the address changes
	defer cancel()
	stop := make(chan struct{})
	var canceller sync.WaitGroup
	canceller.Go(func() {
		select {
		case <-addressChanged:
			cancel()
		case <-stop:
		}
	})
	received, err = c.followURL(addressCtx, url, watch)
	close(stop)
	canceller.Wait()
	return received, addressCtx.Err() != nil, err
}

// followURL reads the complete list or the changes since the revision held, and continues with watches if watch is set.
// It returns when a call fails, when ctx ends or when the watch is no longer wanted. It reports whether any list was
// received.
func (c *Client) followURL(ctx context.Context, url string, watch bool) (received bool, err error) {
	c.switchURL(url)
	for ctx.Err() == nil {
		list, err := c.readNext(ctx, url, watch)
		if err != nil {
			return received, err
		}
		answeredAt := time.Now()
		received = true
		c.position.listReceived = true
		c.onList(list)
		c.position.advance(list)
		if !watch || c.takeRequests() {
			return true, nil
		}
		if time.Since(answeredAt) > maxWatchGap {
			c.position.resumable = false
		}
	}
	return received, nil
}

// switchURL sets the URL to read from. Another discovery service may use other revision numbers, so the complete list
// is read after a change of the URL. Replicas of one registry use the same numbers, so a watch continues.
func (c *Client) switchURL(url string) {
	if c.position.url != "" && c.position.url != url && c.replicas == nil {
		c.position.resumable = false
		c.log.Info("discovery moved; reading the complete list at the new address", "url", url)
	}
	c.position.url = url
}

// advance moves the position to the revision of a list that was received. If changes have a lower
// revision than the list held, other changes may have been missed, so the next call reads the complete list.
func (p *position) advance(list List) {
	p.resumable = list.Complete || list.Revision >= p.revision
	p.revision = list.Revision
}

// readNext makes the next call: a watch from the revision held, or a call for the complete list if there is no watch or
// the position is not resumable.
func (c *Client) readNext(ctx context.Context, url string, watch bool) (List, error) {
	next := c.fullRead()
	if watch && c.position.resumable {
		next = c.watchRead()
	}
	list, err := c.readList(ctx, url, next)
	switch {
	case errors.Is(err, ErrMalformed):
		c.position.resumable = false // the changes in the malformed answer are lost
		return List{}, err
	case err != nil:
		return List{}, err
	case next.query == "" && !list.Complete:
		return List{}, errIncomplete
	case c.replicas != nil && c.position.resumable && list.Revision < c.position.revision:
		return List{}, fmt.Errorf("%w: revision %d, held %d", errStaleReplica, list.Revision, c.position.revision)
	}
	return list, nil
}
