package lab

import (
	"net"
	"sync"
)

// CallerRouter is one address before a process whose callers each dial from a loopback address of their own: it hands
// each connection to the fault proxy of its caller's link. Callers that have no link are refused with a reset.
type CallerRouter struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	links map[string]*Proxy // by the caller's host
	done  chan struct{}
}

// NewCallerRouter listens on a port of 127.0.0.1 that the system picks, for links to target (host:port).
func NewCallerRouter(target string) (*CallerRouter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &CallerRouter{ln: ln, target: target, links: map[string]*Proxy{}, done: make(chan struct{})}
	go f.acceptLoop()
	return f, nil
}

// Addr is where the fan listens.
func (router *CallerRouter) Addr() string { return router.ln.Addr().String() }

// LinkFor places the link of the caller that dials from host. Whoever asked for it closes it.
func (router *CallerRouter) LinkFor(host string, seed uint64) *Proxy {
	router.mu.Lock()
	defer router.mu.Unlock()
	p := newProxy(router.target, seed)
	router.links[host] = p
	return p
}

// Close stops accepting; the links stay until they are closed.
func (router *CallerRouter) Close() {
	router.ln.Close()
	<-router.done
}

func (router *CallerRouter) acceptLoop() {
	defer close(router.done)
	for {
		c, err := router.ln.Accept()
		if err != nil {
			return
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		router.mu.Lock()
		p := router.links[host]
		router.mu.Unlock()
		if p == nil {
			abort(c)
			continue
		}
		p.accepted(c)
	}
}
