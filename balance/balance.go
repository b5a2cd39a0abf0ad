package balance

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// probesPerTick is d: servers probed in each tick with arrivals, where probes are cheap. probeSpend
	// is what they may take off the result; a dear probe is sent on a part of the arrivals only.
	maxHealthChecksPerTick, healthCheckSpend = 3, 0.004
	// holdMost is the part of the aim for which an arrival may be held for its probes. pairsMost times a node
	// asks a server twice in a row, to learn the time between its reports.
	maxHoldFraction, maxRepeatChecks = 0.05, 16
	// coldMargin is the part of the cold-start budget that is spent: the rest is for uneven work. An old peak
	// of the warm rate fades by rateDecay, once a window.
	slowStartMargin, warmThroughputDecay = 0.3, 0.9
	// coldAims is the part of the aim within which a cold server should answer what is granted to it.
	slowStartObjectiveFraction = 0.5
	// A node keeps to partServers of each zone, or to as many as it has requests in partSpan seconds by the
	// rate of the last window: of a server met more seldom it knows only what has long passed. The part
	// shrinks by one a window. On average a server is in partNodes parts, so that none goes without.
	minSubsetSize, subsetSpanSeconds, nodesPerEndpoint = 3, 0.15, 8
	// The mean of what a zone's servers hold is learned over meanSpan seconds, what is usual at one of them
	// over usualSpan, but by meanMost and usualMost a report at most: a single look is chance.
	zoneMeanSeconds, zoneMeanMaxWeight, loadBiasSeconds, loadBiasMaxWeight = 4.0, 0.1, 15.0, 0.1
	// retryEarn is what a first send adds to the retry budget, retryMost the most that it holds.
	retryBudgetPerRequest, maxRetryBudget = 0.1, 20.0
	// firstPace, in aims, stands for a pace and the time of a request until there is one. A new answer weighs
	// paceWeight; a server without answers goes forget of the way to its peers' pace, a window.
	// Where answers are rare it weighs as much as the time since the last one has of paceSpan seconds.
	initialServiceTimeObjectives, sampleWeight, rareAnswerSeconds, serviceTimeRecovery = 0.1, 0.05, 2.0, 0.3
	// failAims is what a certain failure costs, in aims. failWeight is the weight of a new outcome in a
	// server's rate of failures; the rate also fades by failFade each window, so that traffic returns.
	failureCostObjectives, failureWeight, failureRateDecay = 3.0, 0.1, 0.25
	// crossAims is the wait, in aims, that costs as much as a request's whole worth.
	crossZoneObjectives = 1.5
	// shareSpan is the time, in seconds, over which a share may be used unevenly, and shareLeast what may
	// come at once: of a share spread over hundreds of nodes each sees a request now and then, by chance.
	quotaBurstSeconds, minQuotaBurst = 1.0, 4.0
	// valueWeight is the weight of a request in the mean worth, leanMost the most that the bound leans.
	prioritySampleWeight, maxPriorityFactor = 0.01, 2.0
	// stuckFade is the part of the places left by failed attempts that fades with each window. A queue turns
	// over several times in a window, so an old place tells nothing; the rate of failures, which fades more
	// slowly, goes on telling that the server fails.
	unacceptedDecay = 0.6
	// abandonedFade is that part for attempts that were given up: their work may still stand in the queue.
	abandonedDecay = 0.4
	// failsHigh and failsLow are the rates of failures that the log tells: above a single one, and none. A
	// silence is charged beyond silentQueues times what the queue should take.
	outlierFailureRate, recoveredFailureRate, silenceQueues = 0.11, 0.02, 2
	// The part of the slack that queues may take up follows how answers come, at partSpeed a second but by
	// partStep an answer at most, and rests where one in lateOnce is late.
	queueBudgetRatePerSecond, maxQueueBudgetStep, answersPerLateOne = 2.0, 0.1, 20
	// One in scoutOnce that would be refused is sent all the same: its answer shows whether the node is right
	// to refuse. Where it waited less than the bound the node is wrong, and twice as many are sent.
	maxProbeAdmissionInterval                          = 20.0
	initialQueueBudget, minQueueBudget, maxQueueBudget = 0.3, 0.12, 1.0
	// idleEntry: a server whose entry is no higher is idle. An answer that met freeEntry or less tells the
	// time without a queue, by baseWeight.
	idleQueueEstimate, unloadedQueueEstimate, unloadedLatencyWeight, maxWorkHintMultiple = 0.1, 1.0, 0.03, 2.0
	// fallWeight and riseWeight draw the time between reports to a shorter or longer one.
	shorterIntervalWeight, longerIntervalWeight = 0.3, 0.01
	// All nodes share one discovery, and a fleet that starts or is refused together calls it together. So
	// calls are spread by chance over AskEvery/callParts for each node of the fleet, and refused ones over
	// twice that or AskEvery/rewatchParts, doubled each time, callMost at most: a change counts as told 6 s
	// after it could be heard. AskEvery is held between a second and an hour, and askUntold if not told.
	pollSpreadDivisor   = 200
	failedPollDivisor   = 20
	defaultPollInterval = 10 * time.Second
	maxPollDelay        = 3750 * time.Millisecond
)

