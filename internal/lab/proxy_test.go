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

// A partitioned link carries nothing, and what was sent arrives once it heals; a reset breaks open connections.
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
		t.Fatalf("before: %q %v", got, err)
	}
	p.Partition(true)
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := roundTrip("two\n"); err == nil {
		t.Fatalf("through a partition: %q", got)
	}
	p.Partition(false)
	c.SetReadDeadline(time.Time{})
	if got, err := r.ReadString('\n'); err != nil || got != "two\n" {
		t.Fatalf("after the heal: %q %v", got, err)
	}
	p.Reset()
	if _, err := r.ReadString('\n'); err == nil {
		t.Fatal("a reset connection still reads")
	}
}

// The lab's cost per request through a fault proxy, beside the direct path in the same run: compare the two
// ns/op figures (the target is under 5 % of throughput lost).
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
			b.SetParallelism(8) // enough requests under way that throughput, not one round trip, is measured
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
