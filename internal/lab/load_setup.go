package lab

import (
	"context"
	"fmt"
	"os"
)

// Children answer calls of these paths with status 200 once they are ready.
const (
	livePath           = "/health/live"
	readyPath          = "/health/ready"
	adminHealthPath    = "/admin/health"
	registryStatusPath = "/registry/status"
)

// setUp starts the backends, discovery and the nodes.
func (run *loadRun) setUp(ctx context.Context) error {
	members := make([]Member, run.scenario.Backends)
	for j := range run.scenario.Backends {
		backend, addr, err := run.startChild(ctx, roleBackend, run.backendCommand(j), nil, livePath)
		if err != nil {
			return err
		}
		run.backendAddr = append(run.backendAddr, addr)
		members[j] = newMember(backend.Name, addr)
	}
	run.discovery = NewDiscovery(members)
	if run.scenario.Registries > 0 {
		if err := run.listInRegistry(ctx, members); err != nil {
			return err
		}
	}
	for i := range run.scenario.Nodes {
		if err := run.startNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// unreadLinkBuffer is the size of a link's buffers, in bytes, if backends stop reading.
const unreadLinkBuffer = 64 << 10

// newMember returns the entry of a stand-in backend in the endpoint list.
func newMember(id, addr string) Member {
	return Member{ID: id, HostPort: addr, Locality: "a", Flavor: "m", Phase: phaseReady, Size: 1}
}

// backendCommand returns a function that gives the command line of a stand-in backend that listens on addr.
func (run *loadRun) backendCommand(j int) func(addr string) []string {
	behavior := run.scenario.Backend
	return func(addr string) []string {
		argv := []string{run.opts.CommandBinary, "lab", "backend",
			"--id", processName(roleBackend, j),
			"--listen", addr,
			"--log", run.path("backend-%d.runs", j),
			"--service", behavior.ServiceTime.String(),
			"--errors", fmt.Sprint(behavior.ErrorShare),
			"--resets", fmt.Sprint(behavior.ResetShare),
			"--hangs", fmt.Sprint(behavior.HangShare),
			"--stops-reading", fmt.Sprint(behavior.StopReadingShare),
			"--seed", fmt.Sprint(run.scenario.Seed + uint64(j))}
		if behavior.RunTwice {
			argv = append(argv, "--twice")
		}
		return argv
	}
}

// listInRegistry starts the registry replicas and registers every backend with the address of a proxy. All nodes share
// this proxy, because the registry gives every node the same host_port.
func (run *loadRun) listInRegistry(ctx context.Context, members []Member) error {
	var keys []string
	if fleetScenario := run.scenario.Fleet; fleetScenario != nil {
		keys = []string{fmt.Sprintf("fleet_interval = %q", fleetScenario.Interval)}
	}
	if err := run.startRegistries(ctx, run.scenario.Registries, keys...); err != nil {
		return err
	}
	for j := range members {
		proxy, err := run.link(fmt.Sprintf("node-*:backend-%d", j), run.backendAddr[j])
		if err != nil {
			return err
		}
		members[j].HostPort = proxy.Addr()
	}
	return run.registerBackends(ctx, members)
}

// linkDiscovery starts a node's proxies and returns the addresses at which the node finds the endpoint list. With a
// registry, each replica has a proxy, and discovery is the first of them. Otherwise, discovery is the node's own view
// of the stand-in, and replicas is nil.
func (run *loadRun) linkDiscovery(i int) (discovery string, replicas []string, err error) {
	name := processName(roleNode, i)
	if run.scenario.Registries > 0 {
		replicas, err := run.linkRegistries(name)
		if err != nil {
			return "", nil, err
		}
		return replicas[0], replicas, nil
	}
	for j, addr := range run.backendAddr {
		backend := processName(roleBackend, j)
		proxy, err := run.link(name+":"+backend, addr)
		if err != nil {
			return "", nil, err
		}
		run.attempts.recordAttempts(proxy, name, backend)
		if run.scenario.Backend.StopReadingShare > 0 {
			proxy.limitBuffers(unreadLinkBuffer)
		}
	}
	discovery, err = run.openView(name)
	if err != nil {
		return "", nil, fmt.Errorf("discovery view for %s: %w", name, err)
	}
	return discovery, nil, nil
}

// openView opens a view of the stand-in discovery for a node, and returns the view's address. In the view, each backend
// has the address of the node's proxy to that backend.
func (run *loadRun) openView(node string) (addr string, err error) {
	return run.discovery.View(node, func(id string) string { return run.links[node+":"+id].Addr() })
}

// startNode starts a node's proxies and its discovery, writes its configuration, and starts the node and the clients'
// link to it.
func (run *loadRun) startNode(ctx context.Context, i int) error {
	name := processName(roleNode, i)
	discovery, replicas, err := run.linkDiscovery(i)
	if err != nil {
		return err
	}
	temporary := run.path("%s.tmp", name)
	config := run.path("%s.json", name)
	if err := os.MkdirAll(temporary, 0o755); err != nil {
		return err
	}
	_, admin := run.addresses.allocate()
	command := func(addr string) []string {
		text := run.nodeConfig(i, nodeAddresses{listen: addr, admin: admin, discovery: discovery, replicas: replicas})
		if err := os.WriteFile(config, text, 0o644); err != nil {
			run.log.Error("cannot write the node's configuration; starting the node without it", "component", "lab",
				"node", name, "error", err)
		}
		return run.tracedCommand(run.scenario.systemCallPlan(i), i, run.opts.NodeBinary)
	}
	env := []string{"BALANCER_CONFIG=" + config, "BALANCER_NAME=" + name, "TMPDIR=" + temporary}
	_, addr, err := run.startChild(ctx, roleNode, command, env, readyPath)
	if err != nil {
		return err
	}
	run.adminAddr = append(run.adminAddr, admin)
	run.listenAddr = append(run.listenAddr, addr)
	_, err = run.link("client-"+name, addr)
	return err
}

// newNodeClients creates the clients of each node. A soak injects no faults on the clients' links, and its clients
// connect to the nodes directly, because a proxy that waits for a processor would pass on a client's disconnect too
// late. Clients with long bodies connect directly too, because they have to know which bytes have reached the node's
// machine.
func (run *loadRun) newNodeClients() []*client {
	for i := range run.scenario.Nodes {
		if run.scenario.Soak != nil || run.scenario.Load.LongBodyShare > 0 || len(run.scenario.Abuse.Kinds) > 0 {
			run.clients = append(run.clients, &client{target: run.listenAddr[i]})
			continue
		}
		link := run.links["client-"+processName(roleNode, i)]
		run.clients = append(run.clients, &client{target: link.Addr(), link: link})
	}
	return run.clients
}

// closeDiscovery closes the stand-in discovery, if it was started.
func (run *loadRun) closeDiscovery() {
	if run.discovery != nil {
		run.discovery.Close()
	}
}
