package lab

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// This file runs clients that connect to a node long before they send the last part of their request.

// initialPart is the part of a request that a client sends when it connects, long before the remainder.
type initialPart string

const (
	initialNone     initialPart = "connected" // nothing: the client only connects
	initialHalfHead initialPart = "head"      // half of the head
	initialHalfBody initialPart = "body"      // the head and half of the body; without a body, the head less its last byte
	initialSlowBody initialPart = "slow"      // all but the last byte, at slowBodyRate; the body is long
)

const (
	// minRequestDelay and maxRequestDelay bound how long a client waits before it sends the remainder. A client that stays
	// within a request for longer is a stalled client.
	minRequestDelay = 200 * time.Millisecond
	maxRequestDelay = 2500 * time.Millisecond
	// maxBodyDelay bounds the wait within a body, because a body must arrive at a minimum rate.
	maxBodyDelay = 1500 * time.Millisecond
)

// requestDelay says which part of a request a client sends when it connects, and how long it then waits before it sends
// the remainder.
type requestDelay struct {
	initial initialPart // "": the request is not delayed
	wait    time.Duration
}

// drawRequestDelay draws whether and how a client delays its request.
func (load Load) drawRequestDelay(rng *rand.Rand) requestDelay {
	var delay requestDelay
	longest := maxRequestDelay
	switch x := rng.Float64(); {
	case x < load.DelayedRequestShare:
		delay.initial = initialNone
	case x < load.DelayedRequestShare+load.SplitRequestShare/2:
		delay.initial = initialHalfHead
	case x < load.DelayedRequestShare+load.SplitRequestShare:
		delay.initial = initialHalfBody
		longest = maxBodyDelay
	case x < load.DelayedRequestShare+load.SplitRequestShare+load.SlowBodyShare:
		delay.initial = initialSlowBody
		return delay
	default:
		return delay
	}
	delay.wait = minRequestDelay + time.Duration(rng.Float64()*float64(longest-minRequestDelay))
	return delay
}

// split divides a request's text into the part that is sent when its client connects, and the remainder.
func (delay requestDelay) split(text string) (begin, remainder string) {
	headLength := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	at := 0
	switch delay.initial {
	case initialHalfHead:
		at = headLength / 2
	case initialHalfBody:
		at = min(headLength+(len(text)-headLength)/2, len(text)-1) // without a body, the end of the head is missing
	case initialSlowBody:
		at = len(text) - 1
	}
	return text[:at], text[at:]
}

// sendDelayed connects to a node and sends the initial part of a request, waits, and sends the remainder. SentAt and
// the client's deadline count from the remainder. If the node accepts no connection, or closes the connection before
// any part of the request was sent, the request is sent as a whole after the wait, on another connection.
func (driver *Driver) sendDelayed(ctx context.Context, node int, request *clientRequest,
	delay requestDelay) Outcome {
	client := driver.Nodes[node]
	timeout := driver.Load.Deadline.Duration
	conn, err := client.dial()
	if err == nil {
		var begin string
		begin, conn.unsentRemainder = delay.split(request.textWithTimeout(timeout))
		switch { // an error shows up again when the remainder is written
		case delay.initial == initialSlowBody:
			conn.SetWriteDeadline(time.Now().Add(slowBodyTimeout))
			writeSlowly(ctx, conn, begin)
		case begin != "":
			io.WriteString(conn, begin)
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay.wait):
	}
	request.deadline = time.Now().Add(timeout)
	request.disconnectAt = time.Time{}
	if err != nil {
		return driver.send(node, request)
	}
	if delay.initial == initialNone && ended(conn.Conn) {
		conn.Close() // the node has closed the idle connection, so the request is sent on another connection
		return driver.send(node, request)
	}
	outcome := Outcome{Trace: request.trace, Class: request.class, SentAt: time.Now().UnixNano(),
		ClientTimeout: int64(timeout), Node: node, InitialPart: string(delay.initial)}
	if !client.sendOn(conn, request, &outcome) {
		return driver.send(node, request)
	}
	return outcome
}
