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

// The fleet in one process, on virtual time: real agents, sessions and collector, with a registry between them whose
// calls are lost, held up, answered to nobody, and whose leader changes; processes stall, crash and start again. All is
// drawn from a seed.

const modelInterval = time.Second

// world is the registry of the model, and what is known of it from outside.
type registryModel struct {
	mu            sync.Mutex
	rng           *rand.Rand
	start         time.Time
	calls         sync.WaitGroup // under way
	sessions      *SessionStore
	revision      int64
	term          uint64
	collector     *Collector // nil: no leader
	view          View
	changed       chan struct{}
	lastHeartbeat map[string]time.Time
	noFaults      bool // no more faults

	sentAt   map[string]time.Time // when a report was made, by node, incarnation and number
	views    map[ViewVersion]string
	timeline []string
	// trustArrival is a planted bug: a report counts as made when it arrives.
	trustArrival bool
	violations   []string
}

func newRegistryModel(seed uint64) *registryModel {
	return &registryModel{rng: rand.New(rand.NewPCG(seed, 21)), start: time.Now(), sessions: NewSessionStore(), term: 1,
		collector: NewCollector(1, modelInterval), changed: make(chan struct{}), lastHeartbeat: map[string]time.Time{},
		sentAt: map[string]time.Time{}, views: map[ViewVersion]string{}}
}

func reportKey(node string, incarnation, seq uint64) string {
	return fmt.Sprintf("%s/%d/%d", node, incarnation, seq)
}

// row adds a line of the timeline.
func (w *registryModel) logEvent(format string, args ...any) {
	w.timeline = append(w.timeline, fmt.Sprintf("%7.3f %s", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...)))
}

func (w *registryModel) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// tick is a leader's round: expiry, and a view.
func (w *registryModel) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.collector == nil {
		return
	}
	now := time.Now()
	for node, s := range w.sessions.Open {
		last, ok := w.lastHeartbeat[node]
		if !ok {
			w.lastHeartbeat[node] = now
		} else if now.Sub(last) > time.Duration(s.TTLms)*time.Millisecond {
			w.apply("session-expire", s)
		}
	}
	v := w.collector.Compile(w.sessions, w.revision, time.Since(w.start))
	for _, n := range v.Nodes {
		h, ok := w.collector.reports[n.Node]
		if !ok || n.AgeMs < 0 {
			continue
		}
		age := now.Sub(w.sentAt[reportKey(n.Node, h.Incarnation, h.Sequence)])
		if n.Fresh && age > maxFreshAgeIntervals*modelInterval || age.Milliseconds() > n.AgeMs {
			w.violate("a report of %s, %v old, is shown as %d ms old, fresh: %v", n.Node, age, n.AgeMs, n.Fresh)
		}
	}
	w.view = v
	w.views[v.ViewVersion] = fmt.Sprint(v)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *registryModel) apply(op statemachine.Operation, s Session) (Session, error) {
	before := w.sessions.LastIncarnation[s.Node]
	out, err := w.sessions.Apply(&SessionCommand{op, s}, w.revision+1)
	if err == nil && !out.Unchanged {
		w.revision++
	}
	if w.sessions.LastIncarnation[s.Node] < before {
		w.violate("the incarnation of %s went back", s.Node)
	}
	stored, _ := out.Value.(Session)
	return stored, err
}

// elect changes the leader: a while without one, then a term whose collector knows no report.
func (w *registryModel) elect(gap time.Duration) {
	w.mu.Lock()
	w.logEvent("leader lost for %v", gap)
	w.collector = nil
	w.mu.Unlock()
	time.Sleep(gap)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.term++
	w.collector, w.lastHeartbeat = NewCollector(w.term, modelInterval), map[string]time.Time{}
	w.logEvent("term %d", w.term)
}

// link is one process's way to the registry.
type link struct {
	*registryModel
	node         string
	stalledUntil time.Time // the process is paused until then
	processEnded context.Context
	calls        *sync.WaitGroup
}

// way draws what becomes of a call: how long it takes there and back, and whether either is lost.
func (w *registryModel) drawLink() (there, back time.Duration, lostThere, lostBack bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	there, back = time.Duration(1+w.rng.IntN(20))*time.Millisecond, time.Duration(1+w.rng.IntN(20))*time.Millisecond
	if w.noFaults {
		return there, back, false, false
	}
	if w.rng.IntN(8) == 0 {
		there += time.Duration(w.rng.IntN(9000)) * time.Millisecond
	}
	return there, back, w.rng.IntN(20) == 0, w.rng.IntN(20) == 0
}

