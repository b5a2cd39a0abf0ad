package balance

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"time"
)

// Balancer decides for one node. It holds the state of the rules, each of a type of its own in a file of
// its own, and routes events to them.
type Balancer struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration // time of the event in hand
	actions []Action      // that answer it, so far

	endpoints      map[EndpointID]*endpointState
	usable         []*endpointState // endpoints that may get requests, by id; see chooseSubset
	cordons        map[EndpointID]cordon
	requests       map[string]*request
	awaitingChecks []*request // arrivals that wait for the health checks of their tick
	timers         timerSet
	windowStart    time.Duration // see endWindow

	latency        latencyStats
	loads          loadAverages
	reportInterval reportInterval
	outliers       outliers
	healthChecks   healthChecks
	discovery      discoveryState
	subset         subsetSize
	slowStart      slowStart
	queueBudget    queueBudget
	meanPriority   float64 // of the requests, a running mean
	quotas         []quotaBucket
	probeAdmission probeAdmission
	retryBudget    retryBudget
}

// New returns a Balancer for one node. The seed is the instance's own; the same seed and events give the
// same actions. Negative counts and times in cfg are errors.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := check(&cfg); err != nil {
		return nil, err
	}
	interval := cmp.Or(cfg.Rules.PollInterval, defaultPollInterval)
	cfg.Rules.PollInterval = min(max(interval, minPollInterval), maxPollInterval)
	cfg.Instances = max(cfg.Instances, 1)
	cfg.Limits.MaxAttempts = max(cfg.Limits.MaxAttempts, 1)
	b := &Balancer{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(seed, 0)),
		endpoints:      map[EndpointID]*endpointState{},
		cordons:        map[EndpointID]cordon{},
		requests:       map[string]*request{},
		timers:         timerSet{pending: map[uint64]timer{}},
		latency:        newLatencyStats(cfg.Classes),
		loads:          loadAverages{zones: map[int]loadAverage{}},
		healthChecks:   healthChecks{lastRoundAt: -1},
		quotas:         make([]quotaBucket, len(cfg.Tenants)),
		probeAdmission: probeAdmission{interval: maxProbeAdmissionInterval},
	}
	b.queueBudget = queueBudget{
		fraction:         initialQueueBudget,
		answerGapSeconds: b.latency.meanObjectiveSeconds,
	}
	requestsPerSecond := 0.0
	for tenant := range cfg.Tenants {
		requestsPerSecond += b.quotaPerSecond(tenant)
		b.quotas[tenant].requests = minQuotaBurst
	}
	b.subset = initialSubsetSize(requestsPerSecond)
	return b, nil
}

// check returns an error for a negative count or time.
func check(cfg *Config) error {
	if cfg.Instances < 0 || cfg.Index < 0 || cfg.Limits.MaxAttempts < 0 {
		return errors.New("balance: negative count in Config")
	}
	for _, c := range cfg.Classes {
		if c.Deadline < 0 || c.LatencyObjective < 0 || c.KeyWindow < 0 {
			return errors.New("balance: negative time in a Class")
		}
	}
	return nil
}

// Handle takes one event and appends the actions that answer it to actions. A time before that of the last
// event counts as that one.
func (b *Balancer) Handle(now time.Duration, event Event, actions []Action) []Action {
	b.now = max(b.now, now)
	b.actions = actions
	b.endWindow()
	b.dispatch(event)
	actions, b.actions = b.actions, nil
	return actions
}

func (b *Balancer) dispatch(event Event) {
	switch ev := event.(type) {
	case EndpointsListed:
		b.onEndpointsListed(&ev)
	case DiscoveryFailed:
		b.onDiscoveryFailed()
	case RequestArrived:
		b.onRequestArrived(&ev)
	case RequestWritten:
		b.onRequestWritten(&ev)
	case StreamStarted:
		b.onStreamStarted(&ev)
	case ClientDisconnected:
		b.onClientDisconnected(&ev)
	case TimerFired:
		b.onTimerFired(ev.ID)
	case HealthChecked:
		b.onHealthChecked(&ev)
	case AttemptEnded:
		b.onAttemptEnded(&ev)
	case HandoverChanged:
		b.onHandoverChanged(&ev)
	case TookOver:
		b.onTookOver(&ev)
	case CordonChanged:
		b.onCordonChanged(&ev)
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(text string) { b.emit(logText(text)) }
