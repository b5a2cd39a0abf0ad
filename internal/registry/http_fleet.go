package registry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"hitchvale/internal/fleet"
	"hitchvale/internal/statemachine"
)

// viewHeader is the response header with the version of the view, in the form TERM.EPOCH.
const viewHeader = "X-Fleet-View"

// maxReportBodyBytes is the maximum size of the body of a report call. In addition to the report, the body holds the
// version of the last view that the node received.
const maxReportBodyBytes = fleet.MaxReportBytes + 8<<10

func (r *Replica) routeFleet(mux *http.ServeMux) {
	mux.HandleFunc("GET /registry/fleet/view", r.leaderOnly(r.serveView))
	mux.HandleFunc("POST /registry/fleet/reports", r.leaderOnly(r.serveReport))
	mux.HandleFunc("GET /registry/fleet/sessions/{node}", r.leaderOnly(r.serveSession))
	mux.HandleFunc("POST /registry/fleet/sessions", r.writeHandler(r.decodeOpenSession, newSessionResponse))
	mux.HandleFunc("DELETE /registry/fleet/sessions/{node}", r.writeHandler(decodeCloseSession, newRevisionResponse))
}

// serveReport stores a node's report and renews the TTL of the node's session. It responds with the first view whose
// version differs from the last view that the report names, or with 204 if there is no other view within wait_ms.
func (r *Replica) serveReport(w http.ResponseWriter, req *http.Request) {
	wait, err := parseWait(req)
	if err != nil {
		writeError(w, err)
		return
	}
	var report fleet.ReportRequest
	req.Body = http.MaxBytesReader(w, req.Body, maxReportBodyBytes)
	if err := decodeBody(req, &report); err != nil {
		writeError(w, err)
		return
	}
	if err := r.addReport(report); err != nil {
		writeError(w, err)
		return
	}
	r.heartbeats.record(sessionKey(report.Node))
	view, err := r.views.waitForOtherView(req.Context(), report.LastView, wait)
	if err != nil {
		return // the caller has closed the connection
	}
	if view == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeView(w, req, view)
}

// serveView responds with the latest view.
func (r *Replica) serveView(w http.ResponseWriter, req *http.Request) {
	view, _ := r.views.latestView()
	if view == nil || !r.canServeReads() {
		writeError(w, fleet.ErrViewNotReady.Of(r.cfg.ID, nil))
		return
	}
	writeView(w, req, view)
}

// writeView writes a view, compressed with gzip if the caller accepts it.
func writeView(w http.ResponseWriter, req *http.Request, view *publishedView) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(viewHeader, fmt.Sprintf("%d.%d", view.version.Term, view.version.Epoch))
	body := view.json
	if strings.Contains(req.Header.Get("Accept-Encoding"), "gzip") {
		header.Set("Content-Encoding", "gzip")
		body = view.gzipped
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// serveSession responds with the highest incarnation of a node and, if there is one, its open session.
func (r *Replica) serveSession(w http.ResponseWriter, req *http.Request) {
	if !r.canServeReads() {
		writeError(w, r.staleReadError())
		return
	}
	var status fleet.SessionStatus
	r.fsm.read(func(*State) { status = r.sessions.Status(req.PathValue("node")) })
	writeJSON(w, status)
}

// sessionResponse is the response to a call that opens a session.
type sessionResponse struct {
	Revision int64          `json:"revision"`
	Session  *fleet.Session `json:"session"`
}

func newSessionResponse(result Result) any {
	return sessionResponse{Revision: result.Revision, Session: resultValue[fleet.Session](result)}
}

func (r *Replica) decodeOpenSession(req *http.Request) (statemachine.Command, error) {
	var session fleet.Session
	if err := decodeBody(req, &session); err != nil {
		return nil, err
	}
	if err := r.validateTTL(session.TTLms); err != nil {
		return nil, err
	}
	if err := session.Validate(); err != nil {
		return nil, err
	}
	return &openSessionCommand{fleet.SessionCommand{Op: fleet.OpOpenSession, Session: session}}, nil
}

func decodeCloseSession(req *http.Request) (statemachine.Command, error) {
	incarnation, err := strconv.ParseUint(req.URL.Query().Get("incarnation"), 10, 64)
	if err != nil {
		return nil, ErrMalformed.Of("incarnation", err)
	}
	session := fleet.Session{Node: req.PathValue("node"), Incarnation: incarnation}
	return &fleet.SessionCommand{Op: fleet.OpCloseSession, Session: session}, nil
}
