package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// registryTiming is the raft timing of the lab's replicas: short, so that a leader's loss is over within a
// second on loopback. A scenario that wants others can come later as keys of its own.
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

// ack is a write that the registry acknowledged, to be found in its list at the end.
type ack struct {
	ID       string
	Phase    string
	Revision int64
}

// startRegistries starts n replicas, with further keys of their configuration, and waits for a leader. Raft's link from
// replica i to replica m is the proxy "registry-i:registry-m": each replica dials from an address of its own, by which
// the router before its peer knows it.
func (cluster *cluster) startRegistries(ctx context.Context, n int, keys ...string) error {
	type replica struct {
		http       string // address of its HTTP API
		raft       string // address that raft listens on
		from       string // host that raft dials from
		advertised string // address that its peers dial
	}
	rs := make([]replica, n)
	var peers strings.Builder
	for m := range rs {
		r := &rs[m]
		_, r.http = cluster.addresses.allocate()
		r.from, r.raft = cluster.addresses.allocate()
		f, err := NewCallerRouter(r.raft)
		if err != nil {
			return fmt.Errorf("proxies to registry-%d: %w", m, err)
		}
		r.advertised, cluster.callerRouters = f.Addr(), append(cluster.callerRouters, f)
		fmt.Fprintf(&peers, "\n[[peer]]\nid = \"registry-%d\"\nraft = %q\nhttp = %q\n", m, r.advertised, r.http)
	}
	for i := range rs {
		for m, f := range cluster.callerRouters {
			if m != i {
				cluster.links[fmt.Sprintf("registry-%d:registry-%d", i, m)] = f.LinkFor(rs[i].from, cluster.seed+uint64(i*n+m))
			}
		}
	}
	for i, r := range rs {
		name := fmt.Sprintf("registry-%d", i)
		conf := cluster.path("%s.toml", name)
		text := fmt.Sprintf("id = %q\ndata_dir = %q\nhttp = %q\nraft = %q\nraft_listen = %q\nraft_from = %q\n"+
			"bootstrap = true\nstale_read = \"1s\"\n%s\n%s%s",
			name, cluster.path("%s.data", name), r.http, r.advertised, r.raft, r.from,
			strings.Join(keys, "\n"), registryTiming, peers.String())
		if err := os.WriteFile(conf, []byte(text), 0o644); err != nil {
			return err
		}
		proc := &Process{Name: name, env: os.Environ(), log: cluster.path("%s.log", name),
			argv: cluster.tracedCommand(cluster.registryPlans[i], i, cluster.opts.CommandBinary, "registry", "serve", "--config",
				conf)}
		cluster.processes["registry"], cluster.registryAddr = append(cluster.processes["registry"],
			proc), append(cluster.registryAddr, r.http)
		if err := proc.Start(cluster.spawner); err != nil {
			return err
		}
		if err := waitReady(ctx, proc, r.http, "/registry/status"); err != nil {
			return fmt.Errorf("%s did not start: %w; its log ends: %s", name, err, tail(proc.log))
		}
	}
	return cluster.waitLeader(ctx)
}

// linkRegistries places a proxy of name's own before every replica and gives their addresses.
func (cluster *cluster) linkRegistries(name string) ([]string, error) {
	var addrs []string
	for m, addr := range cluster.registryAddr {
		p, err := cluster.link(fmt.Sprintf("%s:registry-%d", name, m), addr)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, p.Addr())
	}
	return addrs, nil
}

// waitLeader waits until some replica says it leads, for 20 s at most.
func (cluster *cluster) waitLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, addr := range cluster.registryAddr {
			var st struct {
				State string `json:"state"`
			}
			if cluster.registryCall(ctx, http.MethodGet, addr, "/registry/status", nil, &st) == nil && st.State == "Leader" {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the registry elected no leader in 20 s")
}

// refusedError is an answer other than 2xx.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return e.text }

// registryCall makes one call of a replica and decodes a 2xx answer into out.
func (cluster *cluster) registryCall(ctx context.Context, method, addr, path string, body, out any) error {
	var rd io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		rd = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, rd)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if resp.StatusCode/100 != 2 {
		return &statusError{resp.StatusCode, fmt.Sprintf("%s %s at %s: %d %s", method, path, addr, resp.StatusCode,
			bytes.TrimSpace(text))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}

// registryWrite sends a write to each replica in turn until one acknowledges it, for 10 s at most; an
// acknowledged write is recorded, to be checked at the end, and its revision returned.
func (cluster *cluster) registryWrite(ctx context.Context, method, path string, body any, a ack) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		addr := cluster.registryAddr[try%len(cluster.registryAddr)]
		var res struct {
			Revision int64 `json:"revision"`
		}
		if last = cluster.registryCall(ctx, method, addr, path, body, &res); last == nil {
			a.Revision = res.Revision
			cluster.mu.Lock()
			cluster.acks = append(cluster.acks, a)
			cluster.mu.Unlock()
			return res.Revision, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, fmt.Errorf("not acknowledged: %w", last)
}

// registerBackends lists every backend in the registry, each at its proxy.
func (cluster *cluster) registerBackends(ctx context.Context, members []Member) error {
	for _, m := range members {
		body := map[string]any{"member": m}
		if _, err := cluster.registryWrite(ctx, http.MethodPost, "/registry/members", body,
			ack{ID: m.ID, Phase: m.Phase}); err != nil {
			return fmt.Errorf("registering %s: %w", m.ID, err)
		}
	}
	return nil
}

// checkAcks reads the list from the replica with the highest revision and checks that every acknowledged write
// is in it: the member there, in the phase last acknowledged, at a revision no lower than the ack's.
func (cluster *cluster) checkAcks(ctx context.Context) Check {
	c := Check{Name: "no acknowledged registry write is lost"}
	if len(cluster.registryAddr) == 0 {
		return c.done()
	}
	if err := cluster.waitLeader(ctx); err != nil {
		c.add(err.Error())
		return c.done()
	}
	var best struct {
		Revision int64    `json:"revision"`
		Members  []Member `json:"members"`
	}
	for _, addr := range cluster.registryAddr {
		var got struct {
			Revision int64    `json:"revision"`
			Members  []Member `json:"members"`
		}
		if cluster.registryCall(ctx, http.MethodGet, addr, "/registry/instances", nil, &got) == nil &&
			got.Revision >= best.Revision {
			best = got
		}
	}
	phase := map[string]string{}
	for _, m := range best.Members {
		phase[m.ID] = m.Phase
	}
	last := map[string]ack{}
	for _, a := range cluster.acks {
		last[a.ID] = a
	}
	for id, a := range last {
		if phase[id] != a.Phase || best.Revision < a.Revision {
			c.add(fmt.Sprintf("%s: acknowledged %s at revision %d; the list at %d has %q", id, a.Phase, a.Revision,
				best.Revision, phase[id]))
		}
	}
	return c.done()
}
