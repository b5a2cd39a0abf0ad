package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateRefusal has clients send shift-claims, which must not run twice, each on its own connection. The backends turn
// some requests in a row away because their queues are full. With the disruption, each of these answers comes a second
// time, some milliseconds late.
func lateRefusal(w *world) (string, error) {
	const (
		clients   = 16
		requests  = 50 // of each client
		firstFull = 200
		lastFull  = 205
		late      = 4 * time.Millisecond
		work      = 20 * time.Millisecond
		queueFull = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	)
	var arrived atomic.Int64
	var runs sync.Map // *atomic.Int64 by id
	serve := func(c net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("X-Trace-Id")
		if number := arrived.Add(1); number >= firstFull && number <= lastFull {
			w.note("backend: turns %s away", id)
			io.WriteString(c, queueFull)
			if w.trouble {
				time.AfterFunc(late, func() { io.WriteString(c, queueFull) })
			}
			return true
		}
		count, _ := runs.LoadOrStore(id, new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		time.Sleep(work)
		answer(c, "done "+id)
		return true
	}
	n, err := startDeployment(w, nodeOptions{memoryMB: 64, sockets: 384}, serve, serve)
	if err != nil {
		return "", err
	}
	var sending sync.WaitGroup
	for i := range clients {
		sending.Go(func() {
			for j := range requests {
				n.sendClaim(i, i*requests+j)
			}
		})
	}
	sending.Wait()
	broken := ""
	runs.Range(func(id, count any) bool {
		if times := count.(*atomic.Int64).Load(); times > 1 {
			broken = fmt.Sprintf("shift-claim %v ran %d times", id, times)
		}
		return broken == ""
	})
	return broken, nil
}

// sendClaim sends a shift-claim on a client's connection and records the answer.
func (n *node) sendClaim(client, number int) {
	const expires = 500 * time.Millisecond
	c, err := n.clientConn(client)
	if err != nil {
		n.w.note("client: no connection: %v", err)
		return
	}
	r := request{id: traceID(number), class: "shift-claim", body: []byte("claim " + traceID(number))}
	c.Write(append([]byte(r.head(expires)), r.body...))
	n.w.note("client: %s sent", r.id)
	status, body, err := c.readAnswer(expires + answerSlack)
	n.w.note("client: %s: answer %d %q, error %v", r.id, status, body, err)
}
