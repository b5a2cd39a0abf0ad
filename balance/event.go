package balance

import "time"

// Event is one thing that a node saw: one of the types below. The Balancer does not retain slices in it.
type Event interface{ isEvent() }

// ListKind is what a list of endpoints contains.
type ListKind uint8

// Kinds of lists.
const (
	CachedList   ListKind = iota // the complete list as it was known last, maybe stale
	CompleteList                 // the complete list: what it does not name has been removed
	ListChanges                  // changed entries only
)

// EndpointsListed is a list of endpoints from discovery.
type EndpointsListed struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// DiscoveryFailed is a WatchEndpoints or FetchEndpoints that failed, or a subscription that broke.
type DiscoveryFailed struct{}

// RequestArrived is a request that the node has taken. A client's retry comes under a new id.
type RequestArrived struct {
	Request       string
	Class         int
	Tenant        int
	RoutingKey    uint64
	HasRoutingKey bool
	TimeLeft      time.Duration // until the client abandons this attempt of its own
	ExpectedWork  time.Duration // 0: unknown
	ClientRetry   bool          // the client marked it as a retry
	Mutates       bool
	// Incomplete is set while the request's body is still coming in: its deadline and TimeLeft begin with
	// RequestWritten.
	Incomplete bool
}

// RequestWritten is sent when the last byte of an incomplete request has gone to its endpoint.
type RequestWritten struct {
	Request  string
	Attempt  int
	TimeLeft time.Duration
}

// StreamStarted is sent when the answer has begun to reach the client: the request has no deadline any more.
type StreamStarted struct {
	Request  string
	Attempt  int
	Endpoint EndpointID
	Elapsed  time.Duration // since the attempt was sent
}

// ClientDisconnected is sent when the client has disconnected before its answer.
type ClientDisconnected struct{ Request string }

// TimerFired is sent when a timer set by SetTimer is due.
type TimerFired struct{ ID uint64 }

// HealthChecked is the result of one HealthCheck.
type HealthChecked struct {
	Endpoint EndpointID
	Elapsed  time.Duration // since the check was sent
	Status   Status
	Load     Load
}

// AttemptEnded is how an attempt ended. Each Forward is answered by exactly one.
type AttemptEnded struct {
	Request       string
	Attempt       int
	Endpoint      EndpointID
	Elapsed       time.Duration // since the attempt was sent
	Status        Status
	Final         bool // the request is over, by this outcome or before it
	Load          Load
	NotReplayable bool // what had come of an incomplete request is used up: it can't be sent again
}

// PeerMessage is a message from another instance. Hosts deliver it, as the protocol has it; no rule uses it yet.
type PeerMessage struct {
	Peer    int
	Payload []byte
}

// HandoverChanged is sent when another process of this node takes new requests from now on, or no longer does.
type HandoverChanged struct{ HandedOver bool }

// TookOver is sent when this process takes the requests that came to another process of this node until now.
type TookOver struct {
	State *HandoverState // what the other process has learned; nil: unknown
}

// CordonChanged is sent when an operator has taken an endpoint out of service, or put it back.
type CordonChanged struct {
	Endpoint EndpointID
	Cordoned bool
	At       time.Duration // when the operator did, on the Balancer's clock
}

func (EndpointsListed) isEvent()    {}
func (DiscoveryFailed) isEvent()    {}
func (RequestArrived) isEvent()     {}
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
