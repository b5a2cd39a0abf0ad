package balance

import "time"

// HandoverState is what a process has learned, for the one that takes its place. The tags are the form in which processes of
// different versions pass it on; they never change.
type HandoverState struct {
	QueueBudget        float64                 `json:"Part"`
	WarmThroughput     float64                 `json:"WarmRate"`
	RetryBudget        float64                 `json:"Retries"`
	ReportInterval     float64                 `json:"Refresh"`
	AnswerGap          float64                 `json:"Gap"`
	MeanPriority       float64                 `json:"MeanValue"`
	MeanLatency        float64                 `json:"AllTime"`
	MeanQueueAtArrival float64                 `json:"AllDepth"`
	Answers            float64                 `json:"Answers"`
	MeanFailureRate    float64                 `json:"AllFail"`
	HealthChecksSent   float64                 `json:"Probes"`
	SubsetSize         int                     `json:"PartSize"`
	WindowStart        time.Duration           `json:"RolledAt"`
	Classes            []ClassHandoverState    `json:"Classes"`
	Endpoints          []EndpointHandoverState `json:"Servers"`
}

// ClassHandoverState is what is known of a class.
type ClassHandoverState struct {
	UnloadedLatency float64 `json:"Base"`
	Samples         float64 `json:"Seen"`
	UnqueuedSamples float64 `json:"Free"`
}

// EndpointHandoverState is what is known of the process of an endpoint that started at StartedAt.
type EndpointHandoverState struct {
	ID                 EndpointID    `json:"Backend"`
	StartedAt          time.Duration `json:"Launched"`
	ReportedAt         time.Duration `json:"ToldAt"`
	LastAnswerAt       time.Duration `json:"Heard"`
	ReportedLoad       float64       `json:"Told"`
	LoadBias           float64       `json:"More"`
	ZoneMeanLoad       float64       `json:"Others"`
	MeanLatency        float64       `json:"Time"`
	MeanQueueAtArrival float64       `json:"Depth"`
	FailureRate        float64       `json:"Fail"`
	SlowStartCredit    float64       `json:"Credit"` // what is left of its grant
}

// HandoverState returns what this process has learned, for the other one when this one is HandedOver. What is left of its
// grants goes with it, and half of its retry budget.
func (b *Balancer) HandoverState() HandoverState {
	m := HandoverState{QueueBudget: b.queueBudget, WarmThroughput: b.warmThroughput, RetryBudget: b.retryBudget / 2, ReportInterval: b.reportInterval, AnswerGap: b.answerGapSeconds,
		MeanPriority: b.meanPriority, MeanLatency: b.meanLatencySeconds, MeanQueueAtArrival: b.meanQueueAtArrival, Answers: b.answers, MeanFailureRate: b.meanFailureRate,
		HealthChecksSent: b.healthChecksSent, SubsetSize: b.subsetSize, WindowStart: b.windowStart}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassHandoverState{UnloadedLatency: c.unloadedSeconds, Samples: c.samples, UnqueuedSamples: c.unqueuedSamples})
	}
	for _, s := range b.endpoints {
		if s.Phase != Removed {
			m.Endpoints = append(m.Endpoints, EndpointHandoverState{ID: s.ID, StartedAt: s.StartedAt, ReportedAt: s.reportedAt,
				LastAnswerAt: s.lastAnswerAt, ReportedLoad: s.reportedLoad, LoadBias: s.loadBias, ZoneMeanLoad: b.zoneMeanLoad(s), MeanLatency: s.meanLatencySeconds, MeanQueueAtArrival: s.meanQueueAtArrival, FailureRate: s.failureRate,
				SlowStartCredit: s.slowStartCreditSeconds})
		}
	}
	return m
}

// recall takes in what another process of this node has learned.
func (b *Balancer) restore(m *HandoverState) {
	if m == nil || m.Answers == 0 || len(m.Classes) != len(b.classes) {
		return
	}
	b.queueBudget, b.warmThroughput, b.reportInterval, b.answerGapSeconds = m.QueueBudget, m.WarmThroughput, m.ReportInterval, m.AnswerGap
	b.retryBudget, b.meanPriority, b.meanFailureRate, b.healthChecksSent = b.retryBudget+m.RetryBudget, m.MeanPriority, m.MeanFailureRate, m.HealthChecksSent
	b.meanLatencySeconds, b.meanQueueAtArrival, b.answers, b.subsetSize = m.MeanLatency, m.MeanQueueAtArrival, m.Answers, max(b.subsetSize, m.SubsetSize)
	b.meanServiceSeconds, b.windowStart = b.meanLatencySeconds/(b.meanQueueAtArrival+1), min(b.now, m.WindowStart)
	for i, c := range m.Classes {
		b.classes[i] = classStats{unloadedSeconds: c.UnloadedLatency, samples: c.Samples, unqueuedSamples: c.UnqueuedSamples}
	}
	for _, k := range m.Endpoints {
		s := b.endpoints[k.ID]
		if s == nil || s.StartedAt != k.StartedAt {
			continue
		}
		s.reportedLoad, s.reportedAt, s.loadBias, s.slowStartCreditSeconds = k.ReportedLoad, min(b.now, k.ReportedAt), k.LoadBias, k.SlowStartCredit
		s.lastAnswerAt = min(b.now, k.LastAnswerAt)
		s.meanLatencySeconds, s.meanQueueAtArrival, s.failureRate = k.MeanLatency, k.MeanQueueAtArrival, k.FailureRate
		b.zoneLoads[s.Zone] = loadAverage{mean: k.ZoneMeanLoad, reports: 1 / sampleWeight, updatedAt: b.now}
		b.fleetLoad = b.zoneLoads[s.Zone]
	}
	b.chooseSubset()
}
