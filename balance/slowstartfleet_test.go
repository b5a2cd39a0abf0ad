package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// testFleet runs Balancers that share nothing but their endpoints, with random arrivals. Each endpoint works on one
// request at a time, and more slowly in slow start.
type testFleet struct {
	cfg         Config
	work        time.Duration // work of a mean request
	rng         *rand.Rand
	now         time.Duration
	nodes       []*Balancer
	freeAt      map[EndpointID]time.Duration // when the endpoint will have done all its work
	queued      map[EndpointID]int
	endpoints   []Endpoint
	events      eventQueue
	sequence    int
	forwardedAt map[EndpointID][]time.Duration
}

// scheduledEvent is a call at a time of the simulation; seq orders events of the same time.
type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap of events, the next event first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// fleetWarmUp is how long a fleet runs before the endpoint in slow start is added.
const fleetWarmUp = 6 * time.Second

func newFleet(t *testing.T, cfg Config, work time.Duration, seed uint64, endpoints int) *testFleet {
	f := &testFleet{cfg: cfg, work: work, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		freeAt: map[EndpointID]time.Duration{}, queued: map[EndpointID]int{}, forwardedAt: map[EndpointID][]time.Duration{}}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, listedEndpoint(EndpointID(i+1), 0, 0))
	}
	for i := range cfg.Instances {
		f.nodes = append(f.nodes, nil)
		f.restart(t, i)
	}
	return f
}

// restart replaces a node by a new process. The endpoints continue to process the requests of the old process.
func (f *testFleet) restart(t *testing.T, i int) {
	cfg := f.cfg
	cfg.Index = i
	b, err := New(cfg, f.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	f.nodes[i] = b
	f.handle(b, EndpointsListed{Kind: CachedList, Endpoints: f.endpoints})
}

// after schedules a call for d after the present time.
func (f *testFleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, scheduledEvent{f.now + d, f.sequence, do})
}

// run carries out all scheduled events until a time.
func (f *testFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(scheduledEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *testFleet) slowStartFraction(id EndpointID) float64 {
	endpoint := f.endpoints[id-1]
	if endpoint.StartedAt == 0 {
		return 1
	}
	first := f.cfg.Rules.SlowStartFraction
	return min(1, first+(1-first)*float64(f.now-endpoint.StartedAt)/float64(f.cfg.Rules.SlowStartDuration))
}

func (f *testFleet) handle(b *Balancer, ev Event) {
	for _, a := range b.Handle(f.now, ev, nil) {
		switch a.Kind {
		case SetTimer:
			f.after(a.Delay, func() { f.handle(b, TimerFired{ID: a.TimerID}) })
		case HealthCheck:
			active := f.queued[a.Endpoint]
			f.after(ms, func() {
				f.handle(b, HealthChecked{Endpoint: a.Endpoint, Elapsed: ms, Load: Load{Has: HasActive, Active: float64(active)}})
			})
		case Forward:
			f.forwardedAt[a.Endpoint] = append(f.forwardedAt[a.Endpoint], f.now)
			f.queued[a.Endpoint]++
			work := float64(f.work) * math.Exp(0.5*f.rng.NormFloat64()-0.125) / f.slowStartFraction(a.Endpoint)
			f.freeAt[a.Endpoint] = max(f.freeAt[a.Endpoint], f.now) + time.Duration(work)
			took := f.freeAt[a.Endpoint] - f.now + ms
			f.after(took, func() {
				f.queued[a.Endpoint]--
				f.handle(b, AttemptEnded{Request: a.Request, Attempt: a.Attempt, Endpoint: a.Endpoint, Elapsed: took, Final: true})
			})
		}
	}
}

// traffic has requests arrive at node i at a mean rate, without end. Their work hints are inexact.
func (f *testFleet) traffic(i int, perSecond float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		f.sequence++
		hint := time.Duration(float64(f.work) * math.Exp(0.8*f.rng.NormFloat64()-0.32))
		f.handle(f.nodes[i], RequestArrived{Request: fmt.Sprint(f.sequence), Class: idempotent,
			TimeLeft: time.Second, ExpectedWork: hint})
		f.traffic(i, perSecond)
	})
}

