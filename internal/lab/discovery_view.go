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
	// maxWatchWait bounds the wait of a watch, even if its wait_ms is longer (PROTOCOL).
	maxWatchWait = time.Minute
	// viewReadHeaderTimeout bounds the wait for the head of a call.
	viewReadHeaderTimeout = 5 * time.Second
)

// view is an address at which one node gets the endpoint list.
type view struct {
	node   string
	addr   string
	ln     net.Listener
	server *http.Server
}

// listResponse is the response to a call of discovery, in PROTOCOL's form. It has the complete list, or the members
// that changed.
type listResponse struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// View starts a view for a node on a new listener of 127.0.0.1 and returns its address. The view replaces each
// backend's address by addr(id).
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

// CloseOtherViews closes the listeners of all views of a node, except the view at the address except. It returns a
// function that closes the open connections of these views.
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

// Close closes every view. It first waits until the views' calls have ended, watches included.
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

// serve answers GET /registry/instances as PROTOCOL describes it. With ?after=R&wait_ms=W the call is a watch, which
// gets the members that changed since revision R, or the complete list if R is unknown.
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
	response, up := d.list(after, addr)
	if !up {
		panic(http.ErrAbortHandler) // resets the connection
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(response)
	d.recordNotification(node, response)
}

// recordNotification records that a node has been notified of the drains in a response.
func (d *Discovery) recordNotification(node string, response listResponse) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, member := range response.Members {
		periods := d.drains[member.ID]
		if member.Phase != phaseDraining || len(periods) == 0 {
			continue
		}
		if notified := periods[len(periods)-1].notifiedAt; notified[node].IsZero() {
			notified[node] = now
		}
	}
}

// awaitRevision blocks until the list's revision is above after, an outage begins, the wait is over or ctx ends.
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

// list returns the members that changed after a revision, or the complete list if the revision is unknown. up is false
// during an outage.
func (d *Discovery) list(after int64, addr func(string) string) (response listResponse, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	complete := after < 1 || after > d.revision
	response = listResponse{Revision: d.revision, Complete: complete, Members: []Member{}}
	for i, member := range d.members {
		if complete || d.changedAt[i] > after {
			member.HostPort = addr(member.ID)
			response.Members = append(response.Members, member)
		}
	}
	return response, !d.down
}
