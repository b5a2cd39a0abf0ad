package registry

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hitchvale/internal/fleet"
	"hitchvale/internal/statemachine"
)

// fleetSide is the registry's part in the fleet's shared view (docs/ROADMAP.md): sessions go through the log; reports
// are kept by the leader alone, which compiles them into a view once an interval while there are sessions.
type viewPublisher struct {
	interval   time.Duration
	clockStart time.Time // of the monotonic clock that the collector's times are on

	mu        sync.Mutex
	collector *fleet.Collector // of the term that this replica leads in; nil where it does not
	latest    *publishedView   // the last one of that term; nil: none yet
	changed   chan struct{}    // closed when view changes; then there is a new one
}

// publishedView is a view as all its readers get it.
type publishedView struct {
	version       fleet.ViewVersion
	json, gzipped []byte
	publishedAt   time.Time
	backends      []fleet.EndpointView
}

func newViewPublisher(interval time.Duration) *viewPublisher {
	return &viewPublisher{interval: interval, clockStart: time.Now(), changed: make(chan struct{})}
}

// stampHeader names the view that an answer holds, as TERM.EPOCH.
const viewHeader = "X-Fleet-View"

// reportBody bounds a report's body, which is longer than what fleet allows by its echo.
const maxReportBodyBytes = fleet.MaxReportBytes + 8<<10

func sessionKey(node string) string { return "session:" + node }

// compileViews publishes a view an interval while this replica leads, until ctx ends.
func (r *Replica) publishViews(ctx context.Context) {
	tick := time.NewTicker(r.views.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.publishView()
		}
	}
}

func (r *Replica) publishView() {
	f := r.views
	leading, term := r.Leader() && r.canServeReads(), r.raft.CurrentTerm()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !leading {
		f.collector, f.latest = nil, nil
		return
	}
	if f.collector == nil || f.collector.Term() != term {
		f.collector, f.latest = fleet.NewCollector(term, f.interval), nil
	}
	var v fleet.View
	sessions := 0
	r.fsm.read(func(s *State) {
		if sessions = len(r.sessions.Open); sessions > 0 || f.latest != nil {
			v = f.collector.Compile(r.sessions, s.Revision, time.Since(f.clockStart))
			v.MaintenanceTurns = len(r.maintenance.Turns)
		}
	})
	if v.Epoch == 0 {
		return // nobody reports, and nobody reads
	}
	text, err := json.Marshal(v)
	if err != nil {
		r.log.Error("view not encoded", "error", err)
		return
	}
	f.latest = &publishedView{version: v.ViewVersion, json: text, gzipped: gzipText(text), publishedAt: time.Now(), backends: v.Endpoints}
	close(f.changed)
	f.changed = make(chan struct{})
}

// zipped is a text in gzip's quickest form: it is sent to every node.
func gzipText(text []byte) []byte {
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // the level is a valid one
	w.Write(text)
	w.Close()
	return b.Bytes()
}

// serveReport takes in a report (fleet.Echoed) and answers with the first view after the one that it echoes, within
// wait_ms; 204 where none came.
func (r *Replica) serveReport(w http.ResponseWriter, req *http.Request) {
	waitMs, err := strconv.ParseInt(req.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitMs < 0 {
		writeError(w, ErrMalformed.Of("wait_ms", fmt.Errorf("%q is not a number of milliseconds", req.URL.Query().Get("wait_ms"))))
		return
	}
	var rep fleet.ReportRequest
	req.Body = http.MaxBytesReader(w, req.Body, maxReportBodyBytes)
	if err := decodeBody(req, &rep); err != nil {
		writeError(w, err)
		return
	}
	if err := r.addReport(rep); err != nil {
		writeError(w, err)
		return
	}
	r.recordHeartbeat(sessionKey(rep.Node))
	r.answerView(w, req, rep.LastView, min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
}

func (r *Replica) addReport(rep fleet.ReportRequest) error {
	f := r.views
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.collector == nil || f.collector.Term() != r.raft.CurrentTerm() {
		return fleet.ErrViewNotReady.Of(r.cfg.ID, nil)
	}
	var err error
	r.fsm.read(func(*State) { err = f.collector.Add(r.sessions, rep) })
	return err
}

// answerView answers with the first view that is not the one named, within wait.
func (r *Replica) answerView(w http.ResponseWriter, req *http.Request, not fleet.ViewVersion, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		r.views.mu.Lock()
		v, next := r.views.latest, r.views.changed
		r.views.mu.Unlock()
		if v != nil && v.version != not {
			writeView(w, req, v)
			return
		}
		select {
		case <-next:
		case <-t.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func writeView(w http.ResponseWriter, req *http.Request, v *publishedView) {
	h, text := w.Header(), v.json
	h.Set("Content-Type", "application/json")
	h.Set(viewHeader, fmt.Sprintf("%d.%d", v.version.Term, v.version.Epoch))
	if strings.Contains(req.Header.Get("Accept-Encoding"), "gzip") {
		h.Set("Content-Encoding", "gzip")
		text = v.gzipped
	}
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}

// serveView answers with the last view.
func (r *Replica) serveView(w http.ResponseWriter, req *http.Request) {
	r.views.mu.Lock()
	v := r.views.latest
	r.views.mu.Unlock()
	if v == nil || !r.canServeReads() {
		writeError(w, fleet.ErrViewNotReady.Of(r.cfg.ID, nil))
		return
	}
	writeView(w, req, v)
}

// serveSession answers with the highest incarnation under a name, and its open session if there is one.
func (r *Replica) serveSession(w http.ResponseWriter, req *http.Request) {
	if !r.canServeReads() {
		writeError(w, r.staleReadError())
		return
	}
	var out fleet.SessionStatus
	r.fsm.read(func(*State) { out = r.sessions.Status(req.PathValue("node")) })
	writeJSON(w, out)
}

func (r *Replica) decodeOpenSession(req *http.Request) (statemachine.Command, error) {
	var s fleet.Session
	if err := decodeBody(req, &s); err != nil {
		return nil, err
	}
	if ttl := time.Duration(s.TTLms) * time.Millisecond; ttl < r.minTTL() {
		return nil, ErrMalformed.Of("ttl_ms", fmt.Errorf("%d is shorter than two election timeouts (%s)", s.TTLms, r.minTTL()))
	}
	return &openSessionCommand{fleet.SessionCommand{Op: fleet.OpOpenSession, Session: s}}, s.Validate()
}

func (r *Replica) decodeCloseSession(req *http.Request) (statemachine.Command, error) {
	n, err := strconv.ParseUint(req.URL.Query().Get("incarnation"), 10, 64)
	if err != nil {
		return nil, ErrMalformed.Of("incarnation", err)
	}
	return &openSessionCommand{fleet.SessionCommand{Op: fleet.OpCloseSession,
		Session: fleet.Session{Node: req.PathValue("node"), Incarnation: n}}}, nil
}

// sessionWrite is a session's command that starts its TTL on the leader's clock.
type openSessionCommand struct{ fleet.SessionCommand }

func (c *openSessionCommand) heartbeatKey() string {
	if c.Op == fleet.OpOpenSession {
		return sessionKey(c.Session.Node)
	}
	return ""
}

// dueSessions gives the expiry commands of sessions whose reports stopped for their TTL; called with beatMu held.
func (r *Replica) expiredSessions(now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for node, s := range r.sessions.Open {
		if r.ttlElapsed(sessionKey(node), s.TTLms, now) {
			due = append(due, &fleet.SessionCommand{Op: fleet.OpExpireSession, Session: fleet.Session{Node: node, Incarnation: s.Incarnation}})
		}
	}
	return due
}
