package node

import (
	"encoding/json"
	"time"

	"hitchvale/balance"
)

// This file passes on what one process of a node has learned to the next.

// learned is what the module of the old process has learned, with discovery's id for each server in it.
type learned struct {
	Memory balance.HandoverState `json:"memory"` // times are by the old process's clock, starts as discovery tells them
	IDs    []string              `json:"ids"`
	Now    time.Duration         `json:"now"` // that clock as this was written; 0: not told
}

// listed words the list of backends in discovery's form.
func (l *eventLoop) listed() []byte {
	var list struct {
		Revision int64             `json:"revision"`
		Complete bool              `json:"complete"`
		Members  []json.RawMessage `json:"members"`
	}
	list.Revision, list.Complete, list.Members = l.listRevision, true, []json.RawMessage{}
	for _, b := range l.backendsByEndpointID {
		if b.phase != balance.Removed {
			list.Members = append(list.Members, b.listEntry)
		}
	}
	text, _ := json.Marshal(list) // each line has been read from JSON
	return text
}

// remember returns what the module has learned.
func (l *eventLoop) remember() learned {
	k := learned{Memory: l.balancer.HandoverState(), Now: l.now()}
	for i := range k.Memory.Endpoints {
		b := l.backendsByEndpointID[k.Memory.Endpoints[i].ID]
		k.Memory.Endpoints[i].StartedAt = b.process.startedAt
		k.IDs = append(k.IDs, b.id)
	}
	return k
}

// recall returns what another process has learned, in this one's numbers. Backends that this one has not heard of are
// left out.
func (l *eventLoop) recall(k learned) *balance.HandoverState {
	if len(k.IDs) != len(k.Memory.Endpoints) {
		return nil
	}
	var ahead time.Duration // of this clock before the other: the wall clock may have been stepped between the two starts
	if k.Now > 0 {
		ahead = l.now() - k.Now
	}
	k.Memory.WindowStart += ahead
	var own []balance.EndpointHandoverState
	for i, s := range k.Memory.Endpoints {
		b := l.backendsByID[k.IDs[i]]
		if b == nil || b.process.startedAt != s.StartedAt {
			continue // unheard of, or another process by now
		}
		s.ID, s.StartedAt = b.endpointID, b.startedAt
		s.ReportedAt += ahead
		s.LastAnswerAt += ahead
		own = append(own, s)
	}
	k.Memory.Endpoints = own
	return &k.Memory
}
