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

// Source gives a node's report, without Node, Incarnation and Seq, which the agent knows. It must not block for long.
type ReportSource func() Report

// AgentConfig is what an agent is told.
type AgentConfig struct {
	Node, Site, Address string
	Interval            time.Duration // between two reports, the registry's own interval
	TTL                 time.Duration // of the session; 0: five intervals
	// OnView, where set, is called with each new view and the incarnation of the session, between two reports; it must
	// return within an interval or so.
	OnView func(ctx context.Context, v View, incarnation uint64)
}

// retryMost bounds the wait after a failed call, in intervals.
const maxRetryIntervals = 2

// Agent keeps a node's session, reports once an interval, and follows the view. Run owns it; View and Status may be
// called from anywhere.
type Agent struct {
	cfg      AgentConfig
	registry Registry
	source   ReportSource
	log      *slog.Logger
	process  string
	retry    *backoff.ExponentialBackOff

	// For Run alone: the session's incarnation, 0 while there is none; the highest that this process had; its reports.
	incarnation, lastIncarnation, sequence uint64

	mu         sync.Mutex
	view       View
	receivedAt time.Time
	superseded bool
	lastError  string // the last error; "" since a call succeeded
}

// NewAgent is an agent that does nothing until Run. process is drawn anew by each process.
func NewAgent(cfg AgentConfig, process string, reg Registry, source ReportSource, log *slog.Logger) *Agent {
	cfg.TTL = cmp.Or(cfg.TTL, 5*cfg.Interval)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = cfg.Interval/8, maxRetryIntervals*cfg.Interval
	return &Agent{cfg: cfg, registry: reg, source: source, log: log, process: process, retry: retry}
}

// Run keeps the node's part until ctx ends, when it closes the session, or until a newer process has the name: then it
// returns ErrSuperseded, and must not be run again.
func (a *Agent) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := a.runOnce(ctx)
		a.mu.Lock()
		if a.lastError = ""; err != nil {
			a.lastError = err.Error()
		}
		a.superseded = errors.Is(err, ErrSuperseded)
		a.mu.Unlock()
		wait := rand.N(a.cfg.Interval/2 + 1) // reports of a fleet that had its view at once must not come at once
		switch {
		case err == nil:
			a.retry.Reset()
		case errors.Is(err, ErrSuperseded):
			a.log.Error("a newer process has this node's name", "node", a.cfg.Node, "incarnation", a.incarnation, "error", err)
			return err
		case errors.Is(err, ErrSessionNotFound):
			a.incarnation = 0 // expired, as after a pause: the next step opens another
		default:
			wait = a.retry.NextBackOff()
			a.log.Warn("fleet", "node", a.cfg.Node, "error", err)
		}
		sleep(ctx, wait)
	}
	if a.incarnation != 0 {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.Interval)
		defer cancel()
		a.registry.CloseSession(end, a.cfg.Node, a.incarnation) // else it expires
	}
	return nil
}

// step makes one call: it opens the session where there is none, else it reports.
func (a *Agent) runOnce(ctx context.Context) error {
	if a.incarnation == 0 {
		return a.openSession(ctx)
	}
	a.mu.Lock()
	echo := a.view.ViewVersion
	a.mu.Unlock()
	r := a.source()
	a.sequence++
	r.Node, r.Incarnation, r.Sequence = a.cfg.Node, a.incarnation, a.sequence
	r, err := r.Trimmed()
	if err != nil {
		return err
	}
	v, came, err := a.registry.SendReport(ctx, ReportRequest{Report: r, LastView: echo}, 2*a.cfg.Interval)
	if err != nil || !came {
		return err
	}
	if a.acceptView(v) && a.cfg.OnView != nil {
		a.cfg.OnView(ctx, v, a.incarnation)
	}
	return nil
}

// take keeps a view unless it is no newer than the one held: an answer of a leader that no longer is one may come late.
func (a *Agent) acceptView(v View) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.view.ViewVersion.Before(v.ViewVersion) {
		return false
	}
	a.view, a.receivedAt = v, time.Now()
	return true
}

// open opens a session one incarnation above the last, unless a newer process has been there since this one's.
func (a *Agent) openSession(ctx context.Context) error {
	h, err := a.registry.SessionStatus(ctx, a.cfg.Node)
	if err != nil {
		return err
	}
	if h.Session != nil && h.Session.Process == a.process { // its answer was lost
		a.incarnation, a.lastIncarnation = h.Session.Incarnation, h.Session.Incarnation
		return nil
	}
	if a.lastIncarnation != 0 && h.LastIncarnation > a.lastIncarnation && h.LastProcess != a.process {
		return ErrSuperseded.Of(a.cfg.Node, nil)
	}
	s, err := a.registry.OpenSession(ctx, Session{Node: a.cfg.Node, Site: a.cfg.Site, Process: a.process, Incarnation: h.LastIncarnation + 1,
		Address: a.cfg.Address, TTLms: a.cfg.TTL.Milliseconds()})
	if err != nil {
		if errors.Is(err, ErrSuperseded) && a.lastIncarnation == 0 {
			// Another process opened between the two calls, or a call of one that is gone came late: ask again. The
			// cause is left out, as it would say that this process is superseded.
			return ErrSessionNotFound.Of(a.cfg.Node, nil)
		}
		return err
	}
	a.incarnation, a.lastIncarnation = s.Incarnation, s.Incarnation
	a.log.Info("session open", "node", s.Node, "incarnation", s.Incarnation)
	return nil
}

// View is the last view, and how long ago it came; false where there is none.
func (a *Agent) View() (v View, age time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view, time.Since(a.receivedAt), a.view.Epoch != 0
}

// Status is what an operator can ask of a node's agent.
type AgentStatus struct {
	Node       string      `json:"node"`
	Version    ViewVersion `json:"view"`
	AgeMs      int64       `json:"age_ms"` // of the view, by the node's clock; -1: none
	Nodes      int         `json:"nodes"`
	Fresh      int         `json:"fresh"`
	Superseded bool        `json:"superseded"`
	Error      string      `json:"error,omitempty"`
}

// Status tells how the agent stands.
func (a *Agent) Status() AgentStatus {
	v, age, ok := a.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AgentStatus{Node: a.cfg.Node, Version: v.ViewVersion, AgeMs: -1, Nodes: len(v.Nodes), Superseded: a.superseded, Error: a.lastError}
	if ok {
		s.AgeMs = age.Milliseconds()
	}
	for _, n := range v.Nodes {
		if n.Fresh {
			s.Fresh++
		}
	}
	return s
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
