package balance

import "time"

// EndpointID names an endpoint. It is opaque: zone and age do not follow from it.
type EndpointID uint32

// Phase is the state of an endpoint in the list.
type Phase uint8

// Phases of an endpoint.
const (
	Ready    Phase = iota
	Draining       // finishes what it has, and must get nothing new
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	Zone        int
	Cell        int
	MachineKind int
	Weight      float64       // meaning by Config.Weights
	StartedAt   time.Duration // clock time of its process's last start; 0: long ago
	Phase       Phase
}

// Status is how an attempt or a health check ended.
type Status uint8

// Statuses of attempts and health checks.
const (
	StatusSucceeded        Status = iota
	StatusApplicationError        // answered with an error; it may have run
	StatusRejected                // sent back unseen: the queue is full, or the endpoint drains
	StatusTimedOut                // no answer in time; it may have run, or may yet
	StatusNotDelivered            // no connection came up, or it broke before the last byte of the request
	StatusConnectionLost          // the connection broke with the attempt in flight; it may have run
	StatusCancelled               // given up by this node; it may have run
	StatusNotSent
)

// NeverRan reports whether the status proves that the attempt never ran.
func (s Status) NeverRan() bool {
	return s == StatusRejected || s == StatusNotDelivered || s == StatusNotSent
}

// Load is a load report.
type Load struct {
	Has     LoadField // the values that it carries
	Active  float64   // requests held
	Waiting float64   // requests queued
	CPU     float64   // fraction of CPU in use
	AvgMs   float64   // recent service time in milliseconds
	RPS     float64   // requests served a second
	ErrRPS  float64   // errors a second
}

// LoadField is a set of the values in a Load.
type LoadField uint8

// Values of a load report.
const (
	HasActive LoadField = 1 << iota
	HasWaiting
	HasCPU
	HasAvgMs
	HasRPS
	HasErrRPS
)

// EndpointLoad is what a node has found of one endpoint.
type EndpointLoad struct {
	ID            EndpointID
	QueueEstimate float64 // requests of all nodes there
	InFlight      float64 // this node's attempts there
	FailureRate   float64 // 0 to 1
}
