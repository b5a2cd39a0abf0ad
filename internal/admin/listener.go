package admin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// boundedListener limits the number of open connections. A new connection beyond the limit evicts the oldest connection
// without a complete call. If all connections have a complete call, the new connection waits until a connection ends.
type boundedListener struct {
	net.Listener
	maxConns int

	mu         sync.Mutex
	connEnded  *sync.Cond // uses mu; signals the end of a connection and the close of the listener
	openConns  int
	incomplete map[net.Conn]time.Time // connections without a complete call, and the times they were accepted
	closed     bool
}

func newBoundedListener(listener net.Listener, maxConns int) *boundedListener {
	l := &boundedListener{
		Listener:   listener,
		maxConns:   maxConns,
		incomplete: map[net.Conn]time.Time{},
	}
	l.connEnded = sync.NewCond(&l.mu)
	return l
}

// Accept returns the next connection when fewer than maxConns are open. After Close the error is net.ErrClosed.
func (l *boundedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.openConns >= l.maxConns && !l.closed {
		l.evictOrWait()
	}
	if l.closed {
		accepted.Close()
		return nil, net.ErrClosed
	}
	l.openConns++
	counted := &countedConn{Conn: accepted, release: sync.OnceFunc(l.release)}
	l.incomplete[counted] = time.Now()
	return counted, nil
}

// evictOrWait closes the oldest connection without a complete call. If there is none, it waits until a connection has
// ended or the listener is closed. The caller holds mu, which evictOrWait releases in the meantime.
func (l *boundedListener) evictOrWait() {
	var oldest net.Conn
	for conn, acceptedAt := range l.incomplete {
		if oldest == nil || acceptedAt.Before(l.incomplete[oldest]) {
			oldest = conn
		}
	}
	if oldest == nil {
		l.connEnded.Wait()
		return
	}
	delete(l.incomplete, oldest)
	l.mu.Unlock()
	oldest.Close()
	l.mu.Lock()
}

// release counts the end of a connection.
func (l *boundedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns--
	l.connEnded.Broadcast()
}

// track is the ConnState hook of the server. A connection that leaves StateNew has a complete call or has ended, so it
// is no longer evicted.
func (l *boundedListener) track(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.incomplete, conn)
}

// Close closes the socket and ends a waiting Accept.
func (l *boundedListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.connEnded.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
