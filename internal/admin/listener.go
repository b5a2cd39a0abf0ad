package admin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// boundedListener bounds how many connections are open. A new connection beyond the bound evicts the one that has
// waited longest without a complete call; where every call is complete, it waits for the end of an answer.
type boundedListener struct {
	net.Listener
	maxConns int

	mu         sync.Mutex
	connEnded  *sync.Cond // with mu; also when the listener is closed
	openConns  int
	incomplete map[net.Conn]time.Time // connections without a complete call, and when they were accepted
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

// Accept returns the next connection once there is one fewer than the bound. After Close the error is net.ErrClosed.
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

// evictOrWait closes the oldest connection without a complete call, or waits until some connection has ended. It is
// called with mu, which it releases meanwhile.
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

// track is the server's ConnState: a connection with a complete call is not evicted any more.
func (l *boundedListener) track(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.incomplete, conn)
}

// Close closes the socket, and ends a wait in Accept.
func (l *boundedListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.connEnded.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// countedConn is a connection that is counted until it is closed.
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