// An endpoint in slow start never gets more than it can take from all nodes together, in any OverloadWindow: the number
// of requests that its budget allows, and beyond that twice the square root of that number and 2 for random arrivals.
// The test varies the number of nodes, of which one gets several times the mean traffic, the work of a request, and the
// load. All nodes are notified of the endpoint at almost the same time. The test runs with load reports and without
// them, and with most nodes restarted a moment after the notification. Under overload a part of the budget must be
// used.
//
// A node computes its part without asking other nodes. It grants slowStartMargin of the budget, times the work a second
// that one warm endpoint does for the node, or times 1/Instances if 1/Instances is larger. All nodes together get no
// more work from a warm endpoint than it can do. If a grant is less than one request, the node grants one request at
// random.
func TestFleetDoesNotOverloadEndpointsInSlowStart(t *testing.T) {
	for _, instances := range []int{1, 8, 30} {
		for _, work := range []time.Duration{16 * ms, 60 * ms} {
			for _, load := range []float64{0.35, 1.2} {
				for i := range 4 {
					noReports, restarts := i%2 > 0, i/2 > 0
					for seed := range uint64(2) {
						over, used := slowStartRun(t, instances, work, load, 6, noReports, restarts, seed)
						if over > 1 || load > 1 && used < 0.05 {
							t.Errorf("%d nodes, work of %v, load %v, without load reports %v, restarts %v, seed %d: "+
								"%.2f times the allowed load in the worst window, %.2f of the budget used",
								instances, work, load, noReports, restarts, seed, over, used)
						}
					}
				}
			}
		}
	}
}

// slowStartRun returns the load of the worst window, as a multiple of what an endpoint in slow start can take, and the
// fraction of its budget that was used.
func slowStartRun(t *testing.T, instances int, work time.Duration, load float64, replaced int, noReports, restarts bool,
	seed uint64) (worst, used float64) {
	const warm, starting = 8, EndpointID(9)
	cfg := testConfig()
	cfg.Instances, cfg.Tenants, cfg.Limits.HealthChecks = instances, nil, !noReports
	cfg.Rules.SlowStartFraction, cfg.Rules.SlowStartDuration, cfg.Rules.OverloadWindow = 0.14, 23*time.Second, time.Second
	f := newFleet(t, cfg, work, seed, warm)
	total, weights := 0.0, make([]float64, instances)
	for i := range weights {
		weights[i] = math.Exp(0.5 * f.rng.NormFloat64())
		if i == 0 {
			weights[i] *= 5
		}
		total += weights[i]
	}
	for i, w := range weights {
		f.traffic(i, load*warm*w/total/f.work.Seconds())
	}
	f.run(time.Hour + fleetWarmUp)
	changes := []Endpoint{listedEndpoint(starting, 0, 0)}
	for i := range replaced {
		f.endpoints[i].Phase = Removed
		changes = append(changes, listedEndpoint(starting+1+EndpointID(i), 0, 0))
	}
	for i := range changes {
		changes[i].StartedAt = f.now - 300*ms
	}
	f.endpoints = append(f.endpoints, changes...)
	changes = append(changes, f.endpoints[:replaced]...)
	for i, b := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(200*ms))), func() {
			f.handle(b, EndpointsListed{Kind: ListChanges, Endpoints: changes})
			if restarts && i%4 > 0 {
				f.after(400*ms, func() { f.restart(t, i) })
			}
		})
	}
	start := f.now
	f.run(start + 6*time.Second)
	// The budget of a window is that at its start, which is the least in the window.
	budget := func(at time.Duration) float64 {
		g := testFleet{cfg: cfg, now: at, endpoints: f.endpoints}
		window := cfg.Rules.OverloadWindow.Seconds()
		return cfg.Rules.OverloadMultiple * g.slowStartFraction(starting) * window / f.work.Seconds()
	}
	sent := f.forwardedAt[starting]
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at < from+cfg.Rules.OverloadWindow {
				n++
			}
		}
		allowed := budget(from)
		worst = max(worst, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
	}
	return worst, float64(len(sent)) / 6 / budget(start+3*time.Second)
}
