package node

import "math"

const (
	// minDescriptors is the smallest limit on descriptors with which a node starts.
	minDescriptors = 64
	// reservedDescriptors are reserved for everything except connections of clients and to backends: listeners, discovery,
	// standard streams, the runtime.
	reservedDescriptors = 32
	// adminDescriptors are reserved for the admin server and for the descriptors that a second process of the node opens.
	adminDescriptors = 16
	// defaultDescriptors is the limit if the configuration has none.
	defaultDescriptors = 1024
	// clientEighths is the part of the descriptors, in eighths, for connections of clients if the node has an admin
	// address. Many of these connections may be idle, and an idle connection needs none to a backend.
	clientEighths = 5
	// connectionMemory is about how many bytes a client's connection takes, some of them with a request in flight.
	connectionMemory = 40 << 10
	// requestMemory is about how many bytes a connection with a streamed request in flight takes.
	requestMemory = 48 << 10
	// minConnections is how many connections of clients, and requests in flight, any node may have, however little memory
	// it has.
	minConnections = 192
)

// divideDescriptors divides the descriptors between connections of clients and connections to backends. A request in
// flight uses one of each kind. Idle connections to backends and health checks need further descriptors. admin says
// whether the node has an admin address. The memory bounds the connections of clients too.
func (l Limits) divideDescriptors(admin bool) (clients, backends int) {
	n := l.Sockets
	if n == 0 {
		n = defaultDescriptors
	}
	n -= reservedDescriptors
	if admin {
		n -= min(adminDescriptors, n/2)
		clients = n * clientEighths / 8
	} else {
		clients = n / 2
	}
	return min(clients, l.countByMemory(connectionMemory)), n - clients
}

// maxRequests returns how many requests may be in flight as far as the memory suffices.
func (l Limits) maxRequests() int { return l.countByMemory(requestMemory) }

// countByMemory returns how many times size bytes the memory has beside reservedMemory.
func (l Limits) countByMemory(size int64) int {
	if l.MemoryMB == 0 {
		return math.MaxInt
	}
	return int(max((l.MemoryMB<<20-reservedMemory)/size, minConnections))
}
