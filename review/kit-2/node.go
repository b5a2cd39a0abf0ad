package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// settingsText is the object of WIRE, section 6, with one instance and without the keys that no case needs.
const settingsText = `{"callers":{"marksRetry":false},
"classes":[{"aim":120000000,"deadline":500000000,"effect":"token","keyScope":"zone","lateWorth":0.5,
"name":"visit-checkin","points":10.0,"stream":false,"window":1000000000},
{"aim":200000000,"deadline":600000000,"effect":"side_effect","keyScope":"all","lateWorth":0.3,
"name":"shift-claim","points":5.0,"stream":false,"window":5000000000}],
"domain":{"warmKeys":false},"goal":{"whole":0.35,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.45},
"index":0,"nInstances":1,
"limits":{"cancelling":true,"connectTimeout":60000000,"cpuUsPerRequest":0.0,"cpuUsPerS":8000,
"idleClose":10000000000,"maxAttempts":3,"maxOpen":20000,"maxRetryAfter":300000000,"peers":false,"probing":true,
"retryAfter":true,"secondCopies":true,"streamsPerConn":1},
"loadReport":{"columns":["err_rps","rps","active"],"source":"on_probe"},"membershipMode":"ask",
"obligations":{"askEvery":10000000000,"coldShare":0.14,"drainGrace":2500000000,"fallMultiple":3.0,
"graceToAnswer":8000000,"overloadFor":1000000000,"warmWithin":23000000000},
"overShareWorth":0.1,"prices":{"crossZone":0.012,"handshake":0.02,"lateFail":0.045,"probe":0.03,"waste":0.016},
"serviceType":"proxy","skus":["std","lite"],"stage":0,"tenants":[],"tick":2000000,"tiers":["roster-web"],
"weightKind":"nominal","worthBy":"work","zone":0,"zones":["augusta"]}`

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// listing is a list of discovery, or changes to one.
type listing struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// runningNode is a node of the project.
type runningNode struct {
	listen  string
	config  string // the path of its configuration
	process *process
}

// configure writes the configuration of a node. Several addresses are those of the replicas of a registry.
func (n *runningNode) configure(addresses []string, known listing) {
	config := map[string]any{"name": "n0", "listen": n.listen, "discovery": addresses[0], "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384},
		"known":    known,
		"settings": json.RawMessage(settingsText)}
	if len(addresses) > 1 {
		config["registry"] = addresses
	}
	text, err := json.Marshal(config)
	if err != nil {
		giveUp("%v", err)
	}
	if err := os.WriteFile(n.config, text, 0o600); err != nil {
		giveUp("%v", err)
	}
}

// startNode starts a node and waits until it is ready.
func startNode(p *play, addresses []string, known listing) *runningNode {
	n := &runningNode{listen: p.freeAddress(), config: filepath.Join(p.dir, "config.json")}
	n.configure(addresses, known)
	scratch := filepath.Join(p.dir, "scratch")
	if err := os.MkdirAll(scratch, 0o700); err != nil {
		giveUp("%v", err)
	}
	environment := []string{"BALANCER_CONFIG=" + n.config, "BALANCER_NAME=n0", "BALANCER_LISTEN=" + n.listen,
		"BALANCER_DISCOVERY=" + addresses[0], "TMPDIR=" + scratch}
	n.process = p.start("node", "bin/hitchvale-node", environment, nil)
	waitFor("the node is ready", 30*time.Second, func() bool {
		response, err := http.Get(fmt.Sprintf("http://%s/health/ready", n.listen))
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return n
}
