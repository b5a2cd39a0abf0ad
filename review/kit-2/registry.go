package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// replica is one replica of the project's registry.
type replica struct {
	id      string
	http    string
	config  string // the path of its configuration
	process *process
}

// cluster is a registry of three replicas, with the settings of deploy/registry.toml.
type cluster struct {
	play     *play
	replicas []*replica
	client   *http.Client
}

// startCluster starts three replicas, whose ids begin with name, and waits until they have a leader that serves reads.
func startCluster(p *play, name string) *cluster {
	c := &cluster{play: p, client: &http.Client{Timeout: 3 * time.Second}}
	var peers strings.Builder
	var rafts []string
	for i := range 3 {
		r := &replica{id: fmt.Sprintf("%s%d", name, i), http: p.freeAddress()}
		rafts = append(rafts, p.freeAddress())
		fmt.Fprintf(&peers, "\n[[peer]]\nid = %q\nraft = %q\nhttp = %q\n", r.id, rafts[i], r.http)
		c.replicas = append(c.replicas, r)
	}
	for i, r := range c.replicas {
		text := fmt.Sprintf("id = %q\ndata_dir = %q\nhttp = %q\nraft = %q\nbootstrap = true\nstale_read = \"1s\"\n",
			r.id, filepath.Join(p.dir, r.id), r.http, rafts[i]) + raftTiming + peers.String()
		r.config = filepath.Join(p.dir, r.id+".toml")
		if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
			giveUp("%v", err)
		}
		c.startReplica(r)
	}
	waitFor("a leader that serves reads", 20*time.Second, func() bool { return c.leader() != nil })
	return c
}

// raftTiming has the values of deploy/registry.toml.
const raftTiming = `
[raft_timing]
heartbeat = "500ms"
election = "500ms"
leader_lease = "250ms"
commit = "10ms"
snapshot_interval = "30s"
snapshot_threshold = 8192
trailing_logs = 10240
`

// startReplica starts the process of a replica.
func (c *cluster) startReplica(r *replica) {
	r.process = c.play.start(r.id, "bin/hitchvale registry serve --config "+r.config, nil, nil)
}

// replicaStatus is the part of a replica's status that the cases need.
type replicaStatus struct {
	State    string `json:"state"`
	Leader   string `json:"leader"`
	Revision int64  `json:"revision"`
	Fresh    bool   `json:"fresh"`
}

// status reads a replica's status.
func (c *cluster) status(r *replica) (s replicaStatus, ok bool) {
	code, _, body := c.get(r, "/registry/status")
	return s, code == http.StatusOK && json.Unmarshal(body, &s) == nil
}

// leader returns the replica that leads, if it serves reads; nil if there is none.
func (c *cluster) leader() *replica {
	for _, r := range c.replicas {
		if s, ok := c.status(r); ok && s.State == "Leader" && s.Fresh {
			return r
		}
	}
	return nil
}

// follower returns a replica that follows and has applied the given revision; nil if there is none.
func (c *cluster) follower(revision int64) *replica {
	for _, r := range c.replicas {
		if s, ok := c.status(r); ok && s.State == "Follower" && s.Fresh && s.Revision >= revision {
			return r
		}
	}
	return nil
}

// addresses returns the HTTP addresses of the replicas.
func (c *cluster) addresses() (all []string) {
	for _, r := range c.replicas {
		all = append(all, r.http)
	}
	return all
}

// get makes a call to a replica. The status is 0 if there was no answer.
func (c *cluster) get(r *replica, path string) (status int, header http.Header, body []byte) {
	response, err := c.client.Get("http://" + r.http + path)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	return response.StatusCode, response.Header, body
}

// register registers a backend, and returns the revision of the write.
func (c *cluster) register(r *replica, m member) (revision int64) {
	body, err := json.Marshal(map[string]any{"member": m})
	if err != nil {
		giveUp("%v", err)
	}
	return c.write(r, http.MethodPost, "/registry/members", string(body))
}

// drain lists a backend as draining, and returns the revision of the write.
func (c *cluster) drain(r *replica, id string) (revision int64) {
	return c.write(r, http.MethodPut, "/registry/members/"+id+"/phase", `{"phase":"draining"}`)
}

// write makes a call that has to be answered with the revision of its write.
func (c *cluster) write(r *replica, method, path, body string) (revision int64) {
	request, err := http.NewRequest(method, "http://"+r.http+path, bytes.NewBufferString(body))
	if err != nil {
		giveUp("%v", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		giveUp("%s %s: %v", method, path, err)
	}
	defer response.Body.Close()
	var answer struct {
		Revision int64 `json:"revision"`
	}
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || json.Unmarshal(text, &answer) != nil {
		giveUp("%s %s: status %d: %s", method, path, response.StatusCode, text)
	}
	c.play.note("%s: %s %s %s: revision %d", r.id, method, path, body, answer.Revision)
	return answer.Revision
}
