package lab

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// clientIdleTimeout is how long a client reuses a connection without a request.
	clientIdleTimeout = 2 * time.Second
	// clientDialTimeout bounds a client's connect.
	clientDialTimeout = time.Second
)

// client is the clients' side of one node: their connections to it. It follows PROTOCOL's rules for clients: one
// request at a time on a connection, and one that crosses the close of a reused connection is sent once more on a new
// one.
type client struct {
	target string
	link   *Proxy // that listens on target; nil: the node itself does

	mu          sync.Mutex
	idle        []*clientConn
	notAdmitted bool // the front sends no new connection to this node
}

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	reader          *bufio.Reader
	dialedAt        time.Time
	idleSince       time.Time
	unsentRemainder string // the remainder of a request that was begun on it
}

// errNotAdmitted says that the front sends no new connection to a node.
var errNotAdmitted = errors.New("the front sends no new connection to this node")

// admit has the front send new connections to this node, or none.
func (c *client) admit(admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAdmitted = !admitted
}

// dial connects to the node.
func (c *client) dial() (*clientConn, error) {
	c.mu.Lock()
	notAdmitted := c.notAdmitted
	c.mu.Unlock()
	if notAdmitted {
		return nil, errNotAdmitted
	}
	conn, err := net.DialTimeout("tcp", c.target, clientDialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), dialedAt: time.Now()}, nil
}

// takeIdle takes the connection that was used last and that the node has not ended since, or nil.
func (c *client) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.idleSince) < clientIdleTimeout && !ended(conn.Conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

// putIdle returns a connection for reuse.
func (c *client) putIdle(conn *clientConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// close ends the idle connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// refused tells whether the node's machine refused a connection that a proxy had accepted for it.
func (c *client) refused(conn *clientConn) bool {
	return c.link != nil && c.link.refusedFor(conn.LocalAddr().String())
}
