package discovery

import (
	"context"

	"hitchvale/balance"
)

// maxQueuedRequests bounds the requests that wait for Run. More than one waits only while a call is under way, which
// answers them all.
const maxQueuedRequests = 16

// polls reports whether calls are made only when the module requests one.
func (c *Client) polls() bool { return c.requests != nil }

// Request passes on what the module wants of discovery: WatchEndpoints, UnwatchEndpoints or FetchEndpoints. It never
// blocks. Where lists are pushed it does nothing.
func (c *Client) Request(kind balance.ActionKind) {
	select {
	case c.requests <- kind:
	default:
	}
}

// awaitRequest waits until a call is wanted, and reports whether the call is to watch or to read the list once. A call
// is always wanted where lists are pushed, and where discovery has moved: a change there counts as notified soon after.
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

// drainRequests takes the requests made meanwhile, and reports whether the last of them ends the watch.
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
