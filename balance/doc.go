// Package balance holds the decisions of an HTTP load balancer that runs as many instances that share nothing: which
// endpoint gets a request, when a request is rejected or retried, and what an endpoint in slow start may get.
//
// A node builds one Balancer with New and feeds it every event that the node sees, in order, through Handle. Handle
// appends the actions to carry out, in order, to the slice it is given. The package has no clock, no goroutine and no
// I/O: time is whatever the caller passes, and the same events with the same seed give the same actions.
//
// The caller owes: events in the order in which they happened, with a time that never goes back (an earlier one is
// taken as the last one); exactly one AttemptEnded for each Forward; a TimerFired for each SetTimer, at its time or
// soon after; and a fresh Balancer, with the endpoint list again, after a restart of the node. A Balancer must not be
// used from two goroutines at once. Events that name a request, attempt, timer or endpoint that the Balancer does not
// know are ignored.
//
// Each rule has a file: a request's way stands in request.go, the choice of its endpoint in selection.go, the bound
// beyond which it is rejected in admission.go, and when it may be sent again in retry.go. Durations inside the package
// are time.Duration, or float64 seconds with a name that ends in Seconds; loads and queues are numbers of requests.
package balance
