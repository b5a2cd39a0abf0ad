package balance

import "time"

// Memory is what a process has learned, for the one that takes its place. The tags are the form in which processes of
// different versions pass it on; they never change.
type Memory struct {
	Part      float64        `json:"Part"`
	WarmRate  float64        `json:"WarmRate"`
	Retries   float64        `json:"Retries"`
	Refresh   float64        `json:"Refresh"`
	Gap       float64        `json:"Gap"`
	MeanValue float64        `json:"MeanValue"`
	AllTime   float64        `json:"AllTime"`
	AllDepth  float64        `json:"AllDepth"`
	Answers   float64        `json:"Answers"`
	AllFail   float64        `json:"AllFail"`
	Probes    float64        `json:"Probes"`
	PartSize  int            `json:"PartSize"`
	RolledAt  time.Duration  `json:"RolledAt"`
	Classes   []ClassMemory  `json:"Classes"`
	Servers   []ServerMemory `json:"Servers"`
}

// ClassMemory is what is known of a class, and ServerMemory what is known of a server's process.
type ClassMemory struct {
	Base float64 `json:"Base"`
	Seen float64 `json:"Seen"`
	Free float64 `json:"Free"`
}

// ServerMemory is of the process that started at Launched.
type ServerMemory struct {
	Backend  BackendID     `json:"Backend"`
	Launched time.Duration `json:"Launched"`
	ToldAt   time.Duration `json:"ToldAt"`
	Heard    time.Duration `json:"Heard"`
	Told     float64       `json:"Told"`
	More     float64       `json:"More"`
	Others   float64       `json:"Others"`
	Time     float64       `json:"Time"`
	Depth    float64       `json:"Depth"`
	Fail     float64       `json:"Fail"`
	Credit   float64       `json:"Credit"` // what is left of its grant
}

// Remember returns what this process has learned, for the other one when this one is HandedOver. What is left of its
// grants goes with it, and half of its retry budget.
func (b *Balancer) Remember() Memory {
	m := Memory{Part: b.part, WarmRate: b.warmRate, Retries: b.retries / 2, Refresh: b.refresh, Gap: b.gap,
		MeanValue: b.meanValue, AllTime: b.allTime, AllDepth: b.allDepth, Answers: b.answers, AllFail: b.allFail,
		Probes: b.probes, PartSize: b.partSize, RolledAt: b.rolledAt}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassMemory{Base: c.base, Seen: c.seen, Free: c.free})
	}
	for _, s := range b.servers {
		if s.Phase != Gone {
			m.Servers = append(m.Servers, ServerMemory{Backend: s.Backend, Launched: s.Launched, ToldAt: s.toldAt,
				Heard: s.heard, Told: s.told, More: s.more, Others: b.mean(s), Time: s.time, Depth: s.depth, Fail: s.fails,
				Credit: s.credit})
		}
	}
	return m
}

// recall takes in what another process of this node has learned.
func (b *Balancer) recall(m *Memory) {
	if m == nil || m.Answers == 0 || len(m.Classes) != len(b.classes) {
		return
	}
	b.part, b.warmRate, b.refresh, b.gap = m.Part, m.WarmRate, m.Refresh, m.Gap
	b.retries, b.meanValue, b.allFail, b.probes = b.retries+m.Retries, m.MeanValue, m.AllFail, m.Probes
	b.allTime, b.allDepth, b.answers, b.partSize = m.AllTime, m.AllDepth, m.Answers, max(b.partSize, m.PartSize)
	b.peerPace, b.rolledAt = b.allTime/(b.allDepth+1), min(b.now, m.RolledAt)
	for i, c := range m.Classes {
		b.classes[i] = classStats{base: c.Base, seen: c.Seen, free: c.Free}
	}
	for _, k := range m.Servers {
		s := b.servers[k.Backend]
		if s == nil || s.Launched != k.Launched {
			continue
		}
		s.told, s.toldAt, s.more, s.credit = k.Told, min(b.now, k.ToldAt), k.More, k.Credit
		s.heard = min(b.now, k.Heard)
		s.time, s.depth, s.fails = k.Time, k.Depth, k.Fail
		b.zones[s.Zone] = crowd{others: k.Others, reports: 1 / paceWeight, at: b.now}
		b.all = b.zones[s.Zone]
	}
	b.choose()
}
