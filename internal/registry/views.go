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

// viewPublisher publishes the fleet view while this replica is the leader. It collects the nodes' reports and compiles
// them into a view once per interval. Neither the reports nor the views are replicated. It is safe for concurrent use.
type viewPublisher struct {
	interval   time.Duration
	clockStart time.Time // origin of the collector's times

	mu        sync.Mutex
	collector *fleet.Collector // collector of the term in which this replica leads; nil if it does not lead
	latest    *publishedView   // latest view of that term; nil before the first one
	changed   chan struct{}    // closed and replaced when latest is set to a new view
}

// publishedView is a view in the encoded form that every reader gets.
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

// clear removes the collector and the view. A replica that is not the leader has neither.
func (p *viewPublisher) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collector = nil
	p.latest = nil
}

// publish compiles and publishes the next view of a term. It calls compile with the term's collector and with whether a
// view of the term has already been published. If compile returns a view of epoch 0, publish publishes no view.
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

// gzipText compresses a view with gzip's fastest level. Views are compressed because every node gets every view.
func gzipText(text []byte) []byte {
	var buffer bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed) // only fails for an invalid level
	writer.Write(text)
	writer.Close()
	return buffer.Bytes()
}

// latestView returns the latest view, or nil if there is none, and a channel that is closed when the next view is
// published.
func (p *viewPublisher) latestView() (*publishedView, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest, p.changed
}

// waitForOtherView waits until there is a view of a version other than the given one, and returns that view. After the
// timeout it returns nil. It fails with ctx's error if ctx ends first.
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

// publishViews runs until ctx ends. While this replica is the leader, it publishes a view once per interval.
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
		r.log.Error("encoding the fleet view failed; no view is published in this interval", "error", err)
	}
}

// compileView compiles the next view from the collector's reports and the replicated sessions. It returns a view of
// epoch 0, which is not published, while no session is open and no view of the term has been published.
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

// addReport adds a node's report to the collector. It fails with fleet.ErrViewNotReady if this replica has no collector
// for the current term, and with the errors of fleet.Collector.Add.
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

// latestViewOfVersion returns the latest view if it has the given version. Otherwise it fails with
// fleet.ErrViewNotReady.
func (p *viewPublisher) latestViewOfVersion(version fleet.ViewVersion) (*publishedView, error) {
	view, _ := p.latestView()
	if view == nil || view.version != version {
		return nil, fleet.ErrViewNotReady.Of("order",
			fmt.Errorf("view %d.%d is not the latest view", version.Term, version.Epoch))
	}
	return view, nil
}