// over makes a call over the link. What has been sent arrives even if nobody waits for the answer any more.
func callOverLink[T any](l *link, ctx context.Context, limit time.Duration, f func() (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	var zero T
	l.mu.Lock()
	stall := time.Until(l.stalledUntil)
	l.mu.Unlock()
	sleep(l.processEnded, stall)
	there, back, lostThere, lostBack := l.drawLink()
	got := make(chan result, 1)
	l.calls.Go(func() {
		if time.Sleep(there); lostThere {
			return
		}
		v, err := f()
		if time.Sleep(back); !lostBack {
			got <- result{v, err}
		}
	})
	t := time.NewTimer(limit + callTimeout)
	defer t.Stop()
	select {
	case r := <-got:
		return r.v, r.err
	case <-t.C:
		return zero, ErrRegistryUnreachable.Of("model", context.DeadlineExceeded)
	case <-ctx.Done():
		return zero, ErrRegistryUnreachable.Of("model", ctx.Err())
	case <-l.processEnded.Done():
		return zero, ErrRegistryUnreachable.Of("model", l.processEnded.Err())
	}
}

func (l *link) SessionStatus(ctx context.Context, node string) (SessionStatus, error) {
	return callOverLink(l, ctx, 0, func() (h SessionStatus, err error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.collector == nil {
			return h, ErrViewNotReady.Of("model", nil)
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
	type answer struct {
		v    View
		came bool
	}
	l.mu.Lock()
	l.sentAt[reportKey(r.Node, r.Incarnation, r.Sequence)] = time.Now()
	l.mu.Unlock()
	a, err := callOverLink(l, ctx, wait, func() (answer, error) {
		l.mu.Lock()
		if l.collector == nil {
			l.mu.Unlock()
			return answer{}, ErrViewNotReady.Of("model", nil)
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
			return answer{}, err
		}
		t := time.NewTimer(wait)
		defer t.Stop()
		for {
			l.mu.Lock()
			v, next := l.view, l.changed
			l.mu.Unlock()
			if v.Epoch != 0 && v.ViewVersion != r.LastView {
				return answer{v, true}, nil
			}
			select {
			case <-next:
			case <-t.C:
				return answer{}, nil
			}
		}
	})
	return a.v, a.came, err
}

// process is one start of a node.
type process struct {
	agent *Agent
	link  *link
	kill  context.CancelFunc
	ended chan error
}

// fleetModel plays one schedule over nodes and gives what was broken.
func playModel(t *testing.T, seed uint64, nodes int, planted bool) (broken, timeline []string) {
	synctest.Test(t, func(t *testing.T) {
		w := newRegistryModel(seed)
		w.trustArrival = planted
		ctx, stop := context.WithCancel(context.Background())
		var all sync.WaitGroup
		processes := map[string][]*process{}
		start := func(node string) {
			processCtx, kill := context.WithCancel(ctx)
			name := fmt.Sprintf("%s.%d", node, len(processes[node])+1)
			p := &process{
				link:  &link{registryModel: w, node: node, processEnded: processCtx, calls: &w.calls},
				kill:  kill,
				ended: make(chan error, 1),
			}
			p.agent = NewAgent(AgentConfig{Node: node, Site: "a", Address: "127.0.0.1:1", Interval: modelInterval}, name, p.link,
				func() Report { return Report{Metrics: LoadMetrics{Connections: 1}} }, slog.New(slog.DiscardHandler))
			processes[node] = append(processes[node], p)
			all.Go(func() { p.ended <- p.agent.Run(processCtx) })
		}
		name := func(i int) string { return fmt.Sprintf("n%d", i) }
		for i := range nodes {
			start(name(i))
		}
		all.Go(func() {
			for tick := time.NewTicker(modelInterval); ctx.Err() == nil; {
				select {
				case <-tick.C:
					w.tick()
				case <-ctx.Done():
					tick.Stop()
				}
			}
		})
		seen := map[*process]ViewVersion{}
		look := func() {
			for _, ps := range processes {
				for _, p := range ps {
					v, _, ok := p.agent.View()
					if !ok {
						continue
					}
					if v.ViewVersion.Before(seen[p]) {
						w.violate("%s went back from %v to %v", p.link.node, seen[p], v.ViewVersion)
					}
					if seen[p] = v.ViewVersion; fmt.Sprint(v) != w.views[v.ViewVersion] {
						w.violate("%s reads another view under %v", p.link.node, v.ViewVersion)
					}
				}
			}
		}
		for range 6 + w.rng.IntN(6) {
			time.Sleep(time.Duration(w.rng.IntN(3000)) * time.Millisecond)
			w.mu.Lock()
			node, kind, long := name(w.rng.IntN(nodes)), w.rng.IntN(4), time.Duration(w.rng.IntN(9000))*time.Millisecond
			last := processes[node][len(processes[node])-1]
			switch kind {
			case 0:
				w.logEvent("%s stalls for %v", node, long)
				last.link.stalledUntil = time.Now().Add(long)
			case 1:
				w.logEvent("%s killed and started", node)
				last.kill()
			case 2:
				w.logEvent("%s: a second process beside the first", node)
			}
			w.mu.Unlock()
			switch kind {
			case 1, 2:
				start(node)
			case 3:
				w.elect(long / 3)
			}
			w.mu.Lock()
			look()
			w.mu.Unlock()
		}
		w.mu.Lock()
		w.noFaults = true
		w.logEvent("calm")
		w.mu.Unlock()
		time.Sleep(40 * modelInterval) // past every stall, call and TTL
		w.mu.Lock()
		look()
		w.checkConverged(processes)
		broken, timeline = w.violations, w.timeline
		w.mu.Unlock()
		stop()
		all.Wait()
		w.calls.Wait()
	})
	return broken, timeline
}

// checkConverged checks what must hold once faults have been over for long: each name is held by one live process, the others
// of it are superseded and have ended, and its report is fresh.
func (w *registryModel) checkConverged(processes map[string][]*process) {
	fresh := map[string]bool{}
	for _, n := range w.view.Nodes {
		fresh[n.Node] = n.Fresh
	}
	for node, ps := range processes {
		if !fresh[node] {
			w.violate("%s is not fresh long after the last fault", node)
		}
		live := 0
		for _, p := range ps {
			if p.link.processEnded.Err() != nil {
				continue
			}
			select {
			case err := <-p.ended:
				if !errors.Is(err, ErrSuperseded) {
					w.violate("a process of %s ended with %v", node, err)
				}
			default:
				live++
			}
		}
		if live != 1 {
			w.violate("%d live processes have the name %s", live, node)
		}
	}
}

// modelSchedules is how many schedules a test plays; FLEET_SCHEDULES sets another number, and changes no verdict of a
// seed.
func modelSchedules() int {
	if n, err := strconv.Atoi(os.Getenv("FLEET_SCHEDULES")); err == nil {
		return n
	}
	return 10000
}

// Over drawn schedules of lost and late calls, stalls, crashes, second processes and leader changes: no report counts
// as younger than it is, views never go back and are the same for all readers, incarnations rise, and once faults are
// over each name has one process and a fresh report.
func TestViewInvariantsUnderRandomFaults(t *testing.T) {
	const parts = 8
	for part := range uint64(parts) {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < uint64(modelSchedules()); seed += parts {
				if broken, timeline := playModel(t, seed, 3, false); len(broken) > 0 {
					t.Fatalf("seed %d: %s\n%s", seed, broken[0], strings.Join(timeline, "\n"))
				}
			}
		})
	}
}

// A fleet of the full size holds the same invariants.
func TestViewInvariantsAtFullSize(t *testing.T) {
	for seed := range uint64(1) {
		if broken, timeline := playModel(t, seed, 300, false); len(broken) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, broken[0], strings.Join(timeline[max(0, len(timeline)-40):], "\n"))
		}
	}
}

// A collector that takes a report for as young as its arrival is caught.
func TestPlantedArrivalAgeIsDetected(t *testing.T) {
	for seed := range uint64(50) {
		if broken, _ := playModel(t, seed, 3, true); len(broken) > 0 {
			return
		}
	}
	t.Fatal("50 schedules did not show a late report that passes for fresh")
}
