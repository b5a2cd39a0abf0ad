package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// hungUpload sends some requests with bodies of 3 to 5 MB at once. With the disruption one of the two backends hangs:
// its machine accepts connections, and the process reads nothing and answers nothing.
func hungUpload(w *world) (string, error) {
	const (
		clients = 6
		work    = 20 * time.Millisecond
	)
	serve := func(c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(work)
		answer(c, "done "+r.Header.Get("X-Trace-Id"))
		return true
	}
	second := serve
	if w.trouble {
		second = nil
	}
	n, err := startDeployment(w, nodeOptions{memoryMB: 64, sockets: 384, admin: true}, serve, second)
	if err != nil {
		return "", err
	}
	var sending sync.WaitGroup
	broken := make([]string, clients)
	failed := make([]error, clients)
	for i := range clients {
		sending.Go(func() { broken[i], failed[i] = n.upload(i, (3+i%3)*1_000_000) })
	}
	sending.Wait()
	return firstOf(broken, failed)
}

// upload sends a shift-claim with a long body and says what is wrong with its answer.
func (n *node) upload(number, bodyBytes int) (broken string, err error) {
	const (
		expires = 500 * time.Millisecond
		watched = 15 * time.Second // longer than the rule needs, to see when the answer comes
	)
	c, err := n.clientConn(number)
	if err != nil {
		return "", err
	}
	r := request{id: traceID(number), class: "shift-claim", body: bytes.Repeat([]byte("x"), bodyBytes)}
	began := time.Now()
	c.SetWriteDeadline(began.Add(watched))
	if _, err := c.Write(append([]byte(r.head(expires)), r.body...)); err != nil {
		n.w.note("client: %s not written: %v", r.id, err)
		return "", nil // not taken
	}
	n.w.note("client: %s with a body of %d bytes written", r.id, bodyBytes)
	for unacknowledged(c.Conn) != 0 {
		if time.Since(began) > watched {
			n.w.note("client: %s: not all bytes reached the node's machine; it is not taken", r.id)
			return "", nil
		}
		time.Sleep(time.Millisecond)
	}
	taken := time.Now()
	n.w.note("client: %s: the node's machine has the last byte, after %.3f s", r.id, taken.Sub(began).Seconds())
	status, body, err := c.readAnswer(watched)
	took := time.Since(taken)
	n.w.note("client: %s: answer %d %q, error %v, %.3f s after the last byte", r.id, status, body, err, took.Seconds())
	if err != nil || took > expires+answerSlack {
		return fmt.Sprintf("%s had to be answered within %.2f s; after %.2f s: status %d, error %v",
			r.id, (expires + answerSlack).Seconds(), took.Seconds(), status, err), nil
	}
	return "", nil
}

// unacknowledged returns how many of the bytes written to a connection have not reached the other machine.
func unacknowledged(c net.Conn) int {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return -1
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1
	}
	bytes := -1
	raw.Control(func(fd uintptr) { bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return bytes
}
