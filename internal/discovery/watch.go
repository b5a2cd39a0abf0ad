package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// A change counts as notified 6 s after discovery had it and could be reached, whatever became of calls meanwhile. So a
// watch that stays silent is hedged (hedge.go) after its wait and silenceTimeout: 3 s where lists are pushed, 4 s where
// they are polled. Among replicas it is not hedged: the next replica is called after the wait and responseSlack, 4.5 s
// or 5.5 s.
const (
	// pushWatchWait is how long discovery may hold a watch open where lists are pushed.
	pushWatchWait = 2 * time.Second
	// pollWatchWait is the same where lists are polled: each call costs discovery work.
	pollWatchWait = 3 * time.Second
	// maxWatchGap is the longest time between two calls of a watch in which no change can be missed. Discovery ends a
	// watch that has no call open for 200 ms.
	maxWatchGap = 150 * time.Millisecond
)

var (
	errIncomplete   = errors.New("the complete list was requested and changes came")
	errStaleReplica = errors.New("replica is behind the list held")
)

// followAcrossMoves follows the list from one address of discovery to the next until a call fails. It reports whether
// any list was received.
func (c *Client) followAcrossMoves(ctx context.Context, watch bool) (received bool, err error) {
	for {
		receivedHere, moved, err := c.followUntilMove(ctx, watch)
		received = received || receivedHere
		if !moved || ctx.Err() != nil {
			return received, err
		}
		c.httpClient.CloseIdleConnections()
	}
}

// followUntilMove follows the list at the present address until a call fails or discovery moves.
func (c *Client) followUntilMove(ctx context.Context, watch bool) (received, moved bool, err error) {
	url, addressChanged := c.location()
	here, leave := context.WithCancel(ctx)
	defer leave()
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		select {
		case <-addressChanged:
			leave()
		case <-stop:
		}
	})
	received, err = c.follow(here, url, watch)
	close(stop)
	watcher.Wait()
	return received, here.Err() != nil, err
}

// follow reads the list, from the start or from the revision that is known, and then watches it if it is to. It ends
// when a call fails, when ctx ends or when the watch is no longer wanted, and reports whether any list was received.
func (c *Client) follow(ctx context.Context, url string, watch bool) (received bool, err error) {
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

// enter begins to read at a URL. Another discovery may number its lists in another way, so the list is read anew there;
// replicas are of one registry, and a watch goes on.
func (c *Client) switchURL(url string) {
	if c.position.url != "" && c.position.url != url && c.replicas == nil {
		c.position.resumable = false
		c.log.Info("discovery moved", "url", url)
	}
	c.position.url = url
}

// advance takes in a list. Where revisions go back, or a watch has ended, what changed in between may be missing.
func (p *position) advance(list List) {
	p.resumable = list.Complete || list.Revision >= p.revision
	p.revision = list.Revision
}

// readNext makes the next call: a watch from the position, or of the complete list.
func (c *Client) readNext(ctx context.Context, url string, watch bool) (List, error) {
	next := c.fullRead()
	if watch && c.position.resumable {
		next = c.watchRead()
	}
	list, err := c.readList(ctx, url, next)
	switch {
	case errors.Is(err, ErrMalformed):
		c.position.resumable = false // the changes in it are lost
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
