package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answerSlack is how long after its time an answer only earns nothing (half a second), and the 50 ms by which every
// time limit is longer on sockets.
const answerSlack = 550 * time.Millisecond

// request is what a client sends.
type request struct {
	id    string
	class string
	body  []byte
}

// head returns the head of the request in the protocol page's form.
func (r request) head(expires time.Duration) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n"+
		"X-Expires-In: %.3f\r\nContent-Length: %d\r\n\r\n", r.id, r.class, expires.Seconds(), len(r.body))
}

// traceID returns the id of a case's request.
func traceID(number int) string { return fmt.Sprintf("9b1f03aa5c7e%04x", number) }

// client is a client's connection to a node.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// clientConn returns the open connection of a client, or a new one. It is closed at the end.
func (n *node) clientConn(number int) (*client, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.clients[number]; c != nil {
		return c, nil
	}
	conn, err := net.Dial("tcp", n.listen)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	n.w.atEnd(func() { conn.Close() })
	n.clients[number] = &client{Conn: conn, reader: bufio.NewReader(conn)}
	return n.clients[number], nil
}

// readAnswer reads the next answer, for as long as the client waits.
func (c *client) readAnswer(wait time.Duration) (status int, body string, err error) {
	c.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
