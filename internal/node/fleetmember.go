package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/fleet"
)

const (
	// fleetTop is how many heavy tenants a report names.
	maxReportedTenants = 8
	// fleetDialTimeout bounds connecting to a replica of the registry.
	fleetDialTimeout = time.Second
	// fleetAsk bounds how long a report waits for the loop.
	loadQueryTimeout = 500 * time.Millisecond
)

// fleetPart is a node's part in the fleet's view, where the configuration has one: it gathers what a report tells.
type fleetMember struct {
	node       *Node
	agent      *fleet.Agent
	httpClient *http.Client

	mu           sync.Mutex
	tenantByConn map[net.Conn]string // the tenant that asked last on each connection of a client
	workByTenant *fleet.Sketch       // seconds of backends, by tenant, since the last report

	// Of the last report, for the agent alone: what rates are counted from.
	lastReportAt             time.Time
	lastCPUTime              time.Duration
	lastRejected, lastFailed int64
}

func newFleetMember(n *Node) *fleetMember {
	c := n.cfg.Fleet
	p := &fleetMember{node: n, tenantByConn: map[net.Conn]string{}, workByTenant: fleet.NewSketch(c.Tenants), lastReportAt: time.Now(), lastCPUTime: cpuTime(),
		httpClient: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
			DialContext: (&net.Dialer{Timeout: fleetDialTimeout}).DialContext}}}
	interval := time.Duration(c.IntervalMs) * time.Millisecond
	client := &fleet.Client{Replicas: c.Registry, HTTP: p.httpClient}
	p.agent = fleet.NewAgent(fleet.AgentConfig{Node: n.cfg.Name, Site: c.Site, Address: n.cfg.Listen, Interval: interval,
		OnView: newMaintenanceDriver(n, client).onView}, rand.Text(), client, p.report, n.log)
	n.front.fleet, n.loop.onServed, n.loop.openStreams = p, p.requestServed, map[string]int{}
	return p
}

// run takes part until ctx ends, or until a newer process has the node's name.
func (p *fleetMember) run(ctx context.Context) {
	defer p.httpClient.CloseIdleConnections()
	p.agent.Run(ctx) // it logs why it ends
}

// tenant names whose request it is: its tenant, or its class where the site has no tenants.
func (p *fleetMember) tenant(r *request) string {
	names := p.node.cfg.Settings
	if len(names.Tenants) > 0 {
		return names.Tenants[r.tenant]
	}
	return names.Classes[r.class]
}

// asked takes in that a request came on a connection.
func (p *fleetMember) requestStarted(c net.Conn, r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tenantByConn[c] = p.tenant(r)
}

// closed takes in that a connection of a client has ended.
func (p *fleetMember) connClosed(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.tenantByConn, c)
}

// worked takes in that a backend has served a request.
func (p *fleetMember) requestServed(r *request, spent time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workByTenant.Add(p.tenant(r), spent.Seconds())
}

// report is what the node has to tell by now.
func (p *fleetMember) report() fleet.Report {
	now, cpu := time.Now(), cpuTime()
	span := max(now.Sub(p.lastReportAt).Seconds(), 1e-3)
	var refused, failed int64
	for i := range p.node.counters.outcomes {
		refused += p.node.counters.outcomes[i].rejected.Load()
		failed += p.node.counters.outcomes[i].failed.Load()
	}
	r := fleet.Report{Draining: p.node.front.shutdown.begun(), Endpoints: p.endpointLoads()}
	r.Metrics = fleet.LoadMetrics{
		Connections: float64(p.node.front.held()), DescriptorLimit: float64(cmp.Or(p.node.cfg.Limits.Sockets, defaultDescriptors)),
		CPUFraction:       (cpu - p.lastCPUTime).Seconds() / span / cmp.Or(p.node.cfg.Limits.Cores, 1),
		InFlight:          float64(p.node.front.inFlight.Load()),
		RejectedPerSecond: float64(refused-p.lastRejected) / span, FailedPerSecond: float64(failed-p.lastFailed) / span,
	}
	toBackends, _ := p.node.pool.size()
	r.Metrics.Descriptors = r.Metrics.Connections + float64(toBackends)
	p.lastReportAt, p.lastCPUTime, p.lastRejected, p.lastFailed = now, cpu, refused, failed

	byConns := fleet.NewSketch(p.node.cfg.Fleet.Tenants)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, tenant := range p.tenantByConn {
		byConns.Add(tenant, 1)
	}
	r.TenantsByConnections, r.TenantsByWork = byConns.Top(maxReportedTenants), p.workByTenant.Top(maxReportedTenants)
	p.workByTenant.Clear()
	return r
}

// backends asks the loop what the module has found of them; none where the loop is too busy to say.
func (p *fleetMember) endpointLoads() []fleet.EndpointLoad {
	ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
	defer cancel()
	reply := make(chan []fleet.EndpointLoad, 1)
	loads, err := query(ctx, p.node.loop, endpointLoadQuery{reply}, reply)
	if err != nil {
		return nil
	}
	return loads
}

func fleetEndpointLoad(id string, s balance.EndpointLoad) fleet.EndpointLoad {
	return fleet.EndpointLoad{ID: id, QueueEstimate: s.QueueEstimate, Outstanding: s.InFlight, FailureRate: s.FailureRate}
}

// processTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
