package balance

import "time"

// Memory is what a process has learned, for the one that takes its place.
type Memory struct {
	Part, WarmRate, Retries, Refresh, Gap, MeanValue, AllTime, AllDepth, Answers, AllFail, Probes float64
	PartSize                                                                                      int
	RolledAt                                                                                      time.Duration
	Classes                                                                                       []ClassMemory
	Servers                                                                                       []ServerMemory
}

// ClassMemory is what is known of a class, and ServerMemory what is known of a server's process.
type ClassMemory struct{ Base, Seen, Free float64 }

// ServerMemory is of the process that started at Launched.
type ServerMemory struct {
	Backend                               BackendID
	Launched, ToldAt, Heard               time.Duration
	Told, More, Others, Time, Depth, Fail float64
	Credit                                float64 // what is left of its grant
}

// Remember returns what this process has learned, for the other one when this one is HandedOver. What is left of its
// grants goes with it, and half of its retry budget.
func (b *Balancer) Remember() Memory {
	m := Memory{Part: b.part, WarmRate: b.warmRate, Retries: b.retries / 2, Refresh: b.refresh, Gap: b.gap,
		MeanValue: b.meanValue, AllTime: b.allTime, AllDepth: b.allDepth, Answers: b.answers, AllFail: b.allFail,
		Probes: b.probes, PartSize: b.partSize, RolledAt: b.rolledAt}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassMemory{c.base, c.seen, c.free})
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
