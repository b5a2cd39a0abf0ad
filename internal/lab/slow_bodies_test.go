package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowBodies is a scenario in which every third request has a long body that its client sends slowly.
const slowBodies = `
name = "slow bodies"
seed = 49
duration = "2s"
nodes = 2
backends = 2
grace = "2500ms"
[load]
rate = 40
deadline = "2s"
unsafe = 0.5
keyed = 0.5
slow_bodies = 0.33
[backend]
service = "5ms"
`

// Guards against review case 2 on real processes: requests whose bodies take up to 12 s all get their final response,
// most of them from a backend. Nodes with little memory stream bodies of more than 64 KiB.
func TestSlowBodiesAreAnswered(t *testing.T) {
	t.Parallel()
	for name, memoryMB := range map[string]string{"buffered": "256", "streamed": "8"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := runScenario(t, strings.Replace(slowBodies, "backends = 2", "backends = 2\nmemory_mb = "+memoryMB, 1))
			requireChecks(t, report)
			if served := report.Counts[kindServed]; served < 72 { // 80 are sent
				t.Errorf("%d of 80 requests were served: %v", served, report.Counts)
			}
		})
	}
}

// A client whose node responds before it has the complete body, and then closes the connection, reads that response.
func TestResponseBeforeTheEndOfABody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conn.Read(make([]byte, 1<<10)) // the close over unread bytes resets the connection
		io.WriteString(conn, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
		conn.Close()
	}()
	client := &client{target: listener.Addr().String()}
	conn, err := client.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := &clientRequest{trace: "a", class: classClaim, body: longBody{padding: 1 << 20}}
	request.deadline = time.Now().Add(20 * time.Second)
	io.WriteString(conn, request.text()[:64<<10])
	conn.unsentRemainder = strings.Repeat(" ", 32<<20) // more than the socket takes
	var outcome Outcome
	if !client.sendOn(conn, request, &outcome) || outcome.Status != http.StatusBadGateway || outcome.Resent {
		t.Errorf("got outcome %+v, want the response with status 502", outcome)
	}
}

// A backend executes no request whose body breaks off, and executes it once if the body is complete.
func TestBrokenBodyIsNotExecuted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := filepath.Join(t.TempDir(), "backend.runs")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- ServeBackend(ctx, listener, "backend-0", BackendBehavior{}, log, 1) }()
	for trace, body := range map[string]string{"broken": "half", "complete": "complete"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nContent-Length: 8\r\n\r\n%s", trace, body)
		conn.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, conn) // until the backend has responded, or closed the connection
		conn.Close()
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	executions, err := ReadExecutions(log)
	if err != nil || len(executions) != 1 || executions[0].Trace != "complete" {
		t.Errorf("executions %+v, error %v, want that of the complete request", executions, err)
	}
}

// A slow body takes as long as it was drawn for, at slowBodyRate, and both of its forms are read back complete.
func TestSlowBodyIsWrittenAtItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 8 {
			request := &clientRequest{trace: "a", class: classClaim, body: drawSlowBody(rng)}
			var sent strings.Builder
			began := time.Now()
			writeSlowly(t.Context(), &sent, request.textWithTimeout(time.Second))
			took := time.Since(began)
			want := time.Duration(sent.Len()) * time.Second / slowBodyRate
			if took < want || took > want+2*slowBodyInterval {
				t.Errorf("%d bytes took %v, want %v", sent.Len(), took, want)
			}
			received, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent.String())))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(received.Body)
			if err != nil || !strings.HasPrefix(string(body), `{"claim":"a"}`) || len(body) < request.body.padding {
				t.Errorf("%+v: read %d bytes, error %v", request.body, len(body), err)
			}
		}
	})
}
