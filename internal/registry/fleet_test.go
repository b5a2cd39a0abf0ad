package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"hitchvale/internal/fleet"
)

// fleetInterval is the interval at which the leader publishes views in tests. It is short so that tests do not wait
// long; no test depends on its exact value.
const fleetInterval = 50 * time.Millisecond

// fleetClient returns a client with its own connections.
func fleetClient(addrs ...string) *fleet.Client {
	return &fleet.Client{Replicas: addrs, HTTP: &http.Client{Transport: &http.Transport{}}}
}

// startTestAgent starts the agent of a node, which calls the registry over HTTP and stops at the end of the test. The
// channel receives the result of the agent's Run.
func startTestAgent(t testing.TB, name, process string, addrs []string) (*fleet.Agent, <-chan error) {
	t.Helper()
	c := fleetClient(addrs...)
	cfg := fleet.AgentConfig{
		Node:     name,
		Site:     "a",
		Address:  "127.0.0.1:1",
		Interval: fleetInterval,
		TTL:      2 * time.Second,
	}
	report := func() fleet.Report {
		return fleet.Report{
			Metrics:   fleet.LoadMetrics{Connections: 7, DescriptorLimit: 64},
			Endpoints: []fleet.EndpointLoad{{ID: "s-1", QueueEstimate: 2}},
		}
	}
	a := fleet.NewAgent(cfg, process, c, report, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended, done := make(chan error, 1), make(chan struct{})
	go func() { ended <- a.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		c.HTTP.CloseIdleConnections()
	})
	return a, ended
}

// waitUntil waits until ok returns true, and fails the test after 20 s. condition is a description of what ok checks.
func waitUntil(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not true within 20 s: %s", condition)
		}
	}
}

// allFresh returns a condition for waitUntil: the agent has a view with the given number of nodes, and all of them are
// fresh.
func allFresh(a *fleet.Agent, nodes int) func() bool {
	return func() bool { s := a.Status(); return s.Fresh == nodes && s.Nodes == nodes }
}

// Nodes that call different replicas get the same bytes for the same version of the view. A second process of the same
// node supersedes the first. After the leader has stopped, the next leader publishes views in a higher term that
// contain every session.
func TestAllNodesReceiveTheSameView(t *testing.T) {
	c := newCluster(t, 3)
	var agents []*fleet.Agent
	for i := range 3 {
		a, _ := startTestAgent(t, fmt.Sprint("n", i), "p", []string{c.http[i], c.http[(i+1)%3], c.http[(i+2)%3]})
		agents = append(agents, a)
	}
	for _, a := range agents {
		waitUntil(t, "the view has three fresh nodes", allFresh(a, 3))
	}
	v, _, _ := agents[0].View()
	if v.Endpoints[0].ReportingNodes != 3 || v.Endpoints[0].QueueEstimate != 2 || v.Nodes[1].Metrics.Connections != 7 {
		t.Errorf("view of three nodes: %+v, want three reporting nodes, a queue estimate of 2 and 7 connections", v)
	}

	texts := map[string]string{}
	for range 60 {
		for _, addr := range c.http {
			resp, err := http.Get("http://" + addr + "/registry/fleet/view")
			if err != nil {
				t.Fatal(err)
			}
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			version := resp.Header.Get(viewHeader)
			if earlier, ok := texts[version]; resp.StatusCode != 200 || ok && earlier != string(text) {
				t.Fatalf("status %d; version %s has two different views:\n%s\n%s", resp.StatusCode, version, earlier, text)
			}
			texts[version] = string(text)
		}
	}

	newer, _ := startTestAgent(t, "n1", "p'", c.http)
	waitUntil(t, "the newer process gets a view with three fresh nodes", allFresh(newer, 3))
	waitUntil(t, "the older process is superseded", func() bool { return agents[1].Status().Superseded })

	before := agents[0].Status().Version
	for i, r := range c.replicas {
		if r.IsLeader() {
			c.stop(i)
			break
		}
	}
	waitUntil(t, "a view of a later term has three fresh nodes", func() bool {
		s := agents[0].Status()
		return s.Version.Term > before.Term && allFresh(agents[0], 3)()
	})
}

