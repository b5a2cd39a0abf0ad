package connpool

import (
	"bufio"
	"io"
	"math"
	"net"
	"time"
)

// readBufferSize is the size of a connection's read buffer, in bytes. Large reads bypass the buffer.
const readBufferSize = 2 << 10

// Server identifies one process of a server. A server that has restarted at the same address is a different Server.
type Server struct {
	Addr      string
	StartedAt time.Duration // Unix time at which the process started, as reported for the server
}

// Conn is a connection to a server. From Acquire to Release or Discard only the caller of Acquire may use it.
type Conn struct {
	net.Conn
	Server Server
	Reader *bufio.Reader // reads from the connection, up to the bound set by LimitRead

	limit     io.LimitedReader
	idleSince time.Time
}

func newConn(conn net.Conn, server Server) *Conn {
	c := &Conn{Conn: conn, Server: server}
	c.limit.R = conn
	c.Reader = bufio.NewReaderSize(&c.limit, readBufferSize)
	return c
}

// ResetOnClose makes Close reset the connection: bytes that the server has not taken are dropped.
func (c *Conn) ResetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// LimitRead bounds how many more bytes Reader reads from the connection. After them Reader returns io.EOF.
func (c *Conn) LimitRead(bytes int64) { c.limit.N = bytes }

// UnlimitRead removes the bound set by LimitRead.
func (c *Conn) UnlimitRead() { c.limit.N = math.MaxInt64 }
