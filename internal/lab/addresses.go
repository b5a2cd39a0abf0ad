package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// claimPort is the port on which a run listens at the first address of its block. While it listens, no other run can
	// claim the block.
	claimPort = 9
	// maxClaimAttempts bounds the search for a free block.
	maxClaimAttempts = 256
	// firstPort is the first port allocated on each address of a block.
	firstPort = 20000
	// blockHosts is the number of addresses of a block that are allocated (127.A.B.2 to 127.A.B.254).
	blockHosts = 253
)

// errNoBlock says that no free block of loopback addresses was found.
var errNoBlock = errors.New("no block of loopback addresses is free: end other runs of the lab")

// addresses allocates loopback addresses that nothing else on this machine uses. A run claims a block 127.A.B.0/24
// (A from 64 to 127) by listening on an address of it. Outgoing connections don't use the block's ports either, because
// their source address is 127.0.0.1. A child may therefore bind its address later, and bind it again after a restart.
type addresses struct {
	claim net.Listener
	a     int // second byte of the block's addresses
	b     int // third byte of the block's addresses

	mu   sync.Mutex
	next int // number of addresses allocated so far
}

// claimAddresses claims a free block, chosen at random. The caller must call close to release the block.
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

// allocate returns an address (host:port) of the block that was not allocated before, and its host.
func (a *addresses) allocate() (host, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.next
	a.next++
	host = fmt.Sprintf("127.%d.%d.%d", a.a, a.b, 2+n%blockHosts)
	return host, fmt.Sprintf("%s:%d", host, firstPort+n/blockHosts)
}

// close releases the block.
func (a *addresses) close() { a.claim.Close() }
