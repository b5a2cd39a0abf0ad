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
	m := HandoverState{QueueBudget: b.part, WarmThroughput: b.warmRate, RetryBudget: b.retries / 2, ReportInterval: b.refresh, AnswerGap: b.gap,
		MeanPriority: b.meanValue, MeanLatency: b.allTime, MeanQueueAtArrival: b.allDepth, Answers: b.answers, MeanFailureRate: b.allFail,
		HealthChecksSent: b.probes, SubsetSize: b.partSize, WindowStart: b.rolledAt}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassHandoverState{UnloadedLatency: c.base, Samples: c.seen, UnqueuedSamples: c.free})
	}
	for _, s := range b.servers {
		if s.Phase != Removed {
			m.Endpoints = append(m.Endpoints, EndpointHandoverState{ID: s.ID, StartedAt: s.StartedAt, ReportedAt: s.toldAt,
				LastAnswerAt: s.heard, ReportedLoad: s.told, LoadBias: s.more, ZoneMeanLoad: b.mean(s), MeanLatency: s.time, MeanQueueAtArrival: s.depth, FailureRate: s.fails,
				SlowStartCredit: s.credit})
		}
	}
	return m
}

// recall takes in what another process of this node has learned.
func (b *Balancer) restore(m *HandoverState) {
	if m == nil || m.Answers == 0 || len(m.Classes) != len(b.classes) {
		return
	}
	b.part, b.warmRate, b.refresh, b.gap = m.QueueBudget, m.WarmThroughput, m.ReportInterval, m.AnswerGap
	b.retries, b.meanValue, b.allFail, b.probes = b.retries+m.RetryBudget, m.MeanPriority, m.MeanFailureRate, m.HealthChecksSent
	b.allTime, b.allDepth, b.answers, b.partSize = m.MeanLatency, m.MeanQueueAtArrival, m.Answers, max(b.partSize, m.SubsetSize)
	b.peerPace, b.rolledAt = b.allTime/(b.allDepth+1), min(b.now, m.WindowStart)
	for i, c := range m.Classes {
		b.classes[i] = classStats{base: c.UnloadedLatency, seen: c.Samples, free: c.UnqueuedSamples}
	}
	for _, k := range m.Endpoints {
		s := b.servers[k.ID]
		if s == nil || s.StartedAt != k.StartedAt {
			continue
		}
		s.told, s.toldAt, s.more, s.credit = k.ReportedLoad, min(b.now, k.ReportedAt), k.LoadBias, k.SlowStartCredit
		s.heard = min(b.now, k.LastAnswerAt)
		s.time, s.depth, s.fails = k.MeanLatency, k.MeanQueueAtArrival, k.FailureRate
		b.zones[s.Zone] = crowd{others: k.ZoneMeanLoad, reports: 1 / paceWeight, at: b.now}
		b.all = b.zones[s.Zone]
	}
	b.choose()
}
