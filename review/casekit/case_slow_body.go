package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// slowBody sends one request with a body of 1 MB. With the disruption its client writes 72 kB a second, which is more
// than the page's slowest client.
func slowBody(w *world) (string, error) {
	const (
		bodyBytes = 1_000_000
		piece     = 3_600
		pause     = 50 * time.Millisecond // after each piece
		work      = 20 * time.Millisecond
		expires   = 500 * time.Millisecond
	)
	ran := make(chan string, 1)
	serve := func(c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(work)
		ran <- r.Header.Get("X-Trace-Id")
		answer(c, "done "+r.Header.Get("X-Trace-Id"))
		return true
	}
	n, err := startDeployment(w, nodeOptions{memoryMB: 192, sockets: 1024, admin: true}, serve, serve)
	if err != nil {
		return "", err
	}
	c, err := n.clientConn(0)
	if err != nil {
		return "", err
	}
	r := request{id: traceID(0), class: "shift-claim", body: bytes.Repeat([]byte("x"), bodyBytes)}
	began := time.Now()
	c.SetWriteDeadline(began.Add(time.Minute))
	if _, err := c.Write([]byte(r.head(expires))); err != nil {
		return "", fmt.Errorf("%w: head not written: %w", errNotRun, err)
	}
	for sent := 0; sent < bodyBytes; sent += piece {
		if _, err := c.Write(r.body[sent:min(sent+piece, bodyBytes)]); err != nil {
			return "", fmt.Errorf("%w: connection ended after %d bytes of the body: %w", errNotRun, sent, err)
		}
		if w.trouble {
			time.Sleep(time.Until(began.Add(time.Duration(sent/piece+1) * pause)))
		}
	}
	w.note("client: last byte of %s written after %.2f s", r.id, time.Since(began).Seconds())
	status, body, err := c.readAnswer(expires + answerSlack)
	w.note("client: %s: answer %d %q, error %v", r.id, status, body, err)
	if err != nil {
		return fmt.Sprintf("%s was taken, a backend ran it %d times, and it got no answer: %v", r.id, len(ran), err), nil
	}
	return "", nil
}
