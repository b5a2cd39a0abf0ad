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

// fleetInterval is short in tests: a view is due soon, and nothing rests on how soon.
const fleetInterval = 50 * time.Millisecond

func fleetClient(addrs ...string) *fleet.Client {
	return &fleet.Client{Replicas: addrs, HTTP: &http.Client{Transport: &http.Transport{}}}
}

// testAgent starts a node's agent over HTTP that ends with the test.
func testAgent(t testing.TB, name, process string, addrs []string) (*fleet.Agent, <-chan error) {
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

// await waits for ok.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came about: %s", what)
		}
	}
}

func allFresh(a *fleet.Agent, nodes int) func() bool {
	return func() bool { s := a.Status(); return s.Fresh == nodes && s.Nodes == nodes }
}

// Nodes that use different replicas get the same bytes for one version of the view; a second process under a name
// supersedes the first; and after the leader is stopped the next one publishes views, in a higher term, with every
// session in them.
func TestNodesGetTheSameView(t *testing.T) {
	c := newClusterWith(t, 3, false)
	var agents []*fleet.Agent
	for i := range 3 {
		a, _ := testAgent(t, fmt.Sprint("n", i), "p", []string{c.http[i], c.http[(i+1)%3], c.http[(i+2)%3]})
		agents = append(agents, a)
	}
	for _, a := range agents {
		await(t, "three fresh nodes", allFresh(a, 3))
	}
	v, _, _ := agents[0].View()
	if v.Endpoints[0].ReportingNodes != 3 || v.Endpoints[0].QueueEstimate != 2 || v.Nodes[1].Metrics.Connections != 7 {
		t.Errorf("view %+v", v)
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
			if was, ok := texts[version]; resp.StatusCode != 200 || ok && was != string(text) {
				t.Fatalf("%d: two views under %s:\n%s\n%s", resp.StatusCode, version, was, text)
			}
			texts[version] = string(text)
		}
	}

	newer, _ := testAgent(t, "n1", "p'", c.http)
	await(t, "the newer process in the view", allFresh(newer, 3))
	await(t, "the older process to be superseded", func() bool { return agents[1].Status().Superseded })

	before := agents[0].Status().Version
	for i, r := range c.replicas {
		if r.IsLeader() {
			c.stop(i)
			break
		}
	}
	await(t, "a view of a later term with all fresh", func() bool {
		s := agents[0].Status()
		return s.Version.Term > before.Term && allFresh(agents[0], 3)()
	})
}

// A process that stops reporting loses its session with its TTL, and calls answer with a code, what is wrong and a
// remedy.
func TestSessionsExpireAndErrorsCarryRemedies(t *testing.T) {
	c := newClusterWith(t, 1, false)
	await(t, "a leader", func() bool { return c.replicas[0].IsLeader() && c.replicas[0].canServeReads() })
	ctx, client := t.Context(), fleetClient(c.http...)
	defer client.HTTP.CloseIdleConnections()
	s := fleet.Session{Node: "n1", Site: "a", Process: "p", Incarnation: 1, Address: "127.0.0.1:1", TTLms: 300}
	if _, err := client.OpenSession(ctx, s); err != nil {
		t.Fatal(err)
	}
	if h, err := client.SessionStatus(ctx, "n1"); err != nil || h.LastIncarnation != 1 || h.Session == nil {
		t.Fatalf("%+v %v", h, err)
	}
	late := s
	late.Process = "older"
	if _, err := client.OpenSession(ctx, late); !errors.Is(err, fleet.ErrSuperseded) {
		t.Errorf("an older process: %v", err)
	}
	await(t, "expiry", func() bool {
		h, err := client.SessionStatus(ctx, "n1")
		return err == nil && h.Session == nil && h.LastIncarnation == 1
	})
	report := fleet.Report{Node: "n1", Incarnation: 1, Sequence: 1}
	_, _, err := client.SendReport(ctx, fleet.ReportRequest{Report: report}, 0)
	if !errors.Is(err, fleet.ErrSessionNotFound) {
		t.Errorf("a report without a session: %v", err)
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
		var a struct{ Code, Error, Remedy string }
		json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		if resp.StatusCode != 400 || a.Code != code || a.Error == "" || a.Remedy == "" {
			t.Errorf("%s: %d %+v", body, resp.StatusCode, a)
		}
	}
}

// BenchmarkFleetView has 300 nodes report to three replicas at an interval of a second for five intervals, and reports
// the leader process's share of a core (all three replicas and the 300 nodes run in this process, so it is an upper
// bound), the time from a view's epoch to its arrival at p99, and the bytes of a view.
func BenchmarkFleetView(b *testing.B) {
	const nodes = 300
	c := newClusterFor(b, 3, false, time.Second)
	for b.Loop() {
		var mu sync.Mutex
		var late []float64
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range nodes {
			client := fleetClient(c.http[i%3], c.http[(i+1)%3], c.http[(i+2)%3])
			defer client.HTTP.CloseIdleConnections()
			timed := &timedRegistry{Client: client, took: func(d time.Duration) {
				mu.Lock()
				late = append(late, d.Seconds()*1000)
				mu.Unlock()
			}, replicas: c.replicas}
			name := fmt.Sprintf("n%03d", i)
			cfg := fleet.AgentConfig{Node: name, Site: "a", Address: "127.0.0.1:1", Interval: time.Second}
			a := fleet.NewAgent(cfg, "p", timed, sampleReport, slog.New(slog.DiscardHandler))
			wg.Go(func() { a.Run(ctx) })
		}
		time.Sleep(3 * time.Second) // sessions
		mu.Lock()
		late = late[:0]
		mu.Unlock()
		cpu := processTime()
		time.Sleep(5 * time.Second)
		used := processTime() - cpu
		mu.Lock()
		b.ReportMetric(quantileOf(late, 0.5), "p50-ms")
		b.ReportMetric(quantileOf(late, 0.99), "p99-ms")
		b.ReportMetric(float64(len(late))/5, "views/s")
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

// timedRegistry measures how long after its epoch each view arrives.
type timedRegistry struct {
	*fleet.Client
	replicas []*Replica
	took     func(time.Duration)
}

func (t *timedRegistry) SendReport(ctx context.Context, r fleet.ReportRequest, wait time.Duration) (
	fleet.View, bool, error) {
	v, came, err := t.Client.SendReport(ctx, r, wait)
	now := time.Now()
	for _, r := range t.replicas {
		r.views.mu.Lock()
		if p := r.views.latest; came && p != nil && p.version == v.ViewVersion {
			t.took(now.Sub(p.publishedAt))
		}
		r.views.mu.Unlock()
	}
	return v, came, err
}

// sampleReport is a report as a node of the full fleet makes it, whose subset has some twenty endpoints.
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
		h := fleet.WeightedKey{Key: fmt.Sprintf("tenant-%d", i), Weight: float64(40 - i)}
		r.TenantsByConnections, r.TenantsByWork = append(r.TenantsByConnections, h), append(r.TenantsByWork, h)
	}
	return r
}

func processTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func quantileOf(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[int(q*float64(len(x)-1))]
}
