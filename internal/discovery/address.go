package discovery

import "slices"

// listURL returns the URL of the endpoint list at an address of discovery.
func listURL(address string) string { return "http://" + address + "/registry/instances" }

// Address returns the address of discovery, or of the replica in use.
func (c *Client) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// SetAddress replaces the address of discovery. A call in progress at the old address is cancelled, because its answer
// would not be used.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	url := listURL(address)
	if url == c.url {
		return
	}
	c.address = address
	c.url = url
	close(c.addressChanged)
	c.addressChanged = make(chan struct{})
}

// useNextReplica fails over to the replica after the one in use. It does nothing if there is no other replica.
func (c *Client) useNextReplica() {
	if len(c.replicas) < 2 {
		return
	}
	next := (slices.Index(c.replicas, c.Address()) + 1) % len(c.replicas)
	c.SetAddress(c.replicas[next])
}

// location returns the URL of the list and a channel that is closed when the URL changes.
func (c *Client) location() (url string, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.url, c.addressChanged
}
