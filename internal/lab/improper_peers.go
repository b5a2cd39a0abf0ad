package lab

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// improperPeerTimeout is how long an improper peer may wait for an error or a close.
	improperPeerTimeout = 3 * time.Second
	// schedulingSlack is by how much a busy machine may be late with that.
	schedulingSlack = 250 * time.Millisecond
)

// incompleteHead is a request that ends within its head.
const incompleteHead = " /api HTTP/1.1\r\nHost: api.internal\r\nX-Tra"

// playImproperPeer plays a peer that sends half a request and stays connected, and checks that the node ends that.
func (driver *Driver) playImproperPeer(node int) {
	elapsed, ended := driver.Nodes[node].sendImproperRequest(2 * improperPeerTimeout)
	if ended && elapsed <= improperPeerTimeout+schedulingSlack {
		return
	}
	driver.mu.Lock()
	defer driver.mu.Unlock()
	driver.improper.addViolation(fmt.Sprintf("at node-%d: ended %v after %s", node, ended,
		elapsed.Round(time.Millisecond)))
}

// Improper is the check on improper peers.
func (driver *Driver) Improper() Check {
	driver.mu.Lock()
	defer driver.mu.Unlock()
	return driver.improper.result()
}

// sendImproperRequest sends half a request. It returns how long it took until an error or a close came, and whether one
// came within timeout.
func (c *client) sendImproperRequest(timeout time.Duration) (elapsed time.Duration, ended bool) {
	conn, err := c.dial()
	if err != nil {
		return 0, true
	}
	defer conn.Close()
	start := time.Now()
	conn.SetDeadline(start.Add(timeout))
	io.WriteString(conn, http.MethodPost+incompleteHead)
	_, err = conn.reader.ReadByte()
	return time.Since(start), !isTimeout(err)
}
