package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hitchvale/internal/statemachine"
)

// The model runs a fleet in one process on virtual time. Agents, sessions and the collector are the real ones. The
// registry between them is modelled: calls and responses are lost or delayed, and the leader changes. Processes stall,
// crash and start again. Every choice is drawn from a seed.

const modelInterval = time.Second

// registryModel is the registry of the model, with the records that the invariants are checked against.
type registryModel struct {
	mu            sync.Mutex
	rng           *rand.Rand
	start         time.Time
	calls         sync.WaitGroup // calls that are in progress
	sessions      *SessionStore
	revision      int64
	term          uint64
	collector     *Collector // nil while there is no leader
	view          View
	changed       chan struct{} // closed when view changes
	lastHeartbeat map[string]time.Time
	noFaults      bool // no further call or response is lost or delayed by more than 20 ms

	sentAt   map[string]time.Time   // when each report was made, by reportKey
	views    map[ViewVersion]string // every view published, as text
	timeline []string
	// trustArrival is a planted fault: a report counts as made when it arrives.
	trustArrival bool
	violations   []string
}

func newRegistryModel(seed uint64) *registryModel {
	return &registryModel{rng: rand.New(rand.NewPCG(seed, 21)), start: time.Now(), sessions: NewSessionStore(), term: 1,
		collector: NewCollector(1, modelInterval), changed: make(chan struct{}), lastHeartbeat: map[string]time.Time{},
		sentAt: map[string]time.Time{}, views: map[ViewVersion]string{}}
}

func reportKey(node string, incarnation, sequence uint64) string {
	return fmt.Sprintf("%s/%d/%d", node, incarnation, sequence)
}

// logEvent adds a line to the timeline.
func (m *registryModel) logEvent(format string, args ...any) {
	m.timeline = append(m.timeline, fmt.Sprintf("%7.3f %s", time.Since(m.start).Seconds(), fmt.Sprintf(format, args...)))
}

func (m *registryModel) violate(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// tick does what the leader does once an interval: it expires sessions, publishes a view, and checks the ages in the
// view.
func (m *registryModel) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.collector == nil {
		return
	}
	now := time.Now()
	for node, s := range m.sessions.Open {
		last, ok := m.lastHeartbeat[node]
		if !ok {
			m.lastHeartbeat[node] = now
		} else if now.Sub(last) > time.Duration(s.TTLms)*time.Millisecond {
			m.apply("session-expire", s)
		}
	}
	v := m.collector.Compile(m.sessions, m.revision, time.Since(m.start))
	for _, n := range v.Nodes {
		report, ok := m.collector.reports[n.Node]
		if !ok || n.AgeMs < 0 {
			continue
		}
		age := now.Sub(m.sentAt[reportKey(n.Node, report.Incarnation, report.Sequence)])
		if n.Fresh && age > maxFreshAgeIntervals*modelInterval || age.Milliseconds() > n.AgeMs {
			m.violate("the view has the report of %s, which is %v old, as %d ms old, fresh: %v", n.Node, age, n.AgeMs, n.Fresh)
		}
	}
	m.view = v
	m.views[v.ViewVersion] = fmt.Sprint(v)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *registryModel) apply(op statemachine.Operation, s Session) (Session, error) {
	before := m.sessions.LastIncarnation[s.Node]
	outcome, err := m.sessions.Apply(&SessionCommand{op, s}, m.revision+1)
	if err == nil && !outcome.Unchanged {
		m.revision++
	}
	if m.sessions.LastIncarnation[s.Node] < before {
		m.violate("the last incarnation of %s fell", s.Node)
	}
	stored, _ := outcome.Value.(Session)
	return stored, err
}

// elect changes the leader. There is no leader for the time gap, and then a new term whose collector has no report.
func (m *registryModel) elect(gap time.Duration) {
	m.mu.Lock()
	m.logEvent("no leader for %v", gap)
	m.collector = nil
	m.mu.Unlock()
	time.Sleep(gap)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term++
	m.collector, m.lastHeartbeat = NewCollector(m.term, modelInterval), map[string]time.Time{}
	m.logEvent("term %d", m.term)
}

// link is the connection of one process to the registry. It implements Registry.
type link struct {
	*registryModel
	node         string
	stalledUntil time.Time // the process is stalled until this time
	processEnded context.Context
	calls        *sync.WaitGroup
}

// drawLink draws the delays of a call and of its response, and whether the call or the response is lost.
func (m *registryModel) drawLink() (callDelay, responseDelay time.Duration, callLost, responseLost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	callDelay = time.Duration(1+m.rng.IntN(20)) * time.Millisecond
	responseDelay = time.Duration(1+m.rng.IntN(20)) * time.Millisecond
	if m.noFaults {
		return callDelay, responseDelay, false, false
	}
	if m.rng.IntN(8) == 0 {
		callDelay += time.Duration(m.rng.IntN(9000)) * time.Millisecond
	}
	return callDelay, responseDelay, m.rng.IntN(20) == 0, m.rng.IntN(20) == 0
}

