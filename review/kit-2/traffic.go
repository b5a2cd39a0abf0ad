package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// backend is a stand-in for a backend. It runs each request and answers it.
type backend struct {
	play *play
	name string
	work time.Duration // a request takes once to twice this time
	runs *runCount     // nil: not counted
}

// start starts the backend and returns its entry in the list.
func (b *backend) start() member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("backend: %v", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return member{ID: b.name, HostPort: listener.Addr().String(), Locality: "augusta", Flavor: "std", Phase: "ready",
		Size: 1}
}

// serve answers the requests on a connection, one after the other.
func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		body := "TEXT err_rps=0, rps=10, active=0"
		if strings.HasPrefix(request.URL.Path, "/api") {
			body = b.run(request.Header.Get("X-Trace-Id"))
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body),
			body)
		if err != nil {
			return
		}
	}
}

// run runs a request and returns the body of its answer.
func (b *backend) run(id string) string {
	b.play.note("%s runs %s", b.name, id)
	if b.runs != nil {
		b.runs.count()
	}
	time.Sleep(b.work + rand.N(b.work))
	return "answer to " + id
}

// runCount counts the requests that a backend starts, and those that it starts after a time.
type runCount struct {
	play  *play
	bound atomic.Int64 // on the play's clock; 0: not set
	all   atomic.Int64
	late  atomic.Int64
}

// count counts a request that starts now.
func (r *runCount) count() {
	r.all.Add(1)
	if bound := r.bound.Load(); bound > 0 && int64(time.Since(r.play.began)) > bound {
		r.late.Add(1)
	}
}

// startBackends starts three backends, and counts the requests that s-0 starts.
func startBackends(p *play, runs *runCount) (members []member) {
	for i := range 3 {
		b := &backend{play: p, name: fmt.Sprintf("s-%d", i), work: 10 * time.Millisecond}
		if i == 0 {
			b.runs = runs
		}
		members = append(members, b.start())
	}
	return members
}

// sendUntil sends requests, one after the other, until stop is closed. number is the client's own.
func sendUntil(p *play, address string, number int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", (number+1)<<32|k)
		p.note("client %d: %s answered %s", number, id, sendCheckin(client, address, id))
	}
}

// sendCheckin sends a visit-checkin and returns what the client sees.
func sendCheckin(client *http.Client, address, id string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/api", strings.NewReader("check-in "+id))
	if err != nil {
		giveUp("%v", err)
	}
	request.Host = "api.internal"
	request.Header.Set("X-Trace-Id", id)
	request.Header.Set("X-Qos", "visit-checkin")
	request.Header.Set("X-Expires-In", "0.500")
	request.Header.Set("Idempotency-Key", "key-"+id)
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	return response.Status
}
