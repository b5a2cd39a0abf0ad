package fleet

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// defaultTTLIntervals is the TTL of a session, in intervals, if the configuration has no TTL.
	defaultTTLIntervals = 5

	// The backoff after failed calls starts at the interval divided by minRetryDivisor, and is at most maxRetryIntervals
	// intervals.
	minRetryDivisor   = 8
	maxRetryIntervals = 2

	// viewWaitIntervals is the number of intervals for which a call that sends a report waits for the next view.
	viewWaitIntervals = 2
)

// ReportSource returns a node's report without Node, Incarnation and Sequence, which the agent fills in. It must not
// block for long.
type ReportSource func() Report

// AgentConfig configures an Agent.
type AgentConfig struct {
	Node     string
	Site     string
	Address  string        // host:port that clients connect to
	Interval time.Duration // between two reports; equal to the registry's interval between views
	TTL      time.Duration // of the session; defaultTTLIntervals intervals if 0
	// OnView, if not nil, is called with each new view and the session's incarnation. The agent sends no report during
	// the call, so OnView must return within about an interval.
	OnView func(ctx context.Context, v View, incarnation uint64)
}

// Agent keeps a node's session open, sends a report about once an interval, and keeps the latest view. Run must be
// called once. View and Status are safe for concurrent use.
type Agent struct {
	cfg      AgentConfig
	registry Registry
	source   ReportSource
	log      *slog.Logger
	process  string
	retry    *backoff.ExponentialBackOff

	// The next three fields are used only by the goroutine of Run.
	incarnation     uint64 // of the open session; 0 if there is none
	lastIncarnation uint64 // the highest incarnation that this process had
	sequence        uint64 // of the last report

	mu         sync.Mutex // guards the fields below
	view       View
	receivedAt time.Time // when view was received
	superseded bool
	lastError  string // of the last call; "" if it succeeded
}

// NewAgent returns an agent that does nothing until Run is called. process is a unique ID of the process.
func NewAgent(cfg AgentConfig, process string, registry Registry, source ReportSource, log *slog.Logger) *Agent {
	cfg.TTL = cmp.Or(cfg.TTL, defaultTTLIntervals*cfg.Interval)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = cfg.Interval / minRetryDivisor
	retry.MaxInterval = maxRetryIntervals * cfg.Interval
	return &Agent{cfg: cfg, registry: registry, source: source, log: log, process: process, retry: retry}
}

// Run takes part in the fleet until ctx ends. Then it closes the session and returns nil. If a newer process takes the
// node's name, Run returns ErrSuperseded immediately. Run must not be called again.
func (a *Agent) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := a.callOnce(ctx)
		a.recordResult(err)
		// The wait is random because the nodes got the last view at the same time and must not all report at the same
		// time.
		wait := rand.N(a.cfg.Interval/2 + 1)
		switch {
		case err == nil:
			a.retry.Reset()
		case errors.Is(err, ErrSuperseded):
			a.log.Error("session superseded; the agent stops", "node", a.cfg.Node, "incarnation", a.incarnation, "error", err)
			return err
		case errors.Is(err, ErrSessionNotFound):
			a.incarnation = 0 // the session expired, for example during a pause: the next call opens a session
		default:
			wait = a.retry.NextBackOff()
			a.log.Warn("fleet call failed; retrying", "node", a.cfg.Node, "error", err)
		}
		sleep(ctx, wait)
	}
	a.closeSession(ctx)
	return nil
}

// recordResult stores the result of a call for Status.
func (a *Agent) recordResult(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastError = ""
	if err != nil {
		a.lastError = err.Error()
	}
	a.superseded = errors.Is(err, ErrSuperseded)
}

// callOnce opens a session if there is none, and otherwise sends a report.
func (a *Agent) callOnce(ctx context.Context) error {
	if a.incarnation == 0 {
		return a.openSession(ctx)
	}
	return a.sendReport(ctx)
}

