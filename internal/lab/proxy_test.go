package lab

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A partitioned link carries no data, and data sent meanwhile arrives after the partition. A reset ends open
// connections.
func TestProxyHoldsDataDuringPartition(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	p, err := NewProxy(echo.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	roundTrip := func(line string) (string, error) {
		if _, err := io.WriteString(c, line); err != nil {
			return "", err
		}
		return r.ReadString('\n')
	}
	if got, err := roundTrip("one\n"); err != nil || got != "one\n" {
		t.Fatalf("before the partition: got %q, error %v, want \"one\\n\"", got, err)
	}
	p.Partition(true)
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := roundTrip("two\n"); err == nil {
		t.Fatalf("data arrived during the partition: %q", got)
	}
	p.Partition(false)
	c.SetReadDeadline(time.Time{})
	if got, err := r.ReadString('\n'); err != nil || got != "two\n" {
		t.Fatalf("after the partition: got %q, error %v, want \"two\\n\"", got, err)
	}
	p.Reset()
	if _, err := r.ReadString('\n'); err == nil {
		t.Fatal("a read succeeded on a connection after its reset")
	}
}

// BenchmarkProxyOverhead measures requests through a fault proxy and without one. The difference between the two ns/op
// figures is the proxy's cost (the target is a loss of less than 5 % of throughput).
func BenchmarkProxyOverhead(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") }))
	defer srv.Close()
	p, err := NewProxy(srv.Listener.Addr().String(), 1)
	if err != nil {
		b.Fatal(err)
	}
	defer p.Close()
	for _, c := range []struct{ name, addr string }{{"direct", srv.Listener.Addr().String()}, {"proxy", p.Addr()}} {
		b.Run(c.name, func(b *testing.B) {
			tr := &http.Transport{MaxIdleConnsPerHost: 128}
			defer tr.CloseIdleConnections()
			client := &http.Client{Transport: tr}
			b.SetParallelism(8) // enough requests in flight to measure throughput and not the round trip of one request
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					resp, err := client.Get("http://" + c.addr + "/")
					if err != nil {
						b.Error(err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		})
	}
}
