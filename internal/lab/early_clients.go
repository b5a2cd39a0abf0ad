package lab

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// earlyAction is what a client does when it connects, long before it sends the remainder of its request.
type earlyAction string

const (
	earlyConnect earlyAction = "connected" // it only connects
	earlyHead    earlyAction = "head"      // it sends half of the head
	earlyBody    earlyAction = "body"      // it sends the head and, where there is a body, half of that
)

const (
	// minEarlyWait and maxEarlyWait bound how long such a client waits. One that is within a request for longer is an
	// improper peer.
	minEarlyWait = 200 * time.Millisecond
	maxEarlyWait = 2500 * time.Millisecond
	// maxEarlyBodyWait bounds the wait within a body, which has to come at a minimum rate.
	maxEarlyBodyWait = 1500 * time.Millisecond
)

// earlyBegin is what one such client does, and how long it waits before the remainder.
type earlyBegin struct {
	action earlyAction // "": none
	wait   time.Duration
}

// drawEarly draws what a client does early.
func (load Load) drawEarly(rng *rand.Rand) earlyBegin {
	var early earlyBegin
	longest := maxEarlyWait
	switch x := rng.Float64(); {
	case x < load.DelayedRequestShare:
		early.action = earlyConnect
	case x < load.DelayedRequestShare+load.SplitRequestShare/2:
		early.action = earlyHead
	case x < load.DelayedRequestShare+load.SplitRequestShare:
		early.action = earlyBody
		longest = maxEarlyBodyWait
	default:
		return early
	}
	early.wait = minEarlyWait + time.Duration(rng.Float64()*float64(longest-minEarlyWait))
	return early
}

// split divides a request's text into what is sent when its client connects, and the remainder.
func (early earlyBegin) split(text string) (begin, remainder string) {
	headLength := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	at := 0
	switch early.action {
	case earlyHead:
		at = headLength / 2
	case earlyBody:
		at = min(headLength+(len(text)-headLength)/2, len(text)-1) // without a body, the end of the head is missing
	}
	return text[:at], text[at:]
}

// sendAfterEarlyConnect sends a request to a node on a connection that was opened long before. The request's times
// count from the remainder.
func (driver *Driver) sendAfterEarlyConnect(ctx context.Context, node int, request *clientRequest,
	early earlyBegin) Outcome {
	client := driver.Nodes[node]
	timeout := driver.Load.Deadline.Duration
	conn, err := client.dial()
	if err == nil {
		var begin string
		begin, conn.unsentRequest = early.split(request.textFor(timeout))
		if begin != "" {
			io.WriteString(conn, begin) // an error is seen when the remainder is written
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(early.wait):
	}
	request.deadline = time.Now().Add(timeout)
	request.disconnectAt = time.Time{}
	if err != nil {
		return driver.send(node, request)
	}
	if early.action == earlyConnect && ended(conn.Conn) {
		conn.Close() // the node has closed it meanwhile, so nothing is sent there
		return driver.send(node, request)
	}
	outcome := Outcome{Trace: request.trace, Class: request.class, SentAt: time.Now().UnixNano(),
		ClientTimeout: int64(timeout), Node: node, EarlyAction: string(early.action)}
	if !client.sendOn(conn, request, &outcome) {
		return driver.send(node, request)
	}
	return outcome
}

// This file plays clients that use a connection long after they have opened it.
