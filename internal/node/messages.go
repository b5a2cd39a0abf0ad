package node

import (
	"context"
	"errors"
	"maps"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/discovery"
	"hitchvale/internal/fleet"
)

// loopMessage is what the rest of the node sends to the event loop: something that has happened, or a query with a
// channel for its reply. The loop handles one message at a time, in the order in which they were sent.
type loopMessage interface {
	// handle runs on the event loop, which owns all of l, and must not block.
	handle(l *eventLoop)
}

// errLoopEnded is the error of a query that the event loop has not answered before it ended.
var errLoopEnded = errors.New("the node is ending")

// query sends a message to the event loop and waits for its reply, which the message's handler sends on a buffered
// channel. It returns the context's error if that ends first, and errLoopEnded if the loop does.
func query[T any](ctx context.Context, l *eventLoop, message loopMessage, reply <-chan T) (T, error) {
	var none T
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.done:
		return none, errLoopEnded
	case l.messages <- message:
	}
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.done:
		return none, errLoopEnded
	case answer := <-reply:
		return answer, nil
	}
}

// requestArrived is a client's request that has been read: all of it, or its head where the body is streamed.
type requestArrived struct{ request *request }

func (m requestArrived) handle(l *eventLoop) { l.startRequest(m.request) }

// clientDisconnected says that a client has closed its connection before the final response.
type clientDisconnected struct{ request *request }

func (m clientDisconnected) handle(l *eventLoop) { l.disconnectClient(m.request) }

// requestWritten says that the last byte of a streamed request has been written to its backend.
type requestWritten struct {
	request  *request
	deadline time.Time // of the request, which begins with that byte
}

func (m requestWritten) handle(l *eventLoop) { l.recordWritten(m.request, m.deadline) }

// attemptFinished is the result of one attempt of a request.
type attemptFinished struct {
	request *request
	attempt int // its index in the request's attempts
	result  attemptResult
}

func (m attemptFinished) handle(l *eventLoop) { l.finishAttempt(m.request, m.attempt, m.result) }

// responseStreamEnded says that a streamed response of a backend has been passed on, or has broken off.
type responseStreamEnded struct{ backendID string }

func (m responseStreamEnded) handle(l *eventLoop) { l.openResponseStreams[m.backendID]-- }

// healthCheckFinished is the result of a health check.
type healthCheckFinished struct {
	endpoint balance.EndpointID
	sent     time.Duration // when it was sent, on the loop's clock
	result   attemptResult
}

func (m healthCheckFinished) handle(l *eventLoop) { l.finishHealthCheck(m.endpoint, m.sent, m.result) }

// endpointListReceived is an endpoint list from discovery, or changes to the last one.
type endpointListReceived struct {
	kind balance.ListKind
	list discovery.List
}

func (m endpointListReceived) handle(l *eventLoop) { l.updateEndpoints(m.kind, m.list) }

// discoveryFailed says that a call of discovery has failed.
type discoveryFailed struct{}

func (discoveryFailed) handle(l *eventLoop) { l.handle(balance.DiscoveryFailed{}) }

// firstListOverdue says that discovery has had its time to push a first endpoint list.
type firstListOverdue struct{}

func (firstListOverdue) handle(l *eventLoop) { l.stopAwaitingFirstList() }

// cordonsChanged is the record of cordons as it stands in the file now.
type cordonsChanged struct {
	record  cordonRecord
	applied chan<- struct{} // buffered; receives when the Balancer has been notified; nil: nobody waits
}

func (m cordonsChanged) handle(l *eventLoop) {
	l.applyCordons(m.record)
	if m.applied != nil {
		m.applied <- struct{}{}
	}
}

// peerMessageReceived is a gossip datagram of another node.
type peerMessageReceived struct {
	peer    int
	payload []byte
}

func (m peerMessageReceived) handle(l *eventLoop) {
	l.handle(balance.PeerMessage{Peer: m.peer, Payload: m.payload})
}

// handoverChanged says whether another process of the node accepts its connections now.
type handoverChanged struct{ handedOver bool }

func (m handoverChanged) handle(l *eventLoop) {
	l.handle(balance.HandoverChanged{HandedOver: m.handedOver})
}

// handoverStateReceived has the state of the predecessor.
type handoverStateReceived struct{ state handoverState }

func (m handoverStateReceived) handle(l *eventLoop) {
	l.handle(balance.TookOver{State: l.importState(m.state)})
}

// finalResponsesDue says that, in a shutdown, every request has to have its final response now.
type finalResponsesDue struct{}

func (finalResponsesDue) handle(l *eventLoop) { l.failAllOpen() }

// shutdownCheckDue says that the process may soon be killed: no request may be without its final response.
type shutdownCheckDue struct{}

func (shutdownCheckDue) handle(l *eventLoop) { l.checkAllResponded() }

// cordonState is what the event loop knows of cordons.
type cordonState struct {
	record cordonRecord
	known  bool // the backend that was asked for has been listed, or cordoned, before
}

// cordonQuery asks for the cordons, and whether a backend is known.
type cordonQuery struct {
	backendID string
	reply     chan<- cordonState
}

func (m cordonQuery) handle(l *eventLoop) {
	known := l.backendsByID[m.backendID] != nil || l.cordons.Backends[m.backendID].CordonedAt > 0
	m.reply <- cordonState{record: l.cordons, known: known}
}

// handoverStateQuery asks for the state that a successor of this process takes over.
type handoverStateQuery struct{ reply chan<- handoverState }

func (m handoverStateQuery) handle(l *eventLoop) { m.reply <- l.exportState() }

// endpointListQuery asks for the endpoint list in discovery's form.
type endpointListQuery struct{ reply chan<- []byte }

func (m endpointListQuery) handle(l *eventLoop) { m.reply <- l.encodeList() }

// endpointLoadQuery asks for the Balancer's estimates of each endpoint's load.
type endpointLoadQuery struct{ reply chan<- []fleet.EndpointLoad }

func (m endpointLoadQuery) handle(l *eventLoop) {
	var loads []fleet.EndpointLoad
	for _, load := range l.balancer.EndpointLoads() {
		loads = append(loads, fleetEndpointLoad(l.backendsByEndpointID[load.ID].id, load))
	}
	m.reply <- loads
}

// workInFlight is what this node still has in flight, by backend.
type workInFlight struct {
	revision int64          // of the endpoint list that the node holds
	inFlight map[string]int // attempts and streamed responses, by the backend's id
}

// workInFlightQuery asks for what is in flight at each backend.
type workInFlightQuery struct{ reply chan<- workInFlight }

func (m workInFlightQuery) handle(l *eventLoop) {
	inFlight := maps.Clone(l.openResponseStreams)
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if !a.ended() {
				inFlight[a.backend.id]++
			}
		}
	}
	m.reply <- workInFlight{revision: l.listRevision, inFlight: inFlight}
}