// callOverLink makes a call over the link. A call that is not lost reaches the registry even if the caller has given
// up.
func callOverLink[T any](l *link, ctx context.Context, limit time.Duration, call func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var zero T
	l.mu.Lock()
	stall := time.Until(l.stalledUntil)
	l.mu.Unlock()
	sleep(l.processEnded, stall)
	callDelay, responseDelay, callLost, responseLost := l.drawLink()
	responded := make(chan result, 1)
	l.calls.Go(func() {
		if time.Sleep(callDelay); callLost {
			return
		}
		value, err := call()
		if time.Sleep(responseDelay); !responseLost {
			responded <- result{value, err}
		}
	})
	timer := time.NewTimer(limit + callTimeout)
	defer timer.Stop()
	select {
	case r := <-responded:
		return r.value, r.err
	case <-timer.C:
		return zero, ErrRegistryUnreachable.Of("model", context.DeadlineExceeded)
	case <-ctx.Done():
		return zero, ErrRegistryUnreachable.Of("model", ctx.Err())
	case <-l.processEnded.Done():
		return zero, ErrRegistryUnreachable.Of("model", l.processEnded.Err())
	}
}

func (l *link) SessionStatus(ctx context.Context, node string) (SessionStatus, error) {
	return callOverLink(l, ctx, 0, func() (status SessionStatus, err error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.collector == nil {
			return status, ErrViewNotReady.Of("model", nil)
		}
		return l.sessions.Status(node), nil
	})
}

func (l *link) OpenSession(ctx context.Context, s Session) (Session, error) {
	return callOverLink(l, ctx, 0, func() (Session, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.collector == nil {
			return Session{}, ErrViewNotReady.Of("model", nil)
		}
		l.lastHeartbeat[s.Node] = time.Now()
		stored, err := l.apply("session-open", s)
		l.logEvent("%s open %d by %s: %v", s.Node, s.Incarnation, s.Process, err)
		return stored, err
	})
}

func (l *link) CloseSession(ctx context.Context, node string, incarnation uint64) error {
	_, err := callOverLink(l, ctx, 0, func() (Session, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.apply("session-close", Session{Node: node, Incarnation: incarnation})
	})
	return err
}

func (l *link) SendReport(ctx context.Context, r ReportRequest, wait time.Duration) (View, bool, error) {
	type response struct {
		view View
		ok   bool
	}
	l.mu.Lock()
	l.sentAt[reportKey(r.Node, r.Incarnation, r.Sequence)] = time.Now()
	l.mu.Unlock()
	got, err := callOverLink(l, ctx, wait, func() (response, error) {
		l.mu.Lock()
		if l.collector == nil {
			l.mu.Unlock()
			return response{}, ErrViewNotReady.Of("model", nil)
		}
		if l.trustArrival {
			r.LastView = ViewVersion{l.collector.term, l.collector.epoch}
		}
		err := l.collector.Add(l.sessions, r)
		if err == nil {
			l.lastHeartbeat[r.Node] = time.Now()
		}
		l.mu.Unlock()
		if err != nil {
			return response{}, err
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			l.mu.Lock()
			view, changed := l.view, l.changed
			l.mu.Unlock()
			if view.Epoch != 0 && view.ViewVersion != r.LastView {
				return response{view, true}, nil
			}
			select {
			case <-changed:
			case <-timer.C:
				return response{}, nil
			}
		}
	})
	return got.view, got.ok, err
}

// process is one process of a node.
type process struct {
	agent *Agent
	link  *link
	kill  context.CancelFunc
	ended chan error
}

