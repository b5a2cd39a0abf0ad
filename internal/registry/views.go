package registry

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"hitchvale/internal/fleet"
)

// viewPublisher holds the fleet's view while this replica leads: it collects the nodes' reports and compiles them into
// a view once an interval. Neither is replicated.
type viewPublisher struct {
	interval   time.Duration
	clockStart time.Time // the collector's times count from here

	mu        sync.Mutex
	collector *fleet.Collector // of the term that this replica leads in; nil if it does not lead
	latest    *publishedView   // of that term; nil before the first
	changed   chan struct{}    // closed and replaced when latest changes
}

// publishedView is a view in the form that all readers get.
type publishedView struct {
	version     fleet.ViewVersion
	json        []byte
	gzipped     []byte
	publishedAt time.Time
	endpoints   []fleet.EndpointView
}

func newViewPublisher(interval time.Duration) *viewPublisher {
	return &viewPublisher{interval: interval, clockStart: time.Now(), changed: make(chan struct{})}
}

// clear drops the collector and the view of a replica that does not lead.
func (p *viewPublisher) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collector = nil
	p.latest = nil
}

// publish compiles and publishes the next view of a term. compile gets the collector and whether a view of the term has
// been published; a view of epoch 0 stands for none.
func (p *viewPublisher) publish(term uint64, compile func(c *fleet.Collector, published bool) fleet.View) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.collector == nil || p.collector.Term() != term {
		p.collector = fleet.NewCollector(term, p.interval)
		p.latest = nil
	}
	view := compile(p.collector, p.latest != nil)
	if view.Epoch == 0 {
		return nil
	}
	text, err := json.Marshal(view)
	if err != nil {
		return err
	}
	p.latest = &publishedView{
		version:     view.ViewVersion,
		json:        text,
		gzipped:     gzipText(text),
		publishedAt: time.Now(),
		endpoints:   view.Endpoints,
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// gzipText compresses a text at gzip's quickest level, since every node gets every view.
func gzipText(text []byte) []byte {
	var buffer bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed) // fails for an invalid level alone
	writer.Write(text)
	writer.Close()
	return buffer.Bytes()
}

// latestView returns the latest view, nil before the first, and the channel that the next one closes.
func (p *viewPublisher) latestView() (*publishedView, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest, p.changed
}

// waitForOtherView waits until there is a view of another version than the one given, for at most timeout: then it
// returns nil. It fails if ctx ends first.
func (p *viewPublisher) waitForOtherView(ctx context.Context, version fleet.ViewVersion,
	timeout time.Duration) (*publishedView, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		view, changed := p.latestView()
		if view != nil && view.version != version {
			return view, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// publishViews publishes a view once an interval while this replica leads, until ctx ends.
func (r *Replica) publishViews(ctx context.Context) {
	ticker := time.NewTicker(r.views.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.publishView()
		}
	}
}

func (r *Replica) publishView() {
	leading := r.IsLeader() && r.canServeReads()
	term := r.raft.CurrentTerm()
	if !leading {
		r.views.clear()
		return
	}
	if err := r.views.publish(term, r.compileView); err != nil {
		r.log.Error("view encoding failed", "error", err)
	}
}

// compileView compiles the next view of the replicated sessions. Before the first session is open there is none.
func (r *Replica) compileView(c *fleet.Collector, published bool) fleet.View {
	var view fleet.View
	r.fsm.read(func(s *State) {
		if len(r.sessions.Open) == 0 && !published {
			return
		}
		view = c.Compile(r.sessions, s.Revision, time.Since(r.views.clockStart))
		view.MaintenanceTurns = len(r.plan.Turns)
	})
	return view
}

// addReport adds a node's report to the collector. It fails with fleet.ErrViewNotReady if this replica does not collect
// in the present term, and as fleet.Collector.Add does.
func (r *Replica) addReport(report fleet.ReportRequest) error {
	p := r.views
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.collector == nil || p.collector.Term() != r.raft.CurrentTerm() {
		return fleet.ErrViewNotReady.Of(r.cfg.ID, nil)
	}
	var err error
	r.fsm.read(func(*State) { err = p.collector.Add(r.sessions, report) })
	return err
}

// latestViewOfVersion returns the latest view if it has the given version, else fleet.ErrViewNotReady.
func (p *viewPublisher) latestViewOfVersion(version fleet.ViewVersion) (*publishedView, error) {
	view, _ := p.latestView()
	if view == nil || view.version != version {
		return nil, fleet.ErrViewNotReady.Of("order",
			fmt.Errorf("view %d.%d is not the last", version.Term, version.Epoch))
	}
	return view, nil
}
