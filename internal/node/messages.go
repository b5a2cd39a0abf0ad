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

// loopMessage is a message to the event loop: it reports an event, or it is a query with a channel for the reply. The
// loop handles one message at a time, in the order of sending.
type loopMessage interface {
	// handle runs on the goroutine of the event loop and must not block. It may access all fields of l.
	handle(l *eventLoop)
}

// errLoopEnded is the error of a query that the event loop did not answer before it ended.
var errLoopEnded = errors.New("event loop has ended: the node is shutting down")

// query sends a message to the event loop and waits for the reply, which the message's handler sends on reply. The
// channel must be buffered. query returns the context's error if the context ends first, and errLoopEnded if the loop
// ends first.
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

// requestArrived reports that a client's request has been read: completely, or only its head if its body is streamed.
type requestArrived struct{ request *request }

func (m requestArrived) handle(l *eventLoop) { l.startRequest(m.request) }

// clientDisconnected reports that a client has closed its connection before the final response.
type clientDisconnected struct{ request *request }

func (m clientDisconnected) handle(l *eventLoop) { l.disconnectClient(m.request) }

// requestReceived reports that the last byte of a streamed request has reached this machine.
type requestReceived struct {
	request  *request
	deadline time.Time // the request's deadline, which counts from that byte
}

func (m requestReceived) handle(l *eventLoop) { l.recordReceived(m.request, m.deadline) }

// requestWritten reports that the last byte of a streamed request has been written to its backend.
type requestWritten struct{ request *request }

func (m requestWritten) handle(l *eventLoop) { l.recordWritten(m.request) }

// attemptFinished reports the result of one attempt of a request.
type attemptFinished struct {
	request *request
	attempt int // the index in the request's attempts
	result  attemptResult
}

func (m attemptFinished) handle(l *eventLoop) { l.finishAttempt(m.request, m.attempt, m.result) }

// responseStreamEnded reports that a streamed response of a backend was forwarded completely or was aborted.
type responseStreamEnded struct{ backendID string }

func (m responseStreamEnded) handle(l *eventLoop) { l.openResponseStreams[m.backendID]-- }

// healthCheckFinished reports the result of a health check.
type healthCheckFinished struct {
	endpoint balance.EndpointID
	sent     time.Duration // when the check was sent, on the loop's clock
	result   attemptResult
}

func (m healthCheckFinished) handle(l *eventLoop) { l.finishHealthCheck(m.endpoint, m.sent, m.result) }

// endpointListReceived reports an endpoint list, or changes to the previous list.
type endpointListReceived struct {
	kind balance.ListKind
	list discovery.List
}

func (m endpointListReceived) handle(l *eventLoop) { l.updateEndpoints(m.kind, m.list) }

// discoveryFailed reports that a call of discovery has failed.
type discoveryFailed struct{}

func (discoveryFailed) handle(l *eventLoop) { l.handle(balance.DiscoveryFailed{}) }

// firstListOverdue reports that the time has passed within which discovery should have pushed a first endpoint list.
type firstListOverdue struct{}

func (firstListOverdue) handle(l *eventLoop) { l.stopAwaitingFirstList() }

// cordonsChanged reports the current contents of the cordon file.
type cordonsChanged struct {
	record  cordonRecord
	applied chan<- struct{} // buffered; the loop sends on it once the Balancer has been notified; may be nil
}

func (m cordonsChanged) handle(l *eventLoop) {
	l.applyCordons(m.record)
	if m.applied != nil {
		m.applied <- struct{}{}
	}
}

// peerMessageReceived reports a gossip datagram from another node.
type peerMessageReceived struct {
	peer    int
	payload []byte
}

func (m peerMessageReceived) handle(l *eventLoop) {
	l.handle(balance.PeerMessage{Peer: m.peer, Payload: m.payload})
}

// handoverChanged reports whether another process of the node now accepts the node's connections.
type handoverChanged struct{ handedOver bool }

func (m handoverChanged) handle(l *eventLoop) {
	l.handle(balance.HandoverChanged{HandedOver: m.handedOver})
}

// handoverStateReceived reports the state that this process takes over from its predecessor.
type handoverStateReceived struct{ state handoverState }

func (m handoverStateReceived) handle(l *eventLoop) {
	l.handle(balance.TookOver{State: l.importState(m.state)})
}

// finalResponsesDue reports that, during a shutdown, every open request must get its final response now.
type finalResponsesDue struct{}

func (finalResponsesDue) handle(l *eventLoop) { l.failOpenRequests() }

// shutdownCheckDue reports that the process may soon be killed. Every request must have its final response by now.
type shutdownCheckDue struct{}

func (shutdownCheckDue) handle(l *eventLoop) { l.checkAllResponded() }

// cordonState is the reply to a cordonQuery.
type cordonState struct {
	record cordonRecord
	known  bool // the backend of the query has been listed or cordoned before
}

// cordonQuery asks for the record of cordons and whether a backend is known.
type cordonQuery struct {
	backendID string
	reply     chan<- cordonState
}

func (m cordonQuery) handle(l *eventLoop) {
	known := l.backendsByID[m.backendID] != nil || l.cordons.Backends[m.backendID].CordonedAt > 0
	m.reply <- cordonState{record: l.cordons, known: known}
}

// handoverStateQuery asks for the state that is passed to a successor of this process.
type handoverStateQuery struct{ reply chan<- handoverState }

func (m handoverStateQuery) handle(l *eventLoop) { m.reply <- l.exportState() }

// endpointListQuery asks for the endpoint list in the format of the discovery service.
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

// workInFlight is the reply to a workInFlightQuery.
type workInFlight struct {
	revision int64          // of the endpoint list that the node holds
	inFlight map[string]int // number of attempts and streamed responses in flight, by the backend's id
}

// workInFlightQuery asks for the number of attempts and streamed responses in flight at each backend.
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
