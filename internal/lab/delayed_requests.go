package lab

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// initialPart is what a client does when it connects, long before it sends the remainder of its request.
type initialPart string

const (
	initialNone     initialPart = "connected" // it only connects
	initialHalfHead initialPart = "head"      // it sends half of the head
	initialHalfBody initialPart = "body"      // it sends the head and, where there is a body, half of that
)

const (
	// minRequestDelay and maxEarlyWait bound how long such a client waits. One that is within a request for longer is an
	// improper peer.
	minRequestDelay = 200 * time.Millisecond
	maxRequestDelay = 2500 * time.Millisecond
	// maxBodyDelay bounds the wait within a body, which has to come at a minimum rate.
	maxBodyDelay = 1500 * time.Millisecond
)

// requestDelay is what one such client does, and how long it waits before the remainder.
type requestDelay struct {
	initial initialPart // "": none
	wait    time.Duration
}

// drawRequestDelay draws what a client does early.
func (load Load) drawRequestDelay(rng *rand.Rand) requestDelay {
	var early requestDelay
	longest := maxRequestDelay
	switch x := rng.Float64(); {
	case x < load.DelayedRequestShare:
		early.initial = initialNone
	case x < load.DelayedRequestShare+load.SplitRequestShare/2:
		early.initial = initialHalfHead
	case x < load.DelayedRequestShare+load.SplitRequestShare:
		early.initial = initialHalfBody
		longest = maxBodyDelay
	default:
		return early
	}
	early.wait = minRequestDelay + time.Duration(rng.Float64()*float64(longest-minRequestDelay))
	return early
}

// split divides a request's text into what is sent when its client connects, and the remainder.
func (early requestDelay) split(text string) (begin, remainder string) {
	headLength := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	at := 0
	switch early.initial {
	case initialHalfHead:
		at = headLength / 2
	case initialHalfBody:
		at = min(headLength+(len(text)-headLength)/2, len(text)-1) // without a body, the end of the head is missing
	}
	return text[:at], text[at:]
}

// sendDelayed sends a request to a node on a connection that was opened long before. The request's times
// count from the remainder.
func (driver *Driver) sendDelayed(ctx context.Context, node int, request *clientRequest,
	early requestDelay) Outcome {
	client := driver.Nodes[node]
	timeout := driver.Load.Deadline.Duration
	conn, err := client.dial()
	if err == nil {
		var begin string
		begin, conn.unsentRemainder = early.split(request.textWithTimeout(timeout))
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
	if early.initial == initialNone && ended(conn.Conn) {
		conn.Close() // the node has closed it meanwhile, so nothing is sent there
		return driver.send(node, request)
	}
	outcome := Outcome{Trace: request.trace, Class: request.class, SentAt: time.Now().UnixNano(),
		ClientTimeout: int64(timeout), Node: node, InitialPart: string(early.initial)}
	if !client.sendOn(conn, request, &outcome) {
		return driver.send(node, request)
	}
	return outcome
}

// This file plays clients that use a connection long after they have opened it.
