package lab

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// idleReconnectDelay is how long a client waits before it replaces an idle connection that the node has closed.
const idleReconnectDelay = 500 * time.Millisecond

// holdIdleConnections holds count connections to the node until ctx ends. On every third connection it sends a part of
// a request's head, and on the others nothing.
func (c *client) holdIdleConnections(ctx context.Context, count int) {
	var connections sync.WaitGroup
	for i := range count {
		sendsHead := i%3 == 0
		connections.Go(func() {
			for ctx.Err() == nil {
				c.holdIdleConnection(ctx, sendsHead)
				select {
				case <-ctx.Done():
				case <-time.After(idleReconnectDelay):
				}
			}
		})
	}
	connections.Wait()
}

// holdIdleConnection connects to the node and stays connected until the node closes the connection or ctx ends.
func (c *client) holdIdleConnection(ctx context.Context, sendsHead bool) {
	conn, err := c.dial()
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if sendsHead {
		io.WriteString(conn, http.MethodGet+incompleteHead)
	}
	io.Copy(io.Discard, conn)
}
