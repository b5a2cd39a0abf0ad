package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// testFleet is balancers that share nothing but their endpoints, on random arrivals. Each endpoint works through
// what it gets one request after another, more slowly in slow start.
type testFleet struct {
	cfg         Config
	work        time.Duration // of a mean request
	rng         *rand.Rand
	now         time.Duration
	nodes       []*Balancer
	freeAt      map[EndpointID]time.Duration // when an endpoint has done all its work
	queued      map[EndpointID]int
	endpoints   []Endpoint
	agenda      agenda
	sequence    int
	forwardedAt map[EndpointID][]time.Duration
}

type due struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any     { x := (*a)[len(*a)-1]; *a = (*a)[:len(*a)-1]; return x }

// warmUp is how long a fleet runs before anything is judged.
const fleetWarmUp = 6 * time.Second

func newFleet(t *testing.T, cfg Config, work time.Duration, seed uint64, backends int) *testFleet {
	f := &testFleet{cfg: cfg, work: work, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		freeAt: map[EndpointID]time.Duration{}, queued: map[EndpointID]int{}, forwardedAt: map[EndpointID][]time.Duration{}}
	for i := range backends {
		f.endpoints = append(f.endpoints, listedEndpoint(EndpointID(i+1), 0, 0))
	}
	for i := range cfg.Instances {
		f.nodes = append(f.nodes, nil)
		f.restart(t, i)
	}
	return f
}

// restart puts a new process in the place of a node. What the old one has in flight goes on at the endpoints.
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

func (f *testFleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.agenda, due{f.now + d, f.sequence, do})
}

func (f *testFleet) run(until time.Duration) {
	for len(f.agenda) > 0 && f.agenda[0].at <= until {
		d := heap.Pop(&f.agenda).(due)
		f.now = d.at
		d.do()
	}
	f.now = until
}

func (f *testFleet) slowStartFraction(id EndpointID) float64 {
	m := f.endpoints[id-1]
	if m.StartedAt == 0 {
		return 1
	}
	first := f.cfg.Rules.SlowStartFraction
	return min(1, first+(1-first)*float64(f.now-m.StartedAt)/float64(f.cfg.Rules.SlowStartDuration))
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

// traffic has requests arrive at a node at some rate, without end. Their work hints are rough.
func (f *testFleet) traffic(i int, perSecond float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		f.sequence++
		hint := time.Duration(float64(f.work) * math.Exp(0.8*f.rng.NormFloat64()-0.32))
		f.handle(f.nodes[i], RequestArrived{Request: fmt.Sprint(f.sequence), Class: idempotent,
			TimeLeft: time.Second, ExpectedWork: hint})
		f.traffic(i, perSecond)
	})
}

// An endpoint that has just started bears so many requests from all processes together, and beyond them twice their
// root and 2 by chance, in any span of the length that the rules name: with one node, some and thirty, of which one
// sees several times the mean, with light work and heavy, with low load and overload, with load reports and without
// any, with all nodes notified at once, and with most restarted a moment after. In overload its budget is used.
//
// A node knows its part without asking anyone: it grants slowStartMargin of the budget times the work a second that one
// warm endpoint does for it, of which all nodes together get no more than an endpoint can do, or times one part in
// Instances where that is more; of less than one request it draws one by chance.
func TestFleetDoesNotOverloadEndpointsInSlowStart(t *testing.T) {
	for _, instances := range []int{1, 8, 30} {
		for _, work := range []time.Duration{16 * ms, 60 * ms} {
			for _, load := range []float64{0.35, 1.2} {
				for i := range 4 {
					blind, restarts := i%2 > 0, i/2 > 0
					for seed := range uint64(2) {
						over, used := slowStartRun(t, instances, work, load, 6, blind, restarts, seed)
						if over > 1 || load > 1 && used < 0.05 {
							t.Errorf("%d nodes, work of %v, load %v, blind %v, restarts %v, seed %d: "+
								"%.2f of what it bears in the worst span, %.2f of the budget in all",
								instances, work, load, blind, restarts, seed, over, used)
						}
					}
				}
			}
		}
	}
}

// slowStartRun returns the load of the worst span, as a multiple of what an endpoint in slow start bears, and the
// fraction of its budget that was used.
func slowStartRun(t *testing.T, instances int, work time.Duration, load float64, replaced int, blind, restarts bool,
	seed uint64) (worst, used float64) {
	const warm, starting = 8, EndpointID(9)
	cfg := testConfig()
	cfg.Instances, cfg.Tenants, cfg.Limits.HealthChecks = instances, nil, !blind
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
	news := []Endpoint{listedEndpoint(starting, 0, 0)}
	for i := range replaced {
		f.endpoints[i].Phase = Removed
		news = append(news, listedEndpoint(starting+1+EndpointID(i), 0, 0))
	}
	for i := range news {
		news[i].StartedAt = f.now - 300*ms
	}
	f.endpoints = append(f.endpoints, news...)
	news = append(news, f.endpoints[:replaced]...)
	for i, b := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(200*ms))), func() {
			f.handle(b, EndpointsListed{Kind: ListChanges, Endpoints: news})
			if restarts && i%4 > 0 {
				f.after(400*ms, func() { f.restart(t, i) })
			}
		})
	}
	start := f.now
	f.run(start + 6*time.Second)
	// The budget is that of the start of a span, which is the least in it.
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
		most := budget(from)
		worst = max(worst, float64(n)/(most+2*math.Sqrt(most)+2))
	}
	return worst, float64(len(sent)) / 6 / budget(start+3*time.Second)
}
