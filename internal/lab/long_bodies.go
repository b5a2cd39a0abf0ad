package lab

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// This file runs clients that send a body of several megabytes at once.

const (
	// minLongBody and maxLongBody bound the length of a long body, in bytes. The sockets between a node and a backend that
	// stops reading hold less than the longest of them.
	minLongBody = 3 << 20
	maxLongBody = 10 << 20
	// longBodyTimeout is how long a client tries to send a long body to a node that does not take it.
	longBodyTimeout = 15 * time.Second
	// receiptInterval is the time between two checks whether a request has reached the node's machine.
	receiptInterval = 5 * time.Millisecond
)

// errNotReceived says that the last byte of a request has not reached the node's machine.
var errNotReceived = errors.New("the last byte of the request has not reached the node's machine")

// drawLongBody draws a body of minLongBody to maxLongBody. Half of them are chunked.
func drawLongBody(rng *rand.Rand) longBody {
	padding := minLongBody + rng.IntN(maxLongBody-minLongBody)
	return longBody{padding: padding, chunked: rng.IntN(2) == 0, sentAtOnce: true}
}

// awaitReceipt waits until the last byte of a written request has reached the node's machine, or until the first byte
// of a response has come. The client's time counts from the first of the two. awaitReceipt returns errNotReceived if
// neither has happened by the given time, or if the connection has ended.
func (conn *clientConn) awaitReceipt(request *clientRequest, outcome *Outcome, until time.Time) error {
	for unacknowledged(conn.Conn) != 0 {
		conn.SetReadDeadline(time.Now().Add(receiptInterval))
		if _, err := conn.reader.Peek(1); err == nil {
			break
		} else if !isTimeout(err) || time.Now().After(until) {
			return errNotReceived
		}
	}
	now := time.Now()
	outcome.SentAt = now.UnixNano()
	request.deadline = now.Add(request.timeout)
	responseUntil := request.deadline.Add(responseGrace)
	if disconnectAt := request.disconnectAt; !disconnectAt.IsZero() && disconnectAt.Before(responseUntil) {
		responseUntil = disconnectAt
	}
	conn.SetDeadline(responseUntil)
	return nil
}

// unacknowledged returns how many of the bytes written to a connection have not reached the other machine; -1 if that
// is not known.
func unacknowledged(c net.Conn) int {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return -1
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1
	}
	bytes := -1
	raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}
