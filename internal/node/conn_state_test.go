package node

import (
	"io"
	"net"
	"testing"
	"time"
)

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// Regression: two requests on idle connections that were being evicted got an orderly close and no response. The
// reading goroutine took bytes from the kernel after the connection had been marked as closed, and dropped them. Bytes
// that have been read have to be answered; bytes left unread are reset by the close, and the client sends them again.
func TestNothingIsReadOfAClosedConnection(t *testing.T) {
	client, server := tcpPair(t)
	conn := newClientConn(server, time.Now())
	read := make(chan int, 1)
	go func() {
		n, _ := conn.Read(make([]byte, 1<<10))
		read <- n
	}()
	time.Sleep(20 * time.Millisecond) // it waits for the first byte
	if !conn.closeIfWaiting(false) {
		t.Fatal("not ended")
	}
	io.WriteString(client, "GET /x HTTP/1.1\r\n")
	if n := receive(t, "the end of the read", read); n > 0 {
		t.Errorf("%d bytes served after the end", n)
	}
	if peekSocket(server.(*net.TCPConn)) != socketReadable {
		t.Error("what came after the end was read and dropped")
	}
}
