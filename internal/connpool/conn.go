package connpool

import (
	"bufio"
	"io"
	"math"
	"net"
	"time"
)

// readBufferSize is the size of a connection's read buffer, in bytes. What is large is read past it.
const readBufferSize = 2 << 10

// Server identifies one process of a server: one that was restarted under its address is another.
type Server struct {
	Addr      string
	StartedAt time.Duration // as its process's owner gives it: Unix time
}

// Conn is a connection to a server. Between Acquire and Release or Discard it belongs to the caller alone.
type Conn struct {
	net.Conn
	Server Server
	Reader *bufio.Reader // of the connection, up to LimitRead

	limit     io.LimitedReader
	idleSince time.Time
}

func newConn(conn net.Conn, server Server) *Conn {
	c := &Conn{Conn: conn, Server: server}
	c.limit.R = conn
	c.Reader = bufio.NewReaderSize(&c.limit, readBufferSize)
	return c
}

// LimitRead bounds what Reader may read of the connection from now on, in bytes; it then returns io.EOF.
func (c *Conn) LimitRead(bytes int64) { c.limit.N = bytes }

// UnlimitRead lifts the bound.
func (c *Conn) UnlimitRead() { c.limit.N = math.MaxInt64 }
