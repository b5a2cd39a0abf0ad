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
	// maxReportedTenants is how many tenants with the highest load a report names.
	maxReportedTenants = 8
	// fleetDialTimeout bounds how long connecting to a replica of the registry may take.
	fleetDialTimeout = time.Second
	// fleetIdleConnTimeout is how long an idle connection to a replica is kept open.
	fleetIdleConnTimeout = 10 * time.Second
	// maxFleetConnections bounds the number of connections to each replica.
	maxFleetConnections = 2
	// loadQueryTimeout bounds how long a report waits for an answer of the event loop.
	loadQueryTimeout = 500 * time.Millisecond
	// minReportSpanSeconds is the least time between two reports that rates are computed with. It avoids a division by
	// zero.
	minReportSpanSeconds = 1e-3
)

// fleetMember is the membership of the node in the fleet of its configuration. It collects the data that the node
// reports to the registry. Its methods are safe for concurrent use, except for report and run, which belong to one
// goroutine.
type fleetMember struct {
	node       *Node
	agent      *fleet.Agent
	httpClient *http.Client

	mu           sync.Mutex
	tenantByConn map[net.Conn]string // tenant of the last request on each client connection
	workByTenant *fleet.Sketch       // seconds that backends worked since the last report

	last reportBaseline // only for the agent's goroutine
}

// reportBaseline has the counts at the last report. The rates of the next report are computed from them.
type reportBaseline struct {
	at       time.Time
	cpuTime  time.Duration
	rejected int64
	failed   int64
}

// newFleetMember makes the node a member of the fleet that its configuration names.
func newFleetMember(n *Node) *fleetMember {
	cfg := n.cfg.Fleet
	m := &fleetMember{
		node: n,
		httpClient: &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: maxFleetConnections,
			IdleConnTimeout: fleetIdleConnTimeout,
			DialContext:     (&net.Dialer{Timeout: fleetDialTimeout}).DialContext,
		}},
		tenantByConn: map[net.Conn]string{},
		workByTenant: fleet.NewSketch(cfg.Tenants),
		last:         reportBaseline{at: time.Now(), cpuTime: cpuTime()},
	}
	client := &fleet.Client{Replicas: cfg.Registry, HTTP: m.httpClient}
	agentConfig := fleet.AgentConfig{
		Node:     n.cfg.Name,
		Site:     cfg.Site,
		Address:  n.cfg.Listen,
		Interval: time.Duration(cfg.IntervalMs) * time.Millisecond,
		OnView:   newMaintenanceDriver(n, client).onView,
	}
	m.agent = fleet.NewAgent(agentConfig, rand.Text(), client, m.report, n.log)
	n.server.fleet = m
	n.loop.onServed = m.requestServed
	n.loop.openResponseStreams = map[string]int{}
	return m
}

// run sends reports until ctx ends, or until a newer process of the same name replaces this one in the fleet.
func (m *fleetMember) run(ctx context.Context) {
	defer m.httpClient.CloseIdleConnections()
	m.agent.Run(ctx) // the agent logs why it ends
}

// tenant returns the name of a request's tenant, or the name of its class if the site has no tenants.
func (m *fleetMember) tenant(r *request) string {
	settings := m.node.cfg.Settings
	if len(settings.Tenants) > 0 {
		return settings.Tenants[r.tenant]
	}
	return settings.Classes[r.class]
}

// requestStarted records the tenant of a request on a connection.
func (m *fleetMember) requestStarted(conn net.Conn, r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tenantByConn[conn] = m.tenant(r)
}

// connClosed removes a client's connection that has been closed.
func (m *fleetMember) connClosed(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.tenantByConn, conn)
}

// requestServed records the time that a backend spent on a request.
func (m *fleetMember) requestServed(r *request, spent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workByTenant.Add(m.tenant(r), spent.Seconds())
}

// report returns the node's load since the last report.
func (m *fleetMember) report() fleet.Report {
	metrics := m.loadMetrics()
	report := fleet.Report{
		Draining:  m.node.server.shutdown.started(),
		Endpoints: m.endpointLoads(),
		Metrics:   metrics,
	}
	byConnections := fleet.NewSketch(m.node.cfg.Fleet.Tenants)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, tenant := range m.tenantByConn {
		byConnections.Add(tenant, 1)
	}
	report.TenantsByConnections = byConnections.Top(maxReportedTenants)
	report.TenantsByWork = m.workByTenant.Top(maxReportedTenants)
	m.workByTenant.Clear()
	return report
}

// loadMetrics returns the node's load, with rates since the last call.
func (m *fleetMember) loadMetrics() fleet.LoadMetrics {
	now := reportBaseline{at: time.Now(), cpuTime: cpuTime()}
	for i := range m.node.counters.outcomes {
		now.rejected += m.node.counters.outcomes[i].rejected.Load()
		now.failed += m.node.counters.outcomes[i].failed.Load()
	}
	span := max(now.at.Sub(m.last.at).Seconds(), minReportSpanSeconds)
	limits := m.node.cfg.Limits
	connections := float64(m.node.server.conns.open())
	backendConns, _ := m.node.pool.Size()
	metrics := fleet.LoadMetrics{
		Connections:       connections,
		Descriptors:       connections + float64(backendConns),
		DescriptorLimit:   float64(cmp.Or(limits.Sockets, defaultDescriptors)),
		CPUFraction:       (now.cpuTime - m.last.cpuTime).Seconds() / span / cmp.Or(limits.Cores, 1),
		InFlight:          float64(m.node.server.inFlight.Load()),
		RejectedPerSecond: float64(now.rejected-m.last.rejected) / span,
		FailedPerSecond:   float64(now.failed-m.last.failed) / span,
	}
	m.last = now
	return metrics
}

// endpointLoads returns the Balancer's estimates of the endpoints. It returns nil if the event loop does not answer
// within loadQueryTimeout.
func (m *fleetMember) endpointLoads() []fleet.EndpointLoad {
	ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
	defer cancel()
	reply := make(chan []fleet.EndpointLoad, 1)
	loads, err := query(ctx, m.node.loop, endpointLoadQuery{reply}, reply)
	if err != nil {
		return nil
	}
	return loads
}

// fleetEndpointLoad converts the Balancer's estimate of an endpoint to the registry's protocol. id is discovery's id.
func fleetEndpointLoad(id string, load balance.EndpointLoad) fleet.EndpointLoad {
	return fleet.EndpointLoad{
		ID:            id,
		QueueEstimate: load.QueueEstimate,
		Outstanding:   load.InFlight,
		FailureRate:   load.FailureRate,
	}
}

// cpuTime returns the processor time that this process has used, or 0 if it is unknown.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
