package node

const (
	// minDescriptors is the smallest limit on descriptors that a node starts with.
	minDescriptors = 64
	// reservedDescriptors are reserved for all but clients and backends: listeners, discovery, standard streams, the
	// runtime.
	reservedDescriptors = 32
	// adminDescriptors are reserved for the second address, and for what a second process of the node opens.
	adminDescriptors = 16
	// defaultDescriptors is the limit where the configuration has none.
	defaultDescriptors = 1024
	// clientEighths is the clients' part of the descriptors, in eighths, with a second address: many of their connections
	// may be idle, and those need none at a backend.
	clientEighths = 5
)

// divideDescriptors divides the descriptors between connections of clients and connections to backends. A request in
// flight has one of each; backends need more for idle connections and health checks.
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
	return clients, n - clients
}
