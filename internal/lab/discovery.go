package lab

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hitchvale/internal/registry"
)

// Member is one entry of the list in PROTOCOL's form, the registry's own.
type Member = registry.Member

const (
	phaseReady    = "ready"
	phaseDraining = "draining"
)

type listAnswer struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Discovery is the lab's stand-in for discovery, until the registry serves: one list with a revision that each
// change raises, served to each node on a listener of its own (a view) in which host_port is that node's proxy to
// the backend. It answers GET /registry/instances and the watch ?after=R&wait_ms=W as PROTOCOL says: changed
// entries since R, or the whole list where R is unknown; wait_ms at most 60,000.
type Discovery struct {
	mu        sync.Mutex
	revision  int64
	members   []Member // host_port is the backend's own address; views replace it
	changed   []int64  // revision at which each member last changed
	changedCh chan struct{}
	drained   map[string]time.Time
	views     []*view
	down      bool
	lastUp    time.Time // when it last came back
	drains    map[string][]*drainPeriod
	servers   sync.WaitGroup
}

// view is an address at which one node finds the list.
type view struct {
	node   string
	addr   string
	ln     net.Listener
	server *http.Server
}

// NewDiscovery starts with the members listed (all ready) at revision 1.
func NewDiscovery(members []Member) *Discovery {
	d := &Discovery{revision: 1, members: members, changed: make([]int64, len(members)), changedCh: make(chan struct{}),
		drained: map[string]time.Time{}, drains: map[string][]*drainPeriod{}}
	for i := range d.changed {
		d.changed[i] = 1
	}
	return d
}

// View serves the list to a node on a new listener of 127.0.0.1, with each backend's address replaced by addr(id).
func (d *Discovery) View(node string, addr func(id string) string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, node, addr) }
	srv := &http.Server{Handler: http.HandlerFunc(handler),
		ReadHeaderTimeout: 5 * time.Second}
	d.mu.Lock()
	d.views = append(d.views, &view{node: node, addr: ln.Addr().String(), ln: ln, server: srv})
	d.mu.Unlock()
	d.servers.Go(func() { srv.Serve(ln) })
	return ln.Addr().String(), nil
}

// CloseOtherViews has a node's addresses but one accept nothing more, and returns what ends their connections.
func (d *Discovery) CloseOtherViews(node, except string) (end func()) {
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

// SetDown has discovery reset every call, watches too, or answer again.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if !down {
		d.lastUp = time.Now()
	}
	d.wakeWatches()
}

// tell wakes the watches. Called with the lock held.
func (d *Discovery) wakeWatches() {
	close(d.changedCh)
	d.changedCh = make(chan struct{})
}

// Started lists a member as ready and started just now.
func (d *Discovery) Started(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for i := range d.members {
		if d.members[i].ID == id {
			d.revision++
			d.members[i].Phase, d.members[i].UpSince, d.changed[i] = "ready", now.UnixMilli(), d.revision
		}
	}
	if periods := d.drains[id]; len(periods) > 0 && periods[len(periods)-1].end.IsZero() {
		periods[len(periods)-1].end = now
	}
	d.wakeWatches()
}

// drainPeriods gives when each backend drained, and when discovery last came back.
func (d *Discovery) drainPeriods() (map[string][]*drainPeriod, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drains, d.lastUp
}

// SetPhase changes a member's phase and raises the revision; it returns when the change was made.
func (d *Discovery) SetPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].ID == id && d.members[i].Phase != phase {
			d.revision++
			d.members[i].Phase, d.changed[i] = phase, d.revision
			if phase == "draining" {
				d.drained[id] = time.Now()
				d.drains[id] = append(d.drains[id], &drainPeriod{start: d.drained[id], notifiedAt: map[string]time.Time{}})
			}
			d.wakeWatches()
		}
	}
}

// Drained gives the time at which each drained backend was set draining.
func (d *Discovery) Drained() map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]time.Time, len(d.drained))
	for k, v := range d.drained {
		out[k] = v
	}
	return out
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

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request, node string, addr func(string) string) {
	if r.URL.Path != "/registry/instances" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	q := r.URL.Query()
	after, watch := int64(-1), q.Has("after")
	if watch {
		var err error
		if after, err = strconv.ParseInt(q.Get("after"), 10, 64); err != nil {
			http.Error(w, "after: not a revision", http.StatusBadRequest)
			return
		}
		wait, err := strconv.Atoi(q.Get("wait_ms"))
		if err != nil || wait < 0 {
			http.Error(w, "wait_ms: not a number of milliseconds", http.StatusBadRequest)
			return
		}
		d.awaitRevision(r.Context(), after, time.Duration(min(wait, 60000))*time.Millisecond)
	}
	a, up := d.answer(after, addr)
	if !up {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a)
	d.recordNotification(node, a)
}

// recordNotification takes in that an answer has been written to a node.
func (d *Discovery) recordNotification(node string, a listAnswer) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range a.Members {
		periods := d.drains[m.ID]
		if m.Phase != "draining" || len(periods) == 0 {
			continue
		}
		if notified := periods[len(periods)-1].notifiedAt; notified[node].IsZero() {
			notified[node] = now
		}
	}
}

// awaitRevision holds until the revision passes after, the wait ends or the caller goes.
func (d *Discovery) awaitRevision(ctx context.Context, after int64, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		d.mu.Lock()
		rev, ch, down := d.revision, d.changedCh, d.down
		d.mu.Unlock()
		if rev > after || down {
			return
		}
		select {
		case <-ch:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answer is the whole list, or what changed after a revision that the list knows.
func (d *Discovery) answer(after int64, addr func(string) string) (list listAnswer, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	complete := after < 1 || after > d.revision
	a := listAnswer{Revision: d.revision, Complete: complete, Members: []Member{}}
	for i, m := range d.members {
		if complete || d.changed[i] > after {
			m.HostPort = addr(m.ID)
			a.Members = append(a.Members, m)
		}
	}
	return a, !d.down
}
