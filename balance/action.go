package balance

import "time"

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions, with the fields of Action that each kind uses. The Balancer does not emit
// UnwatchEndpoints, FetchEndpoints, SendToPeer or CloseIdle yet, and sets no Timeout. It emits CancelAttempt only for
// incomplete requests, which the simulator does not have. The simulator's protocol has all of them, and nodes carry
// them out.
const (
	Forward          ActionKind = iota // Request, Endpoint, Attempt, Timeout, StartWithin: start the next attempt
	CancelAttempt                      // Request, Attempt: end an attempt now; its AttemptEnded follows
	Reject                             // Request, RetryAfter: the final answer; it tells the client that a retry is safe
	Fail                               // Request: the final answer; a retry may not be safe
	HealthCheck                        // Endpoint: send a health check
	SetTimer                           // Delay, TimerID: pass a TimerFired after the delay
	WatchEndpoints                     // no fields: subscribe to changes of the endpoint list
	UnwatchEndpoints                   // no fields: end the subscription
	FetchEndpoints                     // no fields: read the complete list once
	SendToPeer                         // Peer, Payload: send a message to another instance
	CloseIdle                          // Endpoint: close the idle connections to it
	Log                                // Text: write a log line for the operator
)

// AllPeers is the value of Action.Peer that addresses every peer.
const AllPeers = -1

// Action is an instruction that the node carries out. The attempts of a request are numbered 0, 1, 2 ... in the order
// of its Forward actions.
type Action struct {
	Kind        ActionKind
	Request     string
	Endpoint    EndpointID
	Attempt     int
	Timeout     time.Duration // longest duration of the attempt; 0: until the client gives up
	StartWithin time.Duration // the attempt is sent only if its first byte leaves within this time; 0: no limit
	RetryAfter  time.Duration // the Retry-After for the client; 0: none
	Delay       time.Duration // time until the timer fires
	TimerID     uint64
	Peer        int // index of the instance, or AllPeers
	Payload     []byte
	Text        string
}

// forward returns the action that sends an attempt of a request to an endpoint. The attempt is sent only if its first
// byte leaves within startWithin; 0 means no limit.
func forward(request string, endpoint EndpointID, attempt int, startWithin time.Duration) Action {
	return Action{Kind: Forward, Request: request, Endpoint: endpoint, Attempt: attempt, StartWithin: startWithin}
}

// cancelAttempt returns the action that ends an attempt of a request.
func cancelAttempt(request string, attempt int) Action {
	return Action{Kind: CancelAttempt, Request: request, Attempt: attempt}
}

// reject returns the final answer that tells the client that a retry after retryAfter is safe.
func reject(request string, retryAfter time.Duration) Action {
	return Action{Kind: Reject, Request: request, RetryAfter: retryAfter}
}

// fail returns the final answer that does not tell the client whether a retry is safe.
func fail(request string) Action { return Action{Kind: Fail, Request: request} }

// checkHealth returns the action that sends a health check to an endpoint.
func checkHealth(endpoint EndpointID) Action { return Action{Kind: HealthCheck, Endpoint: endpoint} }

// startTimer returns the action that makes the node pass a TimerFired with the id after the delay.
func startTimer(delay time.Duration, id uint64) Action {
	return Action{Kind: SetTimer, Delay: delay, TimerID: id}
}

// watchEndpoints returns the action that subscribes to changes of the endpoint list.
func watchEndpoints() Action { return Action{Kind: WatchEndpoints} }

// logText returns the action that writes a log line.
func logText(text string) Action { return Action{Kind: Log, Text: text} }
