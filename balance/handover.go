package balance

import "time"

// HandoverState is the state that a process has learned and hands over to its successor. Processes of different
// versions exchange it under the names in the tags, so a tag must never change: a version that has another name for a
// value would read it as 0, without an error. Times are on the clock that both Balancers share.
type HandoverState struct {
	QueueBudget        float64                 `json:"Part"`
	WarmThroughput     float64                 `json:"WarmRate"` // seconds of work a second
	RetryBudget        float64                 `json:"Retries"`
	ReportInterval     float64                 `json:"Refresh"` // seconds
	AnswerGap          float64                 `json:"Gap"`     // seconds
	MeanPriority       float64                 `json:"MeanValue"`
	MeanLatency        float64                 `json:"AllTime"` // seconds
	MeanQueueAtArrival float64                 `json:"AllDepth"`
	Answers            float64                 `json:"Answers"`
	MeanFailureRate    float64                 `json:"AllFail"`
	HealthChecksSent   float64                 `json:"Probes"`
	SubsetSize         int                     `json:"PartSize"`
	WindowStart        time.Duration           `json:"RolledAt"`
	Classes            []ClassHandoverState    `json:"Classes"`
	Endpoints          []EndpointHandoverState `json:"Servers"`
}

// ClassHandoverState is the learned state of a class.
type ClassHandoverState struct {
	UnloadedLatency float64 `json:"Base"` // seconds
	Samples         float64 `json:"Seen"`
	UnqueuedSamples float64 `json:"Free"`
}

// EndpointHandoverState is the learned state of an endpoint, for its process that started at StartedAt.
type EndpointHandoverState struct {
	ID                 EndpointID    `json:"Backend"`
	StartedAt          time.Duration `json:"Launched"`
	ReportedAt         time.Duration `json:"ToldAt"`
	LastAnswerAt       time.Duration `json:"Heard"`
	ReportedLoad       float64       `json:"Told"`
	LoadBias           float64       `json:"More"`
	ZoneMeanLoad       float64       `json:"Others"`
	MeanLatency        float64       `json:"Time"` // seconds
	MeanQueueAtArrival float64       `json:"Depth"`
	FailureRate        float64       `json:"Fail"`
	SlowStartCredit    float64       `json:"Credit"` // unused credit in seconds of work
}

// HandoverState returns the state that this process has learned, for its successor. The state includes the unused slow
// start credit and half of the retry budget.
func (b *Balancer) HandoverState() HandoverState {
	state := HandoverState{
		QueueBudget:        b.queueBudget.fraction,
		WarmThroughput:     b.slowStart.warmThroughput,
		RetryBudget:        b.retryBudget.half(),
		ReportInterval:     b.reportInterval.seconds,
		AnswerGap:          b.queueBudget.answerGapSeconds,
		MeanPriority:       b.meanPriority,
		MeanLatency:        b.latency.meanLatencySeconds,
		MeanQueueAtArrival: b.latency.meanQueueAtArrival,
		Answers:            b.latency.answers,
		MeanFailureRate:    b.outliers.meanFailureRate,
		HealthChecksSent:   b.healthChecks.sent,
		SubsetSize:         b.subset.size,
		WindowStart:        b.windowStart,
	}
	for _, c := range b.latency.classes {
		state.Classes = append(state.Classes, ClassHandoverState{
			UnloadedLatency: c.unloadedSeconds,
			Samples:         c.samples,
			UnqueuedSamples: c.unqueuedSamples,
		})
	}
	for _, e := range b.endpoints {
		if e.Phase != Removed {
			state.Endpoints = append(state.Endpoints, e.handoverState(b.loads.zoneMean(e.Zone)))
		}
	}
	return state
}