// Balancer decides for one node.
type Balancer struct {
	cfg                    Config
	rng                    *rand.Rand
	now                    time.Duration
	actions                []Action
	endpoints              map[EndpointID]*endpointState
	usable                 []*endpointState // endpoints that may be sent to, by id
	requests               map[string]*request
	timers                 map[uint64]timer
	awaitingChecks         []*request // arrivals that wait for the health checks of their tick
	rejectedSinceProbe     float64    // requests since a probe admission that no endpoint was good enough for
	probeAdmissionInterval float64    // of them, how many make a probe admission
	checksAwaited          int        // health checks of waiting requests without a result
	repeatChecks           int        // endpoints checked twice in a row
	lastTimerID            uint64
	checkedAt              time.Duration // the last tick that sent health checks
	classes                []classStats
	warmThroughput         float64 // work a second that one warm endpoint does for this node
	windowStart            time.Duration
	checkCredit            float64 // health checks that arrivals have paid for
	queueBudget            float64 // fraction of the slack that queues may take up
	subsetSize             int     // endpoints of a zone that this node uses
	forwarded              int     // requests forwarded in this window
	answerGapSeconds       float64 // mean time between answers, seconds
	lastOutcomeAt          time.Duration
	quotas                 []quotaBucket
	overloaded             bool    // answers come late, as logged
	discoveryUnavailable   bool    // discovery has failed, as logged
	discoveryFailures      int     // in a row
	meanFailureRate        float64 // over all endpoints
	meanPriority           float64 // running mean of the priority of requests
	meanObjectiveSeconds   float64 // mean latency objective of the classes, seconds
	meanServiceSeconds     float64 // over all answers, from the two means below
	meanLatencySeconds     float64
	meanQueueAtArrival     float64
	answers                float64
	fleetLoad              loadAverage // other nodes' load on an endpoint, over all zones
	zoneLoads              map[int]loadAverage
	retryBudget            float64 // attempts that may be retries
	healthChecksSent       float64
	cordons                map[EndpointID]cordon
	handedOver             bool    // another process of this node takes what comes
	reportInterval         float64 // seconds between two reports of an endpoint that differ
}

// timer is what is due then: the end of a request or of its hold, a look whether an attempt is lost, another
// probe, or a call to discovery.
type timer struct {
	deadlineOf, holdOf, lossCheckOf *request
	attempt                         int // of look
	checkAgain                      *endpointState
}

// share is what is left of a tenant's share at this node.
type quotaBucket struct {
	requests  float64 // requests
	updatedAt time.Duration
}

// New returns a Balancer for one node. The seed is the instance's own; the
// same seed and events give the same actions.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if cfg.Instances < 0 || cfg.Index < 0 || cfg.Limits.MaxAttempts < 0 {
		return nil, errors.New("balance: negative count in Config")
	}
	var aim mean
	for _, c := range cfg.Classes {
		if c.Deadline < 0 || c.LatencyObjective < 0 || c.KeyWindow < 0 {
			return nil, errors.New("balance: negative time in a Class")
		}
		aim.add(c.LatencyObjective.Seconds())
	}
	interval := cmp.Or(cfg.Rules.PollInterval, defaultPollInterval)
	cfg.Rules.PollInterval = min(max(interval, time.Second), time.Hour)
	cfg.Instances, cfg.Limits.MaxAttempts = max(cfg.Instances, 1), max(cfg.Limits.MaxAttempts, 1)
	var perSecond float64 // as far as it is told
	shares := make([]quotaBucket, len(cfg.Tenants))
	for i, t := range cfg.Tenants {
		perSecond += t.QuotaPerSecond / float64(cfg.Instances)
		shares[i].requests = minQuotaBurst
	}
	return &Balancer{
		cfg:                    cfg,
		rng:                    rand.New(rand.NewPCG(seed, 0)),
		endpoints:              map[EndpointID]*endpointState{},
		requests:               map[string]*request{},
		timers:                 map[uint64]timer{},
		zoneLoads:              map[int]loadAverage{},
		cordons:                map[EndpointID]cordon{},
		checkedAt:              -1,
		meanObjectiveSeconds:   aim.value(),
		answerGapSeconds:       aim.value(),
		meanServiceSeconds:     initialServiceTimeObjectives * aim.value(),
		queueBudget:            initialQueueBudget,
		subsetSize:             max(minSubsetSize, int(perSecond*subsetSpanSeconds)),
		classes:                make([]classStats, len(cfg.Classes)),
		quotas:                 shares,
		probeAdmissionInterval: maxProbeAdmissionInterval,
	}, nil
}

