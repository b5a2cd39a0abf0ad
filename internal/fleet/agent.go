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
type Source func() Report

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
const retryMost = 2

// Agent keeps a node's session, reports once an interval, and follows the view. Run owns it; View and Status may be
// called from anywhere.
type Agent struct {
	cfg     AgentConfig
	reg     Registry
	source  Source
	log     *slog.Logger
	process string
	retry   *backoff.ExponentialBackOff

	// For Run alone: the session's incarnation, 0 while there is none; the highest that this process had; its reports.
	incarnation, last, seq uint64

	mu         sync.Mutex
	view       View
	arrived    time.Time
	superseded bool
	failed     string // the last error; "" since a call succeeded
}

// NewAgent is an agent that does nothing until Run. process is drawn anew by each process.
func NewAgent(cfg AgentConfig, process string, reg Registry, source Source, log *slog.Logger) *Agent {
	cfg.TTL = cmp.Or(cfg.TTL, 5*cfg.Interval)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = cfg.Interval/8, retryMost*cfg.Interval
	return &Agent{cfg: cfg, reg: reg, source: source, log: log, process: process, retry: retry}
}

// Run keeps the node's part until ctx ends, when it closes the session, or until a newer process has the name: then it
// returns ErrSuperseded, and must not be run again.
func (a *Agent) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := a.step(ctx)
		a.mu.Lock()
		if a.failed = ""; err != nil {
			a.failed = err.Error()
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
		case errors.Is(err, ErrNoSession):
			a.incarnation = 0 // expired, as after a pause: the next step opens another
		default:
			wait = a.retry.NextBackOff()
			a.log.Warn("fleet", "node", a.cfg.Node, "error", err)
		}
		pause(ctx, wait)
	}
	if a.incarnation != 0 {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.Interval)
		defer cancel()
		a.reg.Close(end, a.cfg.Node, a.incarnation) // else it expires
	}
	return nil
}

// step makes one call: it opens the session where there is none, else it reports.
func (a *Agent) step(ctx context.Context) error {
	if a.incarnation == 0 {
		return a.open(ctx)
	}
	a.mu.Lock()
	echo := a.view.Stamp
	a.mu.Unlock()
	r := a.source()
	a.seq++
	r.Node, r.Incarnation, r.Seq = a.cfg.Node, a.incarnation, a.seq
	r, err := r.Bounded()
	if err != nil {
		return err
	}
	v, came, err := a.reg.Report(ctx, Echoed{Report: r, Echo: echo}, 2*a.cfg.Interval)
	if err != nil || !came {
		return err
	}
	if a.take(v) && a.cfg.OnView != nil {
		a.cfg.OnView(ctx, v, a.incarnation)
	}
	return nil
}

// take keeps a view unless it is no newer than the one held: an answer of a leader that no longer is one may come late.
func (a *Agent) take(v View) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.view.Stamp.Before(v.Stamp) {
		return false
	}
	a.view, a.arrived = v, time.Now()
	return true
}

// open opens a session one incarnation above the last, unless a newer process has been there since this one's.
func (a *Agent) open(ctx context.Context) error {
	h, err := a.reg.Session(ctx, a.cfg.Node)
	if err != nil {
		return err
	}
	if h.Session != nil && h.Session.Process == a.process { // its answer was lost
		a.incarnation, a.last = h.Session.Incarnation, h.Session.Incarnation
		return nil
	}
	if a.last != 0 && h.Last > a.last && h.Process != a.process {
		return ErrSuperseded.Of(a.cfg.Node, nil)
	}
	s, err := a.reg.Open(ctx, Session{Node: a.cfg.Node, Site: a.cfg.Site, Process: a.process, Incarnation: h.Last + 1,
		Address: a.cfg.Address, TTLms: a.cfg.TTL.Milliseconds()})
	if err != nil {
		if errors.Is(err, ErrSuperseded) && a.last == 0 {
			// Another process opened between the two calls, or a call of one that is gone came late: ask again. The
			// cause is left out, as it would say that this process is superseded.
			return ErrNoSession.Of(a.cfg.Node, nil)
		}
		return err
	}
	a.incarnation, a.last = s.Incarnation, s.Incarnation
	a.log.Info("session open", "node", s.Node, "incarnation", s.Incarnation)
	return nil
}

// View is the last view, and how long ago it came; false where there is none.
func (a *Agent) View() (v View, age time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view, time.Since(a.arrived), a.view.Epoch != 0
}

// Status is what an operator can ask of a node's agent.
type Status struct {
	Node       string `json:"node"`
	View       Stamp  `json:"view"`
	AgeMs      int64  `json:"age_ms"` // of the view, by the node's clock; -1: none
	Nodes      int    `json:"nodes"`
	Fresh      int    `json:"fresh"`
	Superseded bool   `json:"superseded"`
	Error      string `json:"error,omitempty"`
}

// Status tells how the agent stands.
func (a *Agent) Status() Status {
	v, age, ok := a.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{Node: a.cfg.Node, View: v.Stamp, AgeMs: -1, Nodes: len(v.Nodes), Superseded: a.superseded, Error: a.failed}
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

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