// sendReport sends a report, and passes the view that it receives to OnView if the view is new.
func (a *Agent) sendReport(ctx context.Context) error {
	a.mu.Lock()
	lastView := a.view.ViewVersion
	a.mu.Unlock()
	report := a.source()
	a.sequence++
	report.Node = a.cfg.Node
	report.Incarnation = a.incarnation
	report.Sequence = a.sequence
	report, err := report.Trimmed()
	if err != nil {
		return err
	}
	request := ReportRequest{Report: report, LastView: lastView}
	view, ok, err := a.registry.SendReport(ctx, request, viewWaitIntervals*a.cfg.Interval)
	if err != nil || !ok {
		return err
	}
	if a.acceptView(view) && a.cfg.OnView != nil {
		a.cfg.OnView(ctx, view, a.incarnation)
	}
	return nil
}

// acceptView stores a view if it is newer than the stored view, and reports whether it is. An older view arrives if the
// response of a former leader is late.
func (a *Agent) acceptView(v View) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.view.Before(v.ViewVersion) {
		return false
	}
	a.view = v
	a.receivedAt = time.Now()
	return true
}

// openSession opens a session with the incarnation above the last incarnation. It fails with ErrSuperseded if another
// process has had a session under the name since the last session of this process.
func (a *Agent) openSession(ctx context.Context) error {
	status, err := a.registry.SessionStatus(ctx, a.cfg.Node)
	if err != nil {
		return err
	}
	if status.Session != nil && status.Session.Process == a.process { // the response to OpenSession was lost
		a.incarnation = status.Session.Incarnation
		a.lastIncarnation = status.Session.Incarnation
		return nil
	}
	if a.lastIncarnation != 0 && status.LastIncarnation > a.lastIncarnation && status.LastProcess != a.process {
		return ErrSuperseded.Of(a.cfg.Node, nil)
	}
	session, err := a.registry.OpenSession(ctx, Session{
		Node:        a.cfg.Node,
		Site:        a.cfg.Site,
		Process:     a.process,
		Incarnation: status.LastIncarnation + 1,
		Address:     a.cfg.Address,
		TTLms:       a.cfg.TTL.Milliseconds(),
	})
	if errors.Is(err, ErrSuperseded) && a.lastIncarnation == 0 {
		// Between the two calls another process, or a late call of a former process, opened a session. Run must try
		// again, so the error does not wrap ErrSuperseded, which would end Run.
		return ErrSessionNotFound.Of(a.cfg.Node, nil)
	}
	if err != nil {
		return err
	}
	a.incarnation = session.Incarnation
	a.lastIncarnation = session.Incarnation
	a.log.Info("session opened", "node", session.Node, "incarnation", session.Incarnation)
	return nil
}

// closeSession closes the open session, if any, after ctx has ended. If the call fails, the session expires later.
func (a *Agent) closeSession(ctx context.Context) {
	if a.incarnation == 0 {
		return
	}
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.Interval)
	defer cancel()
	a.registry.CloseSession(closeCtx, a.cfg.Node, a.incarnation)
}

// View returns the last view and the time since it was received. It returns false if there is no view.
func (a *Agent) View() (v View, age time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view, time.Since(a.receivedAt), a.view.Epoch != 0
}

// AgentStatus is the state of an agent that operators see.
type AgentStatus struct {
	Node       string      `json:"node"`
	Version    ViewVersion `json:"view"`
	AgeMs      int64       `json:"age_ms"` // since the view was received; -1 if there is none
	Nodes      int         `json:"nodes"`  // number of nodes in the view
	Fresh      int         `json:"fresh"`  // number of fresh nodes in the view
	Superseded bool        `json:"superseded"`
	Error      string      `json:"error,omitempty"` // error of the last call
}

// Status returns the agent's state.
func (a *Agent) Status() AgentStatus {
	view, age, ok := a.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	status := AgentStatus{
		Node:       a.cfg.Node,
		Version:    view.ViewVersion,
		AgeMs:      -1,
		Nodes:      len(view.Nodes),
		Superseded: a.superseded,
		Error:      a.lastError,
	}
	if ok {
		status.AgeMs = age.Milliseconds()
	}
	for _, node := range view.Nodes {
		if node.Fresh {
			status.Fresh++
		}
	}
	return status
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
