package lab

import (
	"maps"
	"sync"
	"time"

	"hitchvale/internal/registry"
)

// Member is one entry of the endpoint list in PROTOCOL's form, which is also the registry's.
type Member = registry.Member

// The phases of a member.
const (
	phaseReady    = "ready"
	phaseDraining = "draining"
)

// Discovery is the lab's stand-in for the registry. It has one endpoint list, and each change raises the list's
// revision. Each node gets the list from its own view. A view is a listener whose list gives, as the host_port of a
// backend, the address of the node's proxy to that backend. The caller of NewDiscovery must call Close. The methods may
// be called by several goroutines.
type Discovery struct {
	mu        sync.Mutex
	revision  int64
	members   []Member                  // host_port is the backend's own address; views replace it
	changedAt []int64                   // by member: the revision of its last change
	changed   chan struct{}             // closed at the next change
	drained   map[string]time.Time      // by backend: when it was last set draining
	drains    map[string][]*drainPeriod // by backend
	views     []*view
	down      bool
	lastUp    time.Time      // when the last outage ended
	servers   sync.WaitGroup // the views' servers
}

// NewDiscovery returns a discovery that lists the members, which are all ready, at revision 1.
func NewDiscovery(members []Member) *Discovery {
	d := &Discovery{
		revision:  1,
		members:   members,
		changedAt: make([]int64, len(members)),
		changed:   make(chan struct{}),
		drained:   map[string]time.Time{},
		drains:    map[string][]*drainPeriod{},
	}
	for i := range d.changedAt {
		d.changedAt[i] = 1
	}
	return d
}

// SetDown starts an outage (true) or ends it (false). During an outage, discovery resets every call, watches included.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if !down {
		d.lastUp = time.Now()
	}
	d.wakeWatches()
}

// SetStarted lists a member as ready and just started. It ends the member's drain.
func (d *Discovery) SetStarted(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for i := range d.members {
		if d.members[i].ID == id {
			d.revision++
			d.members[i].Phase = phaseReady
			d.members[i].UpSince = now.UnixMilli()
			d.changedAt[i] = d.revision
		}
	}
	if periods := d.drains[id]; len(periods) > 0 && periods[len(periods)-1].end.IsZero() {
		periods[len(periods)-1].end = now
	}
	d.wakeWatches()
}

// SetPhase changes a member's phase. It raises the revision if the member was in another phase.
func (d *Discovery) SetPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].ID != id || d.members[i].Phase == phase {
			continue
		}
		d.revision++
		d.members[i].Phase = phase
		d.changedAt[i] = d.revision
		if phase == phaseDraining {
			now := time.Now()
			d.drained[id] = now
			d.drains[id] = append(d.drains[id], &drainPeriod{start: now, notifiedAt: map[string]time.Time{}})
		}
		d.wakeWatches()
	}
}

// wakeWatches ends the wait of every watch. The caller must hold d.mu.
func (d *Discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// drainPeriods returns the periods in which each backend drained, and when the last outage ended. The caller must not
// read the periods while the run is in progress.
func (d *Discovery) drainPeriods() (periods map[string][]*drainPeriod, lastUp time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drains, d.lastUp
}

// Drained returns when each drained backend was last set draining.
func (d *Discovery) Drained() map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.drained)
}