// playModel plays the schedule of a seed with a number of nodes. It returns the violated invariants and the timeline.
// If planted is true, the registry has the planted fault trustArrival.
func playModel(t *testing.T, seed uint64, nodes int, planted bool) (violations, timeline []string) {
	synctest.Test(t, func(t *testing.T) {
		m := newRegistryModel(seed)
		m.trustArrival = planted
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		processes := map[string][]*process{}
		start := func(node string) {
			processCtx, kill := context.WithCancel(ctx)
			name := fmt.Sprintf("%s.%d", node, len(processes[node])+1)
			p := &process{
				link:  &link{registryModel: m, node: node, processEnded: processCtx, calls: &m.calls},
				kill:  kill,
				ended: make(chan error, 1),
			}
			p.agent = NewAgent(AgentConfig{Node: node, Site: "a", Address: "127.0.0.1:1", Interval: modelInterval}, name, p.link,
				func() Report { return Report{Metrics: LoadMetrics{Connections: 1}} }, slog.New(slog.DiscardHandler))
			processes[node] = append(processes[node], p)
			running.Go(func() { p.ended <- p.agent.Run(processCtx) })
		}
		name := func(i int) string { return fmt.Sprintf("n%d", i) }
		for i := range nodes {
			start(name(i))
		}
		running.Go(func() {
			for ticker := time.NewTicker(modelInterval); ctx.Err() == nil; {
				select {
				case <-ticker.C:
					m.tick()
				case <-ctx.Done():
					ticker.Stop()
				}
			}
		})
		seen := map[*process]ViewVersion{}
		checkViews := func() {
			for _, ps := range processes {
				for _, p := range ps {
					v, _, ok := p.agent.View()
					if !ok {
						continue
					}
					if v.ViewVersion.Before(seen[p]) {
						m.violate("the view of %s went from version %v back to %v", p.link.node, seen[p], v.ViewVersion)
					}
					if seen[p] = v.ViewVersion; fmt.Sprint(v) != m.views[v.ViewVersion] {
						m.violate("%s has a view that differs from the published version %v", p.link.node, v.ViewVersion)
					}
				}
			}
		}
		for range 6 + m.rng.IntN(6) {
			time.Sleep(time.Duration(m.rng.IntN(3000)) * time.Millisecond)
			m.mu.Lock()
			node, fault := name(m.rng.IntN(nodes)), m.rng.IntN(4)
			duration := time.Duration(m.rng.IntN(9000)) * time.Millisecond
			last := processes[node][len(processes[node])-1]
			switch fault {
			case 0:
				m.logEvent("%s stalls for %v", node, duration)
				last.link.stalledUntil = time.Now().Add(duration)
			case 1:
				m.logEvent("%s is killed and started again", node)
				last.kill()
			case 2:
				m.logEvent("%s: a second process starts in addition to the first", node)
			}
			m.mu.Unlock()
			switch fault {
			case 1, 2:
				start(node)
			case 3:
				m.elect(duration / 3)
			}
			m.mu.Lock()
			checkViews()
			m.mu.Unlock()
		}
		m.mu.Lock()
		m.noFaults = true
		m.logEvent("end of the faults")
		m.mu.Unlock()
		time.Sleep(40 * modelInterval) // longer than every stall, call and TTL
		m.mu.Lock()
		checkViews()
		m.checkConverged(processes)
		violations, timeline = m.violations, m.timeline
		m.mu.Unlock()
		stop()
		running.Wait()
		m.calls.Wait()
	})
	return violations, timeline
}

// checkConverged checks the state long after the last fault. Each name must have exactly one live process and a fresh
// report, and every other process of the name must have been killed or have ended as superseded.
func (m *registryModel) checkConverged(processes map[string][]*process) {
	fresh := map[string]bool{}
	for _, n := range m.view.Nodes {
		fresh[n.Node] = n.Fresh
	}
	for node, ps := range processes {
		if !fresh[node] {
			m.violate("%s is not fresh long after the last fault", node)
		}
		live := 0
		for _, p := range ps {
			if p.link.processEnded.Err() != nil {
				continue
			}
			select {
			case err := <-p.ended:
				if !errors.Is(err, ErrSuperseded) {
					m.violate("a process of %s ended with %v, want %v", node, err, ErrSuperseded)
				}
			default:
				live++
			}
		}
		if live != 1 {
			m.violate("%s has %d live processes, want 1", node, live)
		}
	}
}

// modelSchedules returns the number of schedules that a test plays. The environment variable FLEET_SCHEDULES overrides
// it. The result of each seed does not depend on the number.
func modelSchedules() int {
	if n, err := strconv.Atoi(os.Getenv("FLEET_SCHEDULES")); err == nil {
		return n
	}
	return 10000
}

// Random schedules have lost and late calls, stalls, crashes, second processes of a node, and changes of the leader. No
// report counts as younger than it is. The versions of views never go back, and each version is the same for all
// readers. Incarnations rise. After the faults each name has one process and a fresh report.
func TestViewInvariantsUnderRandomFaults(t *testing.T) {
	const parts = 8
	for part := range uint64(parts) {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < uint64(modelSchedules()); seed += parts {
				if violations, timeline := playModel(t, seed, 3, false); len(violations) > 0 {
					t.Fatalf("seed %d: %s\n%s", seed, violations[0], strings.Join(timeline, "\n"))
				}
			}
		})
	}
}

// The same invariants hold in a fleet of 300 nodes.
func TestViewInvariantsAtFullSize(t *testing.T) {
	for seed := range uint64(1) {
		if violations, timeline := playModel(t, seed, 300, false); len(violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, violations[0], strings.Join(timeline[max(0, len(timeline)-40):], "\n"))
		}
	}
}

// The model detects a registry that derives a report's age from the time of the report's arrival.
func TestModelDetectsAgeDerivedFromArrival(t *testing.T) {
	for seed := range uint64(50) {
		if violations, _ := playModel(t, seed, 3, true); len(violations) > 0 {
			return
		}
	}
	t.Fatal("in 50 schedules no late report was shown as fresh")
}