func (e *endpointState) handoverState(zoneMeanLoad float64) EndpointHandoverState {
	return EndpointHandoverState{
		ID:                 e.ID,
		StartedAt:          e.StartedAt,
		ReportedAt:         e.reportedAt,
		LastAnswerAt:       e.lastAnswerAt,
		ReportedLoad:       e.reportedLoad,
		LoadBias:           e.loadBias,
		ZoneMeanLoad:       zoneMeanLoad,
		MeanLatency:        e.meanLatencySeconds,
		MeanQueueAtArrival: e.meanQueueAtArrival,
		FailureRate:        e.failureRate,
		SlowStartCredit:    e.slowStartCreditSeconds,
	}
}

// onHandoverChanged handles that another process of this node starts or stops taking the new requests.
func (b *Balancer) onHandoverChanged(ev *HandoverChanged) {
	b.slowStart.handedOver = ev.HandedOver
	b.restartSlowStartWindow()
	if ev.HandedOver {
		b.retryBudget.retries = b.retryBudget.half()
	}
}

// onTookOver handles that this process takes over the new requests from another process of this node.
func (b *Balancer) onTookOver(ev *TookOver) {
	b.slowStart.handedOver = false
	b.restartSlowStartWindow()
	b.restore(ev.State)
}

// restartSlowStartWindow drops this process's slow start credit and begins a new window. The two processes of a node
// together may send an endpoint in slow start only as much work as the credit of one node allows. Therefore the
// predecessor gets no more credit, and the successor gets the predecessor's unused credit. A successor without the
// predecessor's state gets no credit until this window ends. By then the window of the predecessor's last credit has
// ended too.
func (b *Balancer) restartSlowStartWindow() {
	b.windowStart = b.now
	for _, e := range b.endpoints {
		e.dropSlowStartCredit()
	}
}

// restore applies the state that another process of this node has learned. It ignores a state that has no answers or
// has a different number of classes. The state has no version: a field that the other process does not write reads as
// zero. A renamed tag would therefore lose its value without an error, and a queue budget of zero rejects almost all
// requests until answers raise it.
func (b *Balancer) restore(state *HandoverState) {
	if state == nil || state.Answers == 0 || len(state.Classes) != len(b.latency.classes) {
		return
	}
	b.queueBudget.fraction = state.QueueBudget
	b.queueBudget.answerGapSeconds = state.AnswerGap
	b.slowStart.warmThroughput = state.WarmThroughput
	b.reportInterval.seconds = state.ReportInterval
	b.retryBudget.retries += state.RetryBudget
	b.meanPriority = state.MeanPriority
	b.outliers.meanFailureRate = state.MeanFailureRate
	b.healthChecks.sent = state.HealthChecksSent
	b.subset.size = max(b.subset.size, state.SubsetSize)
	b.windowStart = min(b.now, state.WindowStart)
	b.latency.restore(state)
	for _, known := range state.Endpoints {
		if e := b.endpoints[known.ID]; e != nil && e.StartedAt == known.StartedAt {
			e.restore(b.now, &known)
			b.loads.restore(b.now, e.Zone, known.ZoneMeanLoad)
		}
	}
	b.chooseSubset()
}

func (l *latencyStats) restore(state *HandoverState) {
	l.answers = state.Answers
	l.meanLatencySeconds = state.MeanLatency
	l.meanQueueAtArrival = state.MeanQueueAtArrival
	l.updateServiceSeconds()
	for i, c := range state.Classes {
		l.classes[i] = classStats{
			unloadedSeconds: c.UnloadedLatency,
			samples:         c.Samples,
			unqueuedSamples: c.UnqueuedSamples,
		}
	}
}

func (e *endpointState) restore(now time.Duration, known *EndpointHandoverState) {
	e.reportedLoad = known.ReportedLoad
	e.reportedAt = min(now, known.ReportedAt)
	e.loadBias = known.LoadBias
	e.slowStartCreditSeconds = known.SlowStartCredit
	e.lastAnswerAt = min(now, known.LastAnswerAt)
	e.meanLatencySeconds = known.MeanLatency
	e.meanQueueAtArrival = known.MeanQueueAtArrival
	e.failureRate = known.FailureRate
}
