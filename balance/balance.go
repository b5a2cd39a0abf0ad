package balance

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one node. It holds the state of each rule and dispatches events to the
// rules. Each rule has its own state type and its own file. A Balancer must not be used from two goroutines
// at the same time.
type Balancer struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration // time of the event that is handled now
	actions []Action      // the actions of this event so far

	endpoints      map[EndpointID]*endpointState
	usable         []*endpointState // endpoints that may get requests, ordered by id; see chooseSubset
	cordons        map[EndpointID]cordon
	requests       map[string]*request
	awaitingChecks []*request // new requests that wait for the health checks of their tick
	timers         timerSet
	windowStart    time.Duration // start of the current window; see endWindow

	latency        latencyStats
	loads          loadAverages
	reportInterval reportInterval
	outliers       outliers
	healthChecks   healthChecks
	discovery      discoveryState
	subset         subsetSize
	slowStart      slowStart
	queueBudget    queueBudget
	meanPriority   float64 // running mean of the requests' priorities
	quotas         []quotaBucket
	probeAdmission probeAdmission
	retryBudget    retryBudget
}

// New returns a Balancer for one node. Each instance should have its own seed; the same seed and events give
// the same actions. New returns an error if cfg has a negative count or time.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := validate(&cfg); err != nil {
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

// validate returns an error for a negative count or time.
func validate(cfg *Config) error {
	if cfg.Instances < 0 || cfg.Index < 0 || cfg.Limits.MaxAttempts < 0 {
		return errors.New("balance: Instances, Index or Limits.MaxAttempts is negative; it must be 0 or more")
	}
	for i, c := range cfg.Classes {
		if c.Deadline < 0 || c.LatencyObjective < 0 || c.KeyWindow < 0 {
			return fmt.Errorf("balance: Classes[%d]: Deadline, LatencyObjective or KeyWindow is negative; "+
				"it must be 0 or more", i)
		}
	}
	return nil
}

// Handle processes one event, appends the actions that the node must carry out to actions and returns the
// extended slice. If now is before the time of the last event, the time of the last event is used instead.
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
	case RequestReceived:
		b.onRequestReceived(&ev)
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
