package lab

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// clientIdleTimeout is how long a connection may be idle before the client no longer reuses it.
	clientIdleTimeout = 2 * time.Second
	// clientDialTimeout bounds the time that a client takes to connect.
	clientDialTimeout = time.Second
)

// client stands for all clients of one node and holds their connections to the node. It follows PROTOCOL's rules for
// clients: a connection carries one request at a time, and a request that crosses the close of its connection (the node
// closed the connection before it read the request) is sent once more on a new connection. Its methods may be called by
// several goroutines.
type client struct {
	target string // host:port to which the clients connect
	link   *Proxy // the proxy that listens on target; nil: the node itself listens there

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
	endedAtWrite    bool   // the node had ended the connection when the last request had been written
	unsentRemainder string // the remainder of a request whose initial part has been sent; "": none
}

// errNotAdmitted says that the front sends no new connection to a node.
var errNotAdmitted = errors.New("the front sends no new connection to this node")

// admit sets whether the front, which distributes the clients' connections, sends new connections to this node.
func (c *client) admit(admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAdmitted = !admitted
}

// dial connects to the node. It returns errNotAdmitted if the front sends no new connection there.
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

// takeIdle removes and returns the idle connection that was used last, or nil if there is none. It closes idle
// connections that are too old or that the node has ended.
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

// putIdle keeps a connection idle, so that a later request can reuse it.
func (c *client) putIdle(conn *clientConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// close closes the idle connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// refused reports whether the link's proxy accepted a connection but could not connect to the node. Without a proxy it
// returns false.
func (c *client) refused(conn *clientConn) bool {
	return c.link != nil && c.link.refusedFor(conn.LocalAddr().String())
}
