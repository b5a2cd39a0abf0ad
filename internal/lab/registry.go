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
	"path/filepath"
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
	ID, Phase string
	Revision  int64
}

// startRegistries starts the replicas on ports picked beforehand (every one must know all), and waits for a leader.
func (l *lab) startRegistries(ctx context.Context) error {
	type ports struct{ http, raft string }
	var ps []ports
	var peers strings.Builder
	for i := range l.s.Registries {
		h, err := freePort()
		if err != nil {
			return err
		}
		r, err := freePort()
		if err != nil {
			return err
		}
		ps = append(ps, ports{h, r})
		fmt.Fprintf(&peers, "\n[[peer]]\nid = \"registry-%d\"\nraft = %q\nhttp = %q\n", i, r, h)
	}
	for i, p := range ps {
		name := fmt.Sprintf("registry-%d", i)
		conf := filepath.Join(l.opts.Out, name+".toml")
		text := fmt.Sprintf("id = %q\ndata_dir = %q\nhttp = %q\nraft = %q\nbootstrap = true\nstale_read = \"1s\"\n%s%s",
			name, filepath.Join(l.opts.Out, name+".data"), p.http, p.raft, registryTiming, peers.String())
		if err := os.WriteFile(conf, []byte(text), 0o644); err != nil {
			return err
		}
		proc := &Proc{Name: name, env: os.Environ(), log: filepath.Join(l.opts.Out, name+".log"),
			argv: []string{l.opts.Hitchvale, "registry", "serve", "--config", conf}}
		if err := proc.Start(l.spawn); err != nil {
			return err
		}
		l.registries, l.registryAddr = append(l.registries, proc), append(l.registryAddr, p.http)
		if err := waitReady(ctx, proc, p.http, "/registry/status"); err != nil {
			return fmt.Errorf("%s did not start: %w; its log ends: %s", name, err, tail(proc.log))
		}
	}
	return l.waitLeader(ctx)
}

// waitLeader waits until some replica says it leads, for 20 s at most.
func (l *lab) waitLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, addr := range l.registryAddr {
			var st struct {
				State string `json:"state"`
			}
			if l.registryCall(ctx, http.MethodGet, addr, "/registry/status", nil, &st) == nil && st.State == "Leader" {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the registry elected no leader in 20 s")
}

// registryCall makes one call of a replica and decodes a 2xx answer into out.
func (l *lab) registryCall(ctx context.Context, method, addr, path string, body, out any) error {
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
		return fmt.Errorf("%s %s at %s: %d %s", method, path, addr, resp.StatusCode, bytes.TrimSpace(text))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}

// registryWrite sends a write to each replica in turn until one acknowledges it, for 10 s at most; an
// acknowledged write is recorded, to be checked at the end, and its revision returned.
func (l *lab) registryWrite(ctx context.Context, method, path string, body any, a ack) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		addr := l.registryAddr[try%len(l.registryAddr)]
		var res struct {
			Revision int64 `json:"revision"`
		}
		if last = l.registryCall(ctx, method, addr, path, body, &res); last == nil {
			a.Revision = res.Revision
			l.mu.Lock()
			l.acks = append(l.acks, a)
			l.mu.Unlock()
			return res.Revision, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, fmt.Errorf("not acknowledged: %w", last)
}

// registerBackends lists every backend in the registry, each at its proxy.
func (l *lab) registerBackends(ctx context.Context, members []Member) error {
	for _, m := range members {
		body := map[string]any{"member": m}
		if _, err := l.registryWrite(ctx, http.MethodPost, "/registry/members", body, ack{ID: m.ID, Phase: m.Phase}); err != nil {
			return fmt.Errorf("registering %s: %w", m.ID, err)
		}
	}
	return nil
}

// checkAcks reads the list from the replica with the highest revision and checks that every acknowledged write
// is in it: the member there, in the phase last acknowledged, at a revision no lower than the ack's.
func (l *lab) checkAcks(ctx context.Context) Check {
	c := Check{Name: "no acknowledged registry write is lost"}
	if l.s.Registries == 0 {
		return c.done()
	}
	if err := l.waitLeader(ctx); err != nil {
		c.add(err.Error())
		return c.done()
	}
	var best struct {
		Revision int64    `json:"revision"`
		Members  []Member `json:"members"`
	}
	for _, addr := range l.registryAddr {
		var got struct {
			Revision int64    `json:"revision"`
			Members  []Member `json:"members"`
		}
		if l.registryCall(ctx, http.MethodGet, addr, "/registry/instances", nil, &got) == nil && got.Revision >= best.Revision {
			best = got
		}
	}
	phase := map[string]string{}
	for _, m := range best.Members {
		phase[m.ID] = m.Phase
	}
	last := map[string]ack{}
	for _, a := range l.acks {
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
