package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// claimPort is the port of a block's first address that its run listens on, so that no other run takes the block.
	claimPort = 9
	// maxClaimAttempts bounds the search for a block that is free.
	maxClaimAttempts = 256
	// firstPort is the first port allocated on each address of a block.
	firstPort = 20000
	// blockHosts is how many addresses of a block are allocated (127.A.B.2 to 127.A.B.254).
	blockHosts = 253
)

// errNoBlock says that no block of loopback addresses was free.
var errNoBlock = errors.New("no block of loopback addresses is free: end other runs of the lab")

// addresses allocates loopback addresses that nothing else on this machine takes: a run claims a block 127.A.B.0/24
// (A from 64 to 127) by listening in it, and outgoing connections have 127.0.0.1 as their source. So a child may bind
// its address later, and bind it again after a restart.
type addresses struct {
	claim net.Listener
	a     int
	b     int

	mu   sync.Mutex
	next int
}

// claimAddresses claims a free block.
func claimAddresses() (*addresses, error) {
	for range maxClaimAttempts {
		a, b := 64+rand.IntN(64), rand.IntN(256)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", a, b, claimPort))
		if err == nil {
			return &addresses{claim: ln, a: a, b: b}, nil
		}
	}
	return nil, errNoBlock
}

// allocate returns a host and an address (host:port) of the block that were not allocated before.
func (a *addresses) allocate() (host, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.next
	a.next++
	host = fmt.Sprintf("127.%d.%d.%d", a.a, a.b, 2+n%blockHosts)
	return host, fmt.Sprintf("%s:%d", host, firstPort+n/blockHosts)
}

func (a *addresses) close() { a.claim.Close() }
