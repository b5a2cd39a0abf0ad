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
	router := &CallerRouter{ln: ln, target: target, links: map[string]*Proxy{}, done: make(chan struct{})}
	go router.acceptLoop()
	return router, nil
}

// Addr is where the router listens.
func (router *CallerRouter) Addr() string { return router.ln.Addr().String() }

// LinkFor places the link of the caller that dials from host. The caller of LinkFor closes the link.
func (router *CallerRouter) LinkFor(host string, seed uint64) *Proxy {
	router.mu.Lock()
	defer router.mu.Unlock()
	proxy := newProxy(router.target, seed)
	router.links[host] = proxy
	return proxy
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
		proxy := router.links[host]
		router.mu.Unlock()
		if proxy == nil {
			abort(c)
			continue
		}
		proxy.handle(c)
	}
}
