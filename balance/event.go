package balance

import "time"

// Event is something that a node observed. It is one of the types below. The Balancer does not retain their slices.
type Event interface{ isEvent() }

// ListKind says which endpoints a list contains.
type ListKind uint8

// Kinds of lists.
const (
	CachedList   ListKind = iota // the complete list as it was last known; it may be stale
	CompleteList                 // the complete list: endpoints that it does not name have been removed
	ListChanges                  // only the entries that have changed
)

// EndpointsListed is sent when discovery has delivered a list of endpoints.
type EndpointsListed struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// DiscoveryFailed is sent when a WatchEndpoints or FetchEndpoints has failed, or the subscription has broken.
type DiscoveryFailed struct{}

// RequestArrived is sent when the node has accepted a request. A client's retry arrives as a request with a new id.
type RequestArrived struct {
	Request       string
	Class         int
	Tenant        int
	RoutingKey    uint64
	HasRoutingKey bool
	TimeLeft      time.Duration // time until the client gives up this request
	ExpectedWork  time.Duration // 0: unknown
	ClientRetry   bool          // the client marked it as a retry
	Mutates       bool
	// Incomplete is set if the request is forwarded while its body is still being received: the deadline and the time
	// left start with RequestReceived, and its attempt counts as sent with RequestWritten.
	Incomplete bool
}

// RequestReceived is sent when the last byte of an incomplete request has reached this node's machine. The node may not
// have read it yet.
type RequestReceived struct {
	Request  string
	TimeLeft time.Duration // time until the client gives up this request
}

// RequestWritten is sent when the last byte of an incomplete request has been sent to its endpoint. RequestReceived
// precedes it.
type RequestWritten struct {
	Request string
	Attempt int
}

// StreamStarted is sent when the first part of the answer has reached the client. The request then has no deadline.
type StreamStarted struct {
	Request  string
	Attempt  int
	Endpoint EndpointID
	Elapsed  time.Duration // since the attempt was sent
}

// ClientDisconnected is sent when the client has disconnected before it had its answer.
type ClientDisconnected struct{ Request string }

// TimerFired is sent when a timer set by SetTimer is due.
type TimerFired struct{ ID uint64 }

// HealthChecked is sent when a HealthCheck has a result.
type HealthChecked struct {
	Endpoint EndpointID
	Elapsed  time.Duration // since the check was sent
	Status   Status
	Load     Load
}

// AttemptEnded is sent when an attempt has ended. The node sends exactly one for each Forward.
type AttemptEnded struct {
	Request       string
	Attempt       int
	Endpoint      EndpointID
	Elapsed       time.Duration // since the attempt was sent
	Status        Status
	Final         bool // the request has its final answer, by this outcome or an earlier one
	Load          Load
	NotReplayable bool // part of an incomplete request has been consumed, so it cannot be sent again
}

// PeerMessage is sent when a message from another instance has arrived. The simulator's protocol has it and nodes pass
// it on, but no rule uses it yet.
type PeerMessage struct {
	Peer    int
	Payload []byte
}

// HandoverChanged is sent when another process of this node takes the new requests from now on (HandedOver), or when
// that process no longer takes them.
type HandoverChanged struct{ HandedOver bool }

// TookOver is sent when this process begins to take the requests that went to another process of this node before.
type TookOver struct {
	State *HandoverState // the state that the other process has learned; nil: unknown
}

// CordonChanged is sent when an operator has cordoned an endpoint, which takes it out of service, or uncordoned it.
type CordonChanged struct {
	Endpoint EndpointID
	Cordoned bool
	At       time.Duration // time of the change, on the Balancer's clock
}

func (EndpointsListed) isEvent()    {}
func (DiscoveryFailed) isEvent()    {}
func (RequestArrived) isEvent()     {}
func (RequestReceived) isEvent()    {}
func (RequestWritten) isEvent()     {}
func (StreamStarted) isEvent()      {}
func (ClientDisconnected) isEvent() {}
func (TimerFired) isEvent()         {}
func (HealthChecked) isEvent()      {}
func (AttemptEnded) isEvent()       {}
func (PeerMessage) isEvent()        {}
func (HandoverChanged) isEvent()    {}
func (TookOver) isEvent()           {}
func (CordonChanged) isEvent()      {}
