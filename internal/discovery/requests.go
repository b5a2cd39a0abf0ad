package discovery

import (
	"context"

	"hitchvale/balance"
)

// maxQueuedRequests is how many requests may wait until Run takes them. More than one request waits only while a call
// is in progress, and the result of that call answers all waiting requests.
const maxQueuedRequests = 16

// polls reports whether lists are polled. If they are, calls are made only on request.
func (c *Client) polls() bool { return c.requests != nil }

// Request asks for a call, or for the end of a watch. The kind is WatchEndpoints, UnwatchEndpoints or FetchEndpoints.
// Request never blocks. Where lists are pushed it does nothing.
func (c *Client) Request(kind balance.ActionKind) {
	select {
	case c.requests <- kind:
	default:
	}
}

// awaitRequest waits until a call is wanted. It reports whether the call watches the list or reads it once; wanted is
// false if ctx has ended or the request only ends a watch. A call is always wanted where lists are pushed. It is also
// always wanted after discovery has moved, because the node must learn in time of changes at the new address.
func (c *Client) awaitRequest(ctx context.Context) (watch, wanted bool) {
	url, addressChanged := c.location()
	moved := c.position.url != "" && c.position.url != url && c.replicas == nil
	if !c.polls() || moved {
		return true, true
	}
	select {
	case <-ctx.Done():
		return false, false
	case <-addressChanged:
		return true, true
	case kind := <-c.requests:
		return kind == balance.WatchEndpoints, kind != balance.UnwatchEndpoints
	}
}

// takeRequests removes all queued requests, and reports whether the last of them ends the watch.
func (c *Client) takeRequests() (unwatch bool) {
	for {
		select {
		case kind := <-c.requests:
			unwatch = kind == balance.UnwatchEndpoints
		default:
			return unwatch
		}
	}
}
