package lab

import (
	"context"
	"fmt"
	"os"
	"strings"
)

// registryTiming is the raft timing of the lab's replicas. Its times are short, so that the replicas replace a failed
// leader within a second on loopback.
const registryTiming = `
[raft_timing]
heartbeat = "100ms"
election = "100ms"
leader_lease = "50ms"
commit = "5ms"
snapshot_interval = "5s"
snapshot_threshold = 1024
trailing_logs = 1024
`

// registryReplica holds a replica's addresses. Each replica's raft dials from its own host, by which the router in
// front of a peer recognizes the link.
type registryReplica struct {
	httpAddr       string // address of its HTTP API
	raftAddr       string // address that raft listens on
	raftHost       string // host that raft dials from
	advertisedAddr string // address of the router that its peers dial
}

// startRegistries starts n replicas and waits until they have elected a leader. The keys are lines that are added to
// the configuration of each replica. Raft's link from replica i to replica m is the proxy "registry-i:registry-m".
func (cluster *cluster) startRegistries(ctx context.Context, n int, keys ...string) error {
	replicas, err := cluster.linkReplicas(n)
	if err != nil {
		return err
	}
	for i := range replicas {
		if err := cluster.startReplica(ctx, i, replicas, keys); err != nil {
			return err
		}
	}
	_, err = cluster.waitLeader(ctx)
	return err
}

// linkReplicas allocates the addresses of n replicas, and places a proxy on each link between two of them.
func (cluster *cluster) linkReplicas(n int) ([]registryReplica, error) {
	replicas := make([]registryReplica, n)
	for m := range replicas {
		replica := &replicas[m]
		_, replica.httpAddr = cluster.addresses.allocate()
		replica.raftHost, replica.raftAddr = cluster.addresses.allocate()
		router, err := NewCallerRouter(replica.raftAddr)
		if err != nil {
			return nil, fmt.Errorf("router in front of registry-%d: %w", m, err)
		}
		replica.advertisedAddr = router.Addr()
		cluster.callerRouters = append(cluster.callerRouters, router)
	}
	for i, replica := range replicas {
		for m, router := range cluster.callerRouters {
			if m != i {
				name := fmt.Sprintf("registry-%d:registry-%d", i, m)
				cluster.links[name] = router.LinkFor(replica.raftHost, cluster.seed+uint64(i*n+m))
			}
		}
	}
	return replicas, nil
}

// startReplica writes a replica's configuration, starts it and waits until it is ready.
func (cluster *cluster) startReplica(ctx context.Context, i int, replicas []registryReplica, keys []string) error {
	name := processName(roleRegistry, i)
	config := cluster.path("%s.toml", name)
	if err := os.WriteFile(config, cluster.registryConfig(i, replicas, keys), 0o644); err != nil {
		return err
	}
	argv := cluster.tracedCommand(cluster.registryPlans[i], i, cluster.opts.CommandBinary, "registry", "serve",
		"--config", config)
	process := &Process{Name: name, env: os.Environ(), logPath: cluster.path("%s.log", name), argv: argv}
	cluster.processes[roleRegistry] = append(cluster.processes[roleRegistry], process)
	cluster.registryAddr = append(cluster.registryAddr, replicas[i].httpAddr)
	if err := process.Start(cluster.spawner); err != nil {
		return err
	}
	return awaitStart(ctx, process, replicas[i].httpAddr, registryStatusPath)
}

// registryConfig returns the content of a replica's configuration file.
func (cluster *cluster) registryConfig(i int, replicas []registryReplica, keys []string) []byte {
	name := processName(roleRegistry, i)
	var peers strings.Builder
	for m, peer := range replicas {
		fmt.Fprintf(&peers, "\n[[peer]]\nid = \"registry-%d\"\nraft = %q\nhttp = %q\n", m, peer.advertisedAddr,
			peer.httpAddr)
	}
	replica := replicas[i]
	return fmt.Appendf(nil, "id = %q\ndata_dir = %q\nhttp = %q\nraft = %q\nraft_listen = %q\nraft_from = %q\n"+
		"bootstrap = true\nstale_read = \"1s\"\n%s\n%s%s",
		name, cluster.path("%s.data", name), replica.httpAddr, replica.advertisedAddr, replica.raftAddr,
		replica.raftHost, strings.Join(keys, "\n"), registryTiming, peers.String())
}

// linkRegistries places proxies between one process and every replica, and returns the proxies' addresses.
func (cluster *cluster) linkRegistries(name string) ([]string, error) {
	var addrs []string
	for m, addr := range cluster.registryAddr {
		proxy, err := cluster.link(fmt.Sprintf("%s:registry-%d", name, m), addr)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, proxy.Addr())
	}
	return addrs, nil
}
