package node

import (
	"encoding/json"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/discovery"
)

// This file exports and imports the state of the event loop and of its Balancer for a hand-over.

// encodeList returns the endpoint list in discovery's format.
func (l *eventLoop) encodeList() []byte {
	var members []json.RawMessage
	for _, b := range l.backendsByEndpointID {
		if b.phase != balance.Removed {
			members = append(members, b.listEntry)
		}
	}
	return discovery.FormatList(l.listRevision, members)
}

// exportState returns the state of the Balancer, with discovery's ids and start times instead of this process's own.
func (l *eventLoop) exportState() handoverState {
	state := handoverState{State: l.balancer.HandoverState(), Now: l.now()}
	for i := range state.State.Endpoints {
		b := l.backendsByEndpointID[state.State.Endpoints[i].ID]
		state.State.Endpoints[i].StartedAt = b.process.StartedAt
		state.EndpointIDs = append(state.EndpointIDs, b.id)
	}
	state.Begun = l.begun.all().encode()
	return state
}

// importState returns the state of the predecessor's Balancer, with the endpoint ids and the clock of this process. It
// omits endpoints that this process does not know, and endpoints that have restarted since. It returns nil if the state
// is inconsistent.
func (l *eventLoop) importState(state handoverState) *balance.HandoverState {
	if len(state.EndpointIDs) != len(state.State.Endpoints) {
		return nil
	}
	// The clocks of the processes differ if the wall clock was stepped between their starts.
	var clockOffset time.Duration // from the predecessor's clock to the clock of this process
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
