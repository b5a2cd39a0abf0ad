package node

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// connReadBuffer is the size of a connection's read buffer, in bytes. What is large is read past it.
	connReadBuffer = 2 << 10
	// maxInformational is how many 1xx responses may precede the final one.
	maxInformational = 8
	// maxResponseBytes bounds a response as it comes over the connection: small chunks take several times their body.
	maxResponseBytes = maxHeadBytes + 4*maxBodyBytes
)

// backendProcess identifies one process of a backend.
type backendProcess struct {
	addr      string
	startedAt time.Duration // as discovery sent it: Unix time
}

// backendConn is a connection to a backend.
type backendConn struct {
	net.Conn
	process   backendProcess
	limit     io.LimitedReader // of reader, by what the response may still take
	reader    *bufio.Reader
	idleSince time.Time
}

func newBackendConn(conn net.Conn, process backendProcess) *backendConn {
	c := &backendConn{Conn: conn, process: process}
	c.limit.R = conn
	c.reader = bufio.NewReaderSize(&c.limit, connReadBuffer)
	return c
}

// readResponseHead reads the head of the response to a request, past any 1xx responses. At most maxResponseBytes can
// be read of the response, until unlimit is called.
func (c *backendConn) readResponseHead(method string) (*http.Response, error) {
	c.limit.N = maxResponseBytes
	req := &http.Request{Method: method}
	for range maxInformational {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		informational := resp.StatusCode >= 100 && resp.StatusCode < 200
		if !informational || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many 1xx responses")
}

// unlimit lifts the bound of the response, which is streamed.
func (c *backendConn) unlimit() { c.limit.N = math.MaxInt64 }

// check says whether an idle connection is still open, with nothing to be read on it. A backend that was restarted
// under its old address leaves connections behind on which a request would be lost.
func (c *backendConn) check() socketState {
	if c.reader.Buffered() > 0 {
		return socketReadable
	}
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return peekSocket(conn)
	}
	return socketPeerClosed // can't be checked
}
