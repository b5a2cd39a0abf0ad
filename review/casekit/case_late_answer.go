package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// requestsPerClient is how many requests each client of lateAnswer sends.
const requestsPerClient = 10

// lateAnswer has clients send requests one after the other, each on its own connection. With the disruption, a backend
// writes one of its answers a second time, some milliseconds late.
func lateAnswer(w *world) (string, error) {
	const (
		clients  = 3
		requests = requestsPerClient
		spoilt   = 8 // the number of the answer that is written twice
		late     = 4 * time.Millisecond
		work     = 20 * time.Millisecond
	)
	var answers atomic.Int64
	serve := func(c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(work)
		id := r.Header.Get("X-Trace-Id")
		answer(c, "done "+id)
		if answers.Add(1) == spoilt && w.trouble {
			time.AfterFunc(late, func() {
				answer(c, "done "+id)
				w.note("backend: second answer to %s written, %v after the first", id, late)
			})
		}
		return true
	}
	n, err := startDeployment(w, nodeOptions{memoryMB: 64, sockets: 384}, serve)
	if err != nil {
		return "", err
	}
	var sending sync.WaitGroup
	broken := make([]string, clients)
	failed := make([]error, clients)
	for i := range clients {
		sending.Go(func() {
			for j := 0; j < requests && failed[i] == nil && broken[i] == ""; j++ {
				broken[i], failed[i] = n.claim(i*requests + j)
			}
		})
	}
	sending.Wait()
	return firstOf(broken, failed)
}

// claim sends a small shift-claim on the client's connection number and says what is wrong with its answer.
func (n *node) claim(number int) (broken string, err error) {
	const expires = 500 * time.Millisecond
	c, err := n.clientConn(number / requestsPerClient)
	if err != nil {
		return "", err
	}
	r := request{id: traceID(number), class: "shift-claim", body: []byte("claim " + traceID(number))}
	if _, err := c.Write(append([]byte(r.head(expires)), r.body...)); err != nil {
		return "", fmt.Errorf("%w: request not written: %w", errNotRun, err)
	}
	n.w.note("client: %s sent", r.id)
	status, body, err := c.readAnswer(expires + answerSlack)
	n.w.note("client: %s: answer %d %q, error %v", r.id, status, body, err)
	switch {
	case err != nil:
		return "", fmt.Errorf("%w: %s got no answer: %w", errNotRun, r.id, err)
	case status == http.StatusOK && body != "done "+r.id:
		return fmt.Sprintf("%s was answered 200 with %q, the answer to another request", r.id, body), nil
	}
	return "", nil
}

// firstOf returns the first break of the rule, or else the first error.
func firstOf(broken []string, failed []error) (string, error) {
	for _, text := range broken {
		if text != "" {
			return text, nil
		}
	}
	for _, err := range failed {
		if err != nil {
			return "", err
		}
	}
	return "", nil
}
