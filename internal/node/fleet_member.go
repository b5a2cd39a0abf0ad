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
	// maxReportedTenants is how many heavy tenants a report names.
	maxReportedTenants = 8
	// fleetDialTimeout bounds connecting to a replica of the registry.
	fleetDialTimeout = time.Second
	// fleetIdleConnTimeout is how long a connection to a replica stays open unused.
	fleetIdleConnTimeout = 10 * time.Second
	// maxFleetConnections bounds the connections to a replica.
	maxFleetConnections = 2
	// loadQueryTimeout bounds how long a report waits for the event loop.
	loadQueryTimeout = 500 * time.Millisecond
	// minReportSpanSeconds keeps the rates of a report finite.
	minReportSpanSeconds = 1e-3
)

// fleetMember is the node's membership of a fleet, where its configuration has one. It gathers what the node reports to
// the registry.
type fleetMember struct {
	node       *Node
	agent      *fleet.Agent
	httpClient *http.Client

	mu           sync.Mutex
	tenantByConn map[net.Conn]string // the tenant of the last request on each client's connection
	workByTenant *fleet.Sketch       // seconds of backends, since the last report

	last reportBaseline // for the agent's goroutine alone
}

// reportBaseline has the counts at the last report, from which the next one's rates are computed.
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

// run reports until ctx ends, or until a newer process has the node's name.
func (m *fleetMember) run(ctx context.Context) {
	defer m.httpClient.CloseIdleConnections()
	m.agent.Run(ctx) // logs why it ends
}

// tenant returns the name of a request's tenant, or of its class where the site has no tenants.
func (m *fleetMember) tenant(r *request) string {
	settings := m.node.cfg.Settings
	if len(settings.Tenants) > 0 {
		return settings.Tenants[r.tenant]
	}
	return settings.Classes[r.class]
}

// requestStarted records whose request came on a connection.
func (m *fleetMember) requestStarted(conn net.Conn, r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tenantByConn[conn] = m.tenant(r)
}

// connClosed forgets a client's connection.
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

// report returns the node's report since the last one.
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

// loadMetrics returns the node's load, with rates since the last report, and begins anew.
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

// endpointLoads returns the module's estimates of the endpoints; nil where the event loop is too busy to answer.
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

// fleetEndpointLoad returns the module's estimate of an endpoint as the registry's protocol has it.
func fleetEndpointLoad(id string, load balance.EndpointLoad) fleet.EndpointLoad {
	return fleet.EndpointLoad{
		ID:            id,
		QueueEstimate: load.QueueEstimate,
		Outstanding:   load.InFlight,
		FailureRate:   load.FailureRate,
	}
}

// cpuTime returns the processor time that this process has used; 0 where that is unknown.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
