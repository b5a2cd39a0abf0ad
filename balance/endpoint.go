package balance

import "time"

// EndpointID identifies an endpoint. It is opaque: neither the zone nor the age can be derived from it.
type EndpointID uint32

// Phase is the state of an endpoint in the list.
type Phase uint8

// Phases of an endpoint.
const (
	Ready    Phase = iota
	Draining       // finishes its requests and must get no new ones
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	Zone        int
	Cell        int
	MachineKind int
	Weight      float64       // Config.Weights gives its meaning
	StartedAt   time.Duration // last start of its process, on the Balancer's clock; 0: long ago
	Phase       Phase
}

// Status is how an attempt or a health check ended.
type Status uint8

// Statuses of attempts and health checks.
const (
	StatusSucceeded        Status = iota
	StatusApplicationError        // the endpoint answered with an error; the attempt may have run
	StatusRejected                // refused without being read: the queue is full, or the endpoint is draining
	StatusTimedOut                // no answer in time; the attempt may have run, or may still run
	StatusNotDelivered            // no connection was established, or it broke before the last byte of the request
	StatusConnectionLost          // the connection broke with the attempt in flight; the attempt may have run
	StatusCancelled               // this node gave the attempt up; it may have run
	StatusNotSent                 // this node did not send the attempt
)

// NeverRan reports whether the status proves that the attempt never ran.
func (s Status) NeverRan() bool {
	return s == StatusRejected || s == StatusNotDelivered || s == StatusNotSent
}

// Load is the load report of an endpoint.
type Load struct {
	Has     LoadField // the values that the report carries
	Active  float64   // requests that the endpoint holds
	Waiting float64   // requests in its queue
	CPU     float64   // fraction of CPU in use
	AvgMs   float64   // recent service time in milliseconds
	RPS     float64   // requests served a second
	ErrRPS  float64   // errors a second
}

// LoadField is a set of values of a Load.
type LoadField uint8

// The values of a load report.
const (
	HasActive LoadField = 1 << iota
	HasWaiting
	HasCPU
	HasAvgMs
	HasRPS
	HasErrRPS
)

// EndpointLoad is a node's view of the load of one endpoint.
type EndpointLoad struct {
	ID            EndpointID
	QueueEstimate float64 // estimated number of requests of all nodes at the endpoint
	InFlight      float64 // this node's attempts in flight
	FailureRate   float64 // 0 to 1
}