// Handle takes one event and appends the actions that answer it to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.actions = max(b.now, now), out // a clock that goes back is held
	b.rollWindow()
	switch ev := ev.(type) {
	case EndpointsListed:
		b.onEndpointsListed(&ev)
	case DiscoveryFailed:
		b.onDiscoveryFailed()
	case RequestArrived:
		b.onRequestArrived(&ev)
	case RequestWritten:
		b.onRequestWritten(&ev)
	case StreamStarted:
		if r := b.requests[ev.Request]; r != nil {
			r.streamStarted = true
		}
	case ClientDisconnected:
		if r := b.requests[ev.Request]; r != nil {
			b.forget(r)
		}
	case TimerFired:
		b.onTimerFired(ev.ID)
	case HealthChecked:
		b.onHealthChecked(&ev)
	case AttemptEnded:
		b.onAttemptEnded(&ev)
	case HandoverChanged:
		b.onHandoverChanged(ev.HandedOver)
	case TookOver:
		b.onTookOver(ev.State)
	case CordonChanged:
		b.onCordonChanged(&ev)
	}
	out, b.actions = b.actions, nil
	return out
}

// onHealthChecked takes in the result of a health check, and places the requests that waited for it.
func (b *Balancer) onHealthChecked(ev *HealthChecked) {
	if s := b.endpoints[ev.Endpoint]; s != nil {
		b.handleLoadReport(s, ev.Load)
		b.recordHealthCheck(s, ev.Status)
		if b.repeatChecks < maxRepeatChecks && s.reportedQueue > 0 {
			b.repeatChecks++
			gap := cmp.Or(b.reportInterval, 2*b.meanServiceSeconds) / 2
			b.setTimer(time.Duration(gap*float64(time.Second)), timer{checkAgain: s})
		}
	}
	if b.checksAwaited--; b.checksAwaited <= 0 {
		b.placeAwaiting()
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(text string) { b.emit(Action{Kind: Log, Text: text}) }

// state logs when something begins and when it ends.
func (b *Balancer) logTransition(is *bool, begins, ends bool, begin, end string) {
	switch {
	case begins && !*is:
		b.log(begin)
	case ends && *is:
		b.log(end)
	}
	*is = (*is || begins) && !ends
}

func (b *Balancer) setTimer(in time.Duration, t timer) {
	b.lastTimerID++
	b.timers[b.lastTimerID] = t
	b.emit(Action{Kind: SetTimer, Delay: in, TimerID: b.lastTimerID})
}

func (b *Balancer) onTimerFired(id uint64) {
	t, ok := b.timers[id]
	delete(b.timers, id)
	switch {
	case !ok:
	case t.holdOf != nil:
		if slices.Contains(b.awaitingChecks, t.holdOf) {
			b.placeAwaiting() // a probe that stays out tells enough
		}
	case t.lossCheckOf != nil:
		b.checkLoss(&t.lossCheckOf.attempts[t.attempt])
	case t.checkAgain != nil:
		if t.checkAgain.Phase == Ready && !b.cordons[t.checkAgain.ID].active {
			b.emit(Action{Kind: HealthCheck, Endpoint: t.checkAgain.ID})
		}
	case t.deadlineOf == nil:
		b.emit(Action{Kind: WatchEndpoints})
	case !t.deadlineOf.finished && !t.deadlineOf.streamStarted:
		b.endRequest(t.deadlineOf)
	}
}
