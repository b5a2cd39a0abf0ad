package lab

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// stalledClientTimeout is the time within which a node must answer a stalled client with an error or close its
	// connection.
	stalledClientTimeout = 3 * time.Second
	// schedulingSlack is how long after stalledClientTimeout the error or the close may still come on a busy machine.
	schedulingSlack = 250 * time.Millisecond
)

// incompleteHead is the beginning of a request's head, without the method. It ends within a header.
const incompleteHead = " /api HTTP/1.1\r\nHost: api.internal\r\nX-Tra"

// runStalledClient runs a client that sends the beginning of a request and then stays connected without sending more.
// It checks that the node ends the connection in time.
func (driver *Driver) runStalledClient(node int) {
	elapsed, ended := driver.Nodes[node].sendIncompleteRequest(2 * stalledClientTimeout)
	if ended && elapsed <= stalledClientTimeout+schedulingSlack {
		return
	}
	driver.mu.Lock()
	defer driver.mu.Unlock()
	driver.stalledCheck.addViolation(fmt.Sprintf("at node-%d: error or close received: %v, after %s", node, ended,
		elapsed.Round(time.Millisecond)))
}

// StalledClientCheck returns the result of the check that nodes end the connections of stalled clients in time.
func (driver *Driver) StalledClientCheck() Check {
	driver.mu.Lock()
	defer driver.mu.Unlock()
	return driver.stalledCheck.result()
}

// sendIncompleteRequest sends the beginning of a request. It returns the time until the node answered with an error or
// closed the connection, and whether that happened within timeout. A node that accepts no connection counts as a node
// that closes the connection immediately.
func (c *client) sendIncompleteRequest(timeout time.Duration) (elapsed time.Duration, ended bool) {
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
