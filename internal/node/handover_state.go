package node

import (
	"encoding/json"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/discovery"
)

// This file passes the state of the loop and of its module on in a hand-over.

// encodeList returns the endpoint list in discovery's form.
func (l *eventLoop) encodeList() []byte {
	var members []json.RawMessage
	for _, b := range l.backendsByEndpointID {
		if b.phase != balance.Removed {
			members = append(members, b.listEntry)
		}
	}
	return discovery.FormatList(l.listRevision, members)
}

// exportState returns the state of the module, with discovery's ids and start times in place of this process's own.
func (l *eventLoop) exportState() handoverState {
	state := handoverState{State: l.balancer.HandoverState(), Now: l.now()}
	for i := range state.State.Endpoints {
		b := l.backendsByEndpointID[state.State.Endpoints[i].ID]
		state.State.Endpoints[i].StartedAt = b.process.StartedAt
		state.EndpointIDs = append(state.EndpointIDs, b.id)
	}
	return state
}

// importState returns the state of the predecessor's module, with this process's numbers and times. Endpoints that this
// process does not know, or that have restarted since, are omitted. The state is nil where it is inconsistent.
func (l *eventLoop) importState(state handoverState) *balance.HandoverState {
	if len(state.EndpointIDs) != len(state.State.Endpoints) {
		return nil
	}
	var clockOffset time.Duration // of this clock to the other: the wall clock may have been stepped between the starts
	if state.Now > 0 {
		clockOffset = l.now() - state.Now
	}
	state.State.WindowStart += clockOffset
	var endpoints []balance.EndpointHandoverState
	for i, endpoint := range state.State.Endpoints {
		b := l.backendsByID[state.EndpointIDs[i]]
		if b == nil || b.process.StartedAt != endpoint.StartedAt {
			continue
		}
		endpoint.ID = b.endpointID
		endpoint.StartedAt = b.startedAt
		endpoint.ReportedAt += clockOffset
		endpoint.LastAnswerAt += clockOffset
		endpoints = append(endpoints, endpoint)
	}
	state.State.Endpoints = endpoints
	return &state.State
}
