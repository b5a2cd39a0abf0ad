package node

import (
	"context"
	"net"
	"strings"
	"testing"

	"hitchvale/balance"
)

// listenUDP opens a UDP socket on loopback that is closed when the test ends.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Datagrams are exchanged with the configured peers only, and datagrams that are too long are dropped.
func TestGossipWithConfiguredPeersOnly(t *testing.T) {
	peer, stranger := listenUDP(t), listenUDP(t)
	p, err := listenPeers(&Config{PeerListen: "127.0.0.1:0", PeersAll: peer.LocalAddr().String(),
		Peers: []string{"127.0.0.1:1", peer.LocalAddr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	type message struct {
		peer int
		text string
	}
	received := make(chan message, 16)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		p.run(ctx, func(peer int, payload []byte) { received <- message{peer, string(payload)} })
		close(ended)
	}()
	to := p.conn.LocalAddr().(*net.UDPAddr)
	// Datagrams from unknown senders and datagrams that are too long are dropped. Datagrams on loopback keep their order.
	stranger.WriteToUDP([]byte("stranger"), to)
	peer.WriteToUDP([]byte(strings.Repeat("x", maxDatagramBytes+1)), to)
	peer.WriteToUDP([]byte("hello"), to)
	if got := receive(t, "a datagram", received); got != (message{1, "hello"}) {
		t.Errorf("received %+v, want \"hello\" from peer 1", got)
	}
	// Datagrams that are too long or for an unknown peer are not sent.
	p.enqueue(1, make([]byte, maxDatagramBytes+1))
	p.enqueue(7, []byte("nobody"))
	p.enqueue(1, []byte("one"))
	p.enqueue(balance.AllPeers, []byte("all"))
	buf := make([]byte, 2*maxDatagramBytes)
	for _, want := range []string{"one", "all"} {
		n, _, err := peer.ReadFromUDP(buf)
		if err != nil || string(buf[:n]) != want {
			t.Errorf("the peer received %q, error %v, want %q", buf[:n], err, want)
		}
	}
	cancel()
	receive(t, "the end of run", ended)
}
