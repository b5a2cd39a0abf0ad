// Package balance makes the decisions of an HTTP load balancer that runs as many instances which share no state: which
// endpoint gets a request, when a request is rejected or retried, and how much work an endpoint in slow start may get.
//
// A node builds one Balancer with New and passes every event that the node sees, in order, to Handle. Handle appends
// the actions that the node has to carry out, in order, to the slice that it is given. The package has no clock, no
// goroutine and no I/O: the caller passes the time, and the same events with the same seed give the same actions.
//
// The caller must pass events in the order in which they happened, with a time that never goes back; a time before the
// last event's time is replaced by the last event's time. The caller must pass exactly one AttemptEnded for each
// Forward, and a TimerFired for each SetTimer at its time or soon after. After a restart of the node the caller must
// build a new Balancer and pass the endpoint list again. A Balancer must not be used from two goroutines at the same
// time. Events that name a request, attempt, timer or endpoint that the Balancer does not know are ignored.
//
// Each rule has a file: request.go has the life cycle of a request, selection.go the choice of its endpoint,
// admission.go the bound on the queue beyond which a request is rejected, and retry.go the conditions for another
// attempt. Durations inside the package are time.Duration, or float64 seconds with a name that ends in Seconds; loads
// and queues are numbers of requests.
package balance
