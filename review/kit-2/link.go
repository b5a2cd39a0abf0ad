package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a proxy to a server. It passes requests on at once and delays what the server answers.
type link struct {
	address  string
	server   string
	delay    time.Duration
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startLink starts a link to a server.
func startLink(server string, delay time.Duration) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("link: %v", err)
	}
	l := &link{address: listener.Addr().String(), server: server, delay: delay, listener: listener,
		conns: map[net.Conn]bool{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.passOn(client)
		}
	}()
	return l
}

// moveAway accepts no new connections, and closes the open ones after 1.5 s (TERMS, "Configuration changes").
func (l *link) moveAway() {
	l.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for conn := range l.conns {
			conn.Close()
		}
	})
}

// delayedPiece is a piece of an answer and the time at which it is due.
type delayedPiece struct {
	due  time.Time
	data []byte
}

// passOn connects a client with the server.
func (l *link) passOn(client net.Conn) {
	l.mu.Lock()
	l.conns[client] = true
	l.mu.Unlock()
	defer func() {
		client.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, client)
	}()
	upstream, err := net.Dial("tcp", l.server)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		io.Copy(upstream, client)
		upstream.(*net.TCPConn).CloseWrite()
	}()
	pieces := make(chan delayedPiece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := upstream.Read(buffer)
			if n > 0 {
				pieces <- delayedPiece{time.Now().Add(l.delay), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for piece := range pieces {
		time.Sleep(time.Until(piece.due))
		if _, err := client.Write(piece.data); err != nil {
			return
		}
	}
}
