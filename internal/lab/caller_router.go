package lab

import (
	"net"
	"sync"
)

// CallerRouter listens at one address in front of a process. Each of its callers dials from a loopback address of its
// own, by which the router finds the fault proxy of the caller's link and passes the connection on to it. A connection
// of a caller without a link is reset. The caller of NewCallerRouter must call Close.
type CallerRouter struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	links map[string]*Proxy // by the caller's host
	done  chan struct{}
}

// NewCallerRouter starts a router that listens on a free port of 127.0.0.1, for links to target (host:port).
func NewCallerRouter(target string) (*CallerRouter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	router := &CallerRouter{ln: ln, target: target, links: map[string]*Proxy{}, done: make(chan struct{})}
	go router.acceptLoop()
	return router, nil
}

// Addr returns the address on which the router listens.
func (router *CallerRouter) Addr() string { return router.ln.Addr().String() }

// LinkFor adds a link for the caller that dials from host, and returns the link's proxy. The caller of LinkFor must
// close the proxy.
func (router *CallerRouter) LinkFor(host string, seed uint64) *Proxy {
	router.mu.Lock()
	defer router.mu.Unlock()
	proxy := newProxy(router.target, seed)
	router.links[host] = proxy
	return proxy
}

// Close stops accepting connections. It does not close the links' proxies.
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
