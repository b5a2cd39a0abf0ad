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
	fleetTop = 8
	// fleetAsk bounds how long a report waits for the loop.
	fleetAsk = 500 * time.Millisecond
)

// fleetPart is a node's part in the fleet's view, where the configuration has one: it gathers what a report tells.
type fleetPart struct {
	n     *Node
	agent *fleet.Agent
	http  *http.Client

	mu    sync.Mutex
	conns map[net.Conn]string // the tenant that asked last on each connection of a client
	work  *fleet.Sketch       // seconds of backends, by tenant, since the last report

	// Of the last report, for the agent alone: what rates are counted from.
	at              time.Time
	cpu             time.Duration
	refused, failed int64
}

func newFleetPart(n *Node) *fleetPart {
	c := n.cfg.Fleet
	p := &fleetPart{n: n, conns: map[net.Conn]string{}, work: fleet.NewSketch(c.Tenants), at: time.Now(), cpu: processTime(),
		http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
			DialContext: (&net.Dialer{Timeout: dialWithin}).DialContext}}}
	interval := time.Duration(c.IntervalMs) * time.Millisecond
	client := &fleet.Client{Replicas: c.Registry, HTTP: p.http}
	p.agent = fleet.NewAgent(fleet.AgentConfig{Node: n.cfg.Name, Site: c.Site, Address: n.cfg.Listen, Interval: interval,
		OnView: newTurns(n, client).follow}, rand.Text(), client, p.report, n.log)
	n.server.fleet, n.loop.onServed, n.loop.openStreams = p, p.worked, map[string]int{}
	return p
}

// run takes part until ctx ends, or until a newer process has the node's name.
func (p *fleetPart) run(ctx context.Context) {
	defer p.http.CloseIdleConnections()
	p.agent.Run(ctx) // it logs why it ends
}

// tenant names whose request it is: its tenant, or its class where the site has no tenants.
func (p *fleetPart) tenant(r *request) string {
	names := p.n.cfg.Settings
	if len(names.Tenants) > 0 {
		return names.Tenants[r.tenant]
	}
	return names.Classes[r.class]
}

// asked takes in that a request came on a connection.
func (p *fleetPart) asked(c net.Conn, r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = p.tenant(r)
}

// closed takes in that a connection of a client has ended.
func (p *fleetPart) closed(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// worked takes in that a backend has served a request.
func (p *fleetPart) worked(r *request, spent time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work.Add(p.tenant(r), spent.Seconds())
}

// report is what the node has to tell by now.
func (p *fleetPart) report() fleet.Report {
	now, cpu := time.Now(), processTime()
	span := max(now.Sub(p.at).Seconds(), 1e-3)
	var refused, failed int64
	for i := range p.n.figures.ends {
		refused += p.n.figures.ends[i].rejected.Load()
		failed += p.n.figures.ends[i].failed.Load()
	}
	r := fleet.Report{Draining: p.n.server.shutdown.started(), Endpoints: p.backends()}
	r.Metrics = fleet.LoadMetrics{
		Connections: float64(p.n.server.conns.open()), DescriptorLimit: float64(cmp.Or(p.n.cfg.Limits.Sockets, usualSockets)),
		CPUFraction:       (cpu - p.cpu).Seconds() / span / cmp.Or(p.n.cfg.Limits.Cores, 1),
		InFlight:          float64(p.n.server.inFlight.Load()),
		RejectedPerSecond: float64(refused-p.refused) / span, FailedPerSecond: float64(failed-p.failed) / span,
	}
	toBackends, _ := p.n.pool.size()
	r.Metrics.Descriptors = r.Metrics.Connections + float64(toBackends)
	p.at, p.cpu, p.refused, p.failed = now, cpu, refused, failed

	byConns := fleet.NewSketch(p.n.cfg.Fleet.Tenants)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, tenant := range p.conns {
		byConns.Add(tenant, 1)
	}
	r.TenantsByConnections, r.TenantsByWork = byConns.Top(fleetTop), p.work.Top(fleetTop)
	p.work.Clear()
	return r
}

// backends asks the loop what the module has found of them; none where the loop is too busy to say.
func (p *fleetPart) backends() []fleet.EndpointLoad {
	ctx, cancel := context.WithTimeout(context.Background(), fleetAsk)
	defer cancel()
	reply := make(chan []fleet.EndpointLoad, 1)
	loads, err := query(ctx, p.n.loop, endpointLoadQuery{reply}, reply)
	if err != nil {
		return nil
	}
	return loads
}

func backendLoad(id string, s balance.EndpointLoad) fleet.EndpointLoad {
	return fleet.EndpointLoad{ID: id, QueueEstimate: s.QueueEstimate, Outstanding: s.InFlight, FailureRate: s.FailureRate}
}

// processTime is the processor time that this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
