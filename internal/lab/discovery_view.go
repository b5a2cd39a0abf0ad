package lab

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxWatchWait bounds the wait of a watch, whatever its wait_ms (PROTOCOL).
	maxWatchWait = time.Minute
	// viewReadHeaderTimeout bounds the wait for the head of a call.
	viewReadHeaderTimeout = 5 * time.Second
)

// view is an address at which one node finds the endpoint list.
type view struct {
	node   string
	addr   string
	ln     net.Listener
	server *http.Server
}

// listResponse is an answer in PROTOCOL's form: the complete list, or the members that changed.
type listResponse struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// View serves the list to a node on a new listener of 127.0.0.1, with each backend's address replaced by addr(id).
func (d *Discovery) View(node string, addr func(id string) string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, node, addr) }
	server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: viewReadHeaderTimeout}
	d.mu.Lock()
	d.views = append(d.views, &view{node: node, addr: ln.Addr().String(), ln: ln, server: server})
	d.mu.Unlock()
	d.servers.Go(func() { server.Serve(ln) })
	return ln.Addr().String(), nil
}

// CloseOtherViews has a node's addresses except one accept nothing more, and returns a function that ends their
// connections.
func (d *Discovery) CloseOtherViews(node, except string) (closeConnections func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var others []*view
	for _, v := range d.views {
		if v.node == node && v.addr != except {
			v.ln.Close()
			others = append(others, v)
		}
	}
	return func() {
		for _, v := range others {
			v.server.Close()
		}
	}
}

// Close ends every view and its watches.
func (d *Discovery) Close() {
	d.mu.Lock()
	views := d.views
	d.mu.Unlock()
	for _, v := range views {
		v.server.Shutdown(context.Background())
		v.server.Close()
	}
	d.servers.Wait()
}

// serve answers GET /registry/instances, and the watch ?after=R&wait_ms=W, as PROTOCOL has it: the members that changed
// since R, or the complete list where R is unknown.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request, node string, addr func(string) string) {
	if r.URL.Path != "/registry/instances" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	after := int64(-1)
	if query.Has("after") {
		var err error
		if after, err = strconv.ParseInt(query.Get("after"), 10, 64); err != nil {
			http.Error(w, "after: not a revision", http.StatusBadRequest)
			return
		}
		waitMs, err := strconv.Atoi(query.Get("wait_ms"))
		if err != nil || waitMs < 0 {
			http.Error(w, "wait_ms: not a number of milliseconds", http.StatusBadRequest)
			return
		}
		waitMs = min(waitMs, int(maxWatchWait.Milliseconds()))
		d.awaitRevision(r.Context(), after, time.Duration(waitMs)*time.Millisecond)
	}
	answer, up := d.list(after, addr)
	if !up {
		panic(http.ErrAbortHandler) // resets the connection
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
	d.recordNotification(node, answer)
}

// recordNotification records that a node has been notified of the drains in an answer.
func (d *Discovery) recordNotification(node string, answer listResponse) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, member := range answer.Members {
		periods := d.drains[member.ID]
		if member.Phase != phaseDraining || len(periods) == 0 {
			continue
		}
		if notified := periods[len(periods)-1].notifiedAt; notified[node].IsZero() {
			notified[node] = now
		}
	}
}

// awaitRevision blocks until the revision passes after, discovery is down, the wait is over or ctx ends.
func (d *Discovery) awaitRevision(ctx context.Context, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		revision, changed, down := d.revision, d.changed, d.down
		d.mu.Unlock()
		if revision > after || down {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// list is the complete list, or what changed after a revision that the list knows.
func (d *Discovery) list(after int64, addr func(string) string) (answer listResponse, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	complete := after < 1 || after > d.revision
	answer = listResponse{Revision: d.revision, Complete: complete, Members: []Member{}}
	for i, member := range d.members {
		if complete || d.changedAt[i] > after {
			member.HostPort = addr(member.ID)
			answer.Members = append(answer.Members, member)
		}
	}
	return answer, !d.down
}
