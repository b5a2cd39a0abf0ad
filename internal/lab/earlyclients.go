package lab

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// This file plays clients that use a connection long after they have opened it.

// earlyAction is what a client does when it connects, long before it sends the rest of its request.
type earlyAction string

const (
	earlyConnect earlyAction = "connected" // it only connects
	earlyHead    earlyAction = "head"      // it begins a head
	earlyBody    earlyAction = "body"      // it sends a head and, where there is a body, half of that
)

const (
	// minEarlyWait and maxEarlyWait are how long such a client waits. Whoever is within a request for longer is an
	// improper peer.
	minEarlyWait = 200 * time.Millisecond
	maxEarlyWait = 2500 * time.Millisecond
	// maxEarlyBodyWait is how long one waits within a body: it has to come at a pace.
	maxEarlyBodyWait = 1500 * time.Millisecond
)

// earlyBegin is what one such client does, and how long it waits.
type earlyBegin struct {
	action earlyAction
	wait   time.Duration
}

// drawEarly draws what a client does early; its habit is empty for one that does nothing.
func (load Load) drawEarly(rng *rand.Rand) (e earlyBegin) {
	longest := maxEarlyWait
	switch x := rng.Float64(); {
	case x < load.LateSendShare:
		e.action = earlyConnect
	case x < load.LateSendShare+load.EarlyBeginShare/2:
		e.action = earlyHead
	case x < load.LateSendShare+load.EarlyBeginShare:
		e.action, longest = earlyBody, maxEarlyBodyWait
	default:
		return e
	}
	e.wait = minEarlyWait + time.Duration(rng.Float64()*float64(longest-minEarlyWait))
	return e
}

// split divides a request into what is written when its client connects, and the rest.
func (e earlyBegin) split(text string) (begin, remainder string) {
	head := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	at := 0
	switch e.action {
	case earlyHead:
		at = head / 2
	case earlyBody:
		at = min(head+(len(text)-head)/2, len(text)-1) // one without a body lacks the end of its head
	}
	return text[:at], text[at:]
}

// sendAfterEarlyConnect makes a request of a node on a connection that was opened long before. Its time counts from its
// last byte.
func (driver *Driver) sendAfterEarlyConnect(ctx context.Context, node int, r *clientRequest, e earlyBegin) Outcome {
	c := driver.Nodes[node]
	conn, err := c.dial()
	if err == nil {
		var begin string
		if begin, conn.unsentRequest = e.split(r.textFor(driver.Load.Deadline.Duration)); begin != "" {
			io.WriteString(conn, begin) // one that fails is seen when the rest is written
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(e.wait):
	}
	r.deadline, r.disconnectAt = time.Now().Add(driver.Load.Deadline.Duration), time.Time{}
	if err != nil || e.action == earlyConnect && ended(conn.Conn) {
		if err == nil {
			conn.Close() // the node has closed it meanwhile, so nothing is sent there
		}
		return driver.send(node, r)
	}
	o := Outcome{Trace: r.trace, Class: r.class, SentAt: time.Now().UnixNano(),
		ClientTimeout: int64(driver.Load.Deadline.Duration),
		Node:          node, EarlyAction: string(e.action)}
	if !c.sendOn(conn, r, &o) {
		return driver.send(node, r)
	}
	return o
}

// idleReconnectDelay is how long a client of a crowd waits before it connects once more.
const idleReconnectDelay = 500 * time.Millisecond

// holdIdleConnections holds so many connections to the node on which nothing, or half a head, comes, until ctx ends.
func (c *client) holdIdleConnections(ctx context.Context, size int) {
	var wg sync.WaitGroup
	for i := range size {
		wg.Go(func() {
			for ctx.Err() == nil {
				c.holdIdleConnection(ctx, i%3 == 0)
				select {
				case <-ctx.Done():
				case <-time.After(idleReconnectDelay):
				}
			}
		})
	}
	wg.Wait()
}

// loiter connects and stays until the node ends the connection.
func (c *client) holdIdleConnection(ctx context.Context, begins bool) {
	conn, err := c.dial()
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if begins {
		io.WriteString(conn, "GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Tra")
	}
	io.Copy(io.Discard, conn)
}
