package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are those of a small deployment, in the form of the wire page.
const settings = `{"callers":{"marksRetry":false},
"classes":[
 {"aim":120000000,"deadline":500000000,"effect":"token","keyScope":"zone","lateWorth":0.5,"name":"visit-checkin",
  "points":10.0,"stream":false,"window":1000000000},
 {"aim":200000000,"deadline":600000000,"effect":"side_effect","keyScope":"all","lateWorth":0.3,"name":"shift-claim",
  "points":5.0,"stream":false,"window":5000000000}],
"domain":{"warmKeys":false},
"goal":{"whole":0.35,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.45},"index":0,
"limits":{"cancelling":true,"connectTimeout":60000000,"cpuUsPerRequest":0.0,"cpuUsPerS":8000,"idleClose":10000000000,
 "maxAttempts":3,"maxOpen":20000,"maxRetryAfter":300000000,"peers":false,"probing":true,"retryAfter":true,
 "secondCopies":true,"streamsPerConn":1},
"loadReport":{"columns":["err_rps","rps","active"],"source":"on_probe"},"membershipMode":"ask","nInstances":1,
"obligations":{"askEvery":10000000000,"coldShare":0.14,"drainGrace":2500000000,"fallMultiple":3.0,
 "graceToAnswer":8000000,"overloadFor":1000000000,"warmWithin":23000000000},
"overShareWorth":0.1,
"prices":{"connection":0.0,"crossZone":0.012,"handshake":0.02,"lateFail":0.045,"membershipMode":0.0,"moves":0.0,
 "origin":0.0,"peer":0.0,"probe":0.03,"waste":0.016},
"serviceType":"proxy","skus":["std","lite"],"stage":0,"tenants":[],"tick":2000000,"tiers":["roster-web"],
"weightKind":"nominal","worthBy":"work","zone":1,"zones":["augusta","concord","montpelier"]}`

// nodeOptions are the parts of a node's configuration that differ between the cases.
type nodeOptions struct {
	memoryMB int
	sockets  int
	admin    bool
}

// node is one process of a node, started with the deploy file's command.
type node struct {
	w       *world
	listen  string
	admin   string
	command *exec.Cmd
	ended   chan struct{}

	mu      sync.Mutex
	clients map[int]*client
}

// startNode starts a node and waits until it is ready.
func startNode(w *world, d *discovery, options nodeOptions) (*node, error) {
	n := &node{w: w, ended: make(chan struct{}), clients: map[int]*client{}}
	var err error
	if n.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	config := map[string]any{"name": "n0", "listen": n.listen, "discovery": d.address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": options.memoryMB, "sockets": options.sockets},
		"settings": json.RawMessage(settings)}
	config["known"], _ = d.current()
	if options.admin {
		if n.admin, err = freeAddress(); err != nil {
			return nil, err
		}
		config["admin"] = n.admin
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.tmp, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	return n, n.start(path)
}

// start runs the deploy file's command in the repository's folder.
func (n *node) start(config string) error {
	line, err := deployCommand(n.w.root, "run")
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(n.w.tmp, "node.log"))
	if err != nil {
		return err
	}
	n.command = exec.Command("/bin/sh", "-c", line)
	n.command.Dir = n.w.root
	n.command.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "TMPDIR="+n.w.tmp)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	go func() {
		n.command.Wait()
		close(n.ended)
	}()
	n.w.atEnd(func() {
		n.command.Process.Kill()
		<-n.ended
		n.copyLog(log.Name())
	})
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + n.listen + "/health/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n.w.note("node ready on %s", n.listen)
				return nil
			}
		}
	}
	return fmt.Errorf("%w: the node was not ready within 10 s", errNotRun)
}

// copyLog appends the node's log to the record.
func (n *node) copyLog(path string) {
	text, _ := os.ReadFile(path)
	for line := range strings.Lines(string(text)) {
		n.w.note("node log: %s", strings.TrimSpace(line))
	}
}

// deployCommand returns the value of a key of the deploy file.
func deployCommand(root, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNotRun, err)
	}
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(name) == key {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", fmt.Errorf("%w: the deploy file has no key %s", errNotRun, key)
}