// The session of a process that sends no reports expires after its TTL. Calls that fail get an error code, a text and a
// remedy.
func TestSessionsExpireAndErrorsCarryRemedies(t *testing.T) {
	c := newCluster(t, 1)
	waitUntil(t, "the leader serves reads", func() bool {
		return c.replicas[0].IsLeader() && c.replicas[0].canServeReads()
	})
	ctx, client := t.Context(), fleetClient(c.http...)
	defer client.HTTP.CloseIdleConnections()
	s := fleet.Session{Node: "n1", Site: "a", Process: "p", Incarnation: 1, Address: "127.0.0.1:1", TTLms: 300}
	if _, err := client.OpenSession(ctx, s); err != nil {
		t.Fatal(err)
	}
	status, err := client.SessionStatus(ctx, "n1")
	if err != nil || status.LastIncarnation != 1 || status.Session == nil {
		t.Fatalf("status of the open session: %+v, error %v, want last incarnation 1 and a session", status, err)
	}
	otherProcess := s
	otherProcess.Process = "older"
	if _, err := client.OpenSession(ctx, otherProcess); !errors.Is(err, fleet.ErrSuperseded) {
		t.Errorf("another process opens a session with the same incarnation: error %v, want ErrSuperseded", err)
	}
	waitUntil(t, "the session has expired", func() bool {
		status, err := client.SessionStatus(ctx, "n1")
		return err == nil && status.Session == nil && status.LastIncarnation == 1
	})
	report := fleet.Report{Node: "n1", Incarnation: 1, Sequence: 1}
	_, _, err = client.SendReport(ctx, fleet.ReportRequest{Report: report}, 0)
	if !errors.Is(err, fleet.ErrSessionNotFound) {
		t.Errorf("report without an open session: error %v", err)
	}
	for body, code := range map[string]string{
		`{"node":"n1","ttl_ms":1}`: "registry.malformed",
		`{"node":"n1","process":"p","incarnation":9,"address":"127.0.0.1:1","ttl_ms":1000}`: "fleet.malformed",
		`{"nod":"n1"}`: "registry.malformed",
	} {
		url := "http://" + c.http[0] + "/registry/fleet/sessions"
		resp, err := http.Post(url, "application/json", bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		var response struct{ Code, Error, Remedy string }
		json.NewDecoder(resp.Body).Decode(&response)
		resp.Body.Close()
		if resp.StatusCode != 400 || response.Code != code || response.Error == "" || response.Remedy == "" {
			t.Errorf("body %s: status %d, response %+v; want status 400 and code %s", body, resp.StatusCode, response, code)
		}
	}
}

// BenchmarkFleetView lets 300 nodes report to three replicas for five intervals of a second. It reports the CPU cores
// that this process uses, the time from the publication of a view to its arrival at a node (p50, p99), the number of
// views per second, and the size of a view in bytes, plain and compressed. The CPU time is an upper bound of the
// leader's, since all three replicas and the 300 nodes run in this process.
func BenchmarkFleetView(b *testing.B) {
	const nodes = 300
	c := newClusterWithInterval(b, 3, false, time.Second)
	for b.Loop() {
		var mu sync.Mutex
		var latenciesMs []float64
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range nodes {
			client := fleetClient(c.http[i%3], c.http[(i+1)%3], c.http[(i+2)%3])
			defer client.HTTP.CloseIdleConnections()
			timed := &timedRegistry{Client: client, observe: func(d time.Duration) {
				mu.Lock()
				latenciesMs = append(latenciesMs, d.Seconds()*1000)
				mu.Unlock()
			}, replicas: c.replicas}
			name := fmt.Sprintf("n%03d", i)
			cfg := fleet.AgentConfig{Node: name, Site: "a", Address: "127.0.0.1:1", Interval: time.Second}
			a := fleet.NewAgent(cfg, "p", timed, sampleReport, slog.New(slog.DiscardHandler))
			wg.Go(func() { a.Run(ctx) })
		}
		time.Sleep(3 * time.Second) // time for the nodes to open their sessions
		mu.Lock()
		latenciesMs = latenciesMs[:0]
		mu.Unlock()
		cpu := processTime()
		time.Sleep(5 * time.Second)
		used := processTime() - cpu
		mu.Lock()
		b.ReportMetric(quantileOf(latenciesMs, 0.5), "p50-ms")
		b.ReportMetric(quantileOf(latenciesMs, 0.99), "p99-ms")
		b.ReportMetric(float64(len(latenciesMs))/5, "views/s")
		mu.Unlock()
		b.ReportMetric(used.Seconds()/5, "cores")
		for _, r := range c.replicas {
			r.views.mu.Lock()
			if v := r.views.latest; v != nil {
				b.ReportMetric(float64(len(v.json)), "view-B")
				b.ReportMetric(float64(len(v.gzipped)), "zipped-B")
			}
			r.views.mu.Unlock()
		}
		cancel()
		wg.Wait()
	}
}

// timedRegistry measures the time from the publication of a view to its arrival at a node.
type timedRegistry struct {
	*fleet.Client
	replicas []*Replica
	observe  func(time.Duration) // is called with the time of each view that arrives while it is the latest
}

func (t *timedRegistry) SendReport(ctx context.Context, r fleet.ReportRequest, wait time.Duration) (
	fleet.View, bool, error) {
	v, received, err := t.Client.SendReport(ctx, r, wait)
	now := time.Now()
	for _, r := range t.replicas {
		r.views.mu.Lock()
		if p := r.views.latest; received && p != nil && p.version == v.ViewVersion {
			t.observe(now.Sub(p.publishedAt))
		}
		r.views.mu.Unlock()
	}
	return v, received, err
}

// sampleReport returns a report of the size that a node in a fleet of the full size sends. The subset of such a node
// has about twenty endpoints.
func sampleReport() fleet.Report {
	r := fleet.Report{Metrics: fleet.LoadMetrics{
		Connections:       123,
		Descriptors:       150,
		DescriptorLimit:   512,
		CPUFraction:       0.31,
		InFlight:          12,
		RejectedPerSecond: 0.2,
	}}
	for i := range 20 {
		r.Endpoints = append(r.Endpoints, fleet.EndpointLoad{
			ID:            fmt.Sprintf("s-%08x", i*2654435761),
			QueueEstimate: 1.234,
			Outstanding:   2,
			FailureRate:   0.01,
		})
	}
	for i := range 8 {
		tenant := fleet.WeightedKey{Key: fmt.Sprintf("tenant-%d", i), Weight: float64(40 - i)}
		r.TenantsByConnections = append(r.TenantsByConnections, tenant)
		r.TenantsByWork = append(r.TenantsByWork, tenant)
	}
	return r
}

// processTime returns the CPU time that this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// quantileOf sorts x and returns its q-quantile, or 0 if x is empty.
func quantileOf(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[int(q*float64(len(x)-1))]
}
