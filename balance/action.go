package balance

import "time"

// ActionKind is what to do.
type ActionKind uint8

// Kinds of actions, with the fields of Action that each one uses. The Balancer emits neither CancelAttempt,
// UnwatchEndpoints, FetchEndpoints, SendToPeer and CloseIdle nor a Timeout yet; the simulator's protocol has them, and
// every host carries them out.
const (
	Forward          ActionKind = iota // Request, Endpoint, Attempt, Timeout, StartWithin: launch the next attempt
	CancelAttempt                      // Request, Attempt: stop waiting for an attempt
	Reject                             // Request, RetryAfter: the final answer; trying again is harmless
	Fail                               // Request: the final answer; it promises nothing
	HealthCheck                        // Endpoint
	SetTimer                           // Delay, TimerID
	WatchEndpoints                     // subscribe to changes of the endpoint list
	UnwatchEndpoints                   // end the subscription
	FetchEndpoints                     // read the complete list once
	SendToPeer                         // Peer, Payload
	CloseIdle                          // Endpoint: close idle connections to it
	Log                                // Text
)

// AllPeers as Action.Peer addresses every peer.
const AllPeers = -1

// Action is one thing for the node to carry out. Attempts of a request are numbered 0, 1, 2 ... in the order of its
// Forward actions.
type Action struct {
	Kind        ActionKind
	Request     string
	Endpoint    EndpointID
	Attempt     int
	Timeout     time.Duration // of the attempt; 0: until the client gives up
	StartWithin time.Duration // the attempt's first byte has to go within this time, or not at all; 0: any time
	RetryAfter  time.Duration // advice to the client; 0: none
	Delay       time.Duration // until the timer fires
	TimerID     uint64
	Peer        int // index of an instance, or AllPeers
	Payload     []byte
	Text        string
}

// forward launches an attempt of a request at an endpoint. Its first byte has to go within startWithin; 0: any time.
func forward(request string, endpoint EndpointID, attempt int, startWithin time.Duration) Action {
	return Action{Kind: Forward, Request: request, Endpoint: endpoint, Attempt: attempt, StartWithin: startWithin}
}

// reject is the final answer that promises the client that trying again is harmless, after retryAfter.
func reject(request string, retryAfter time.Duration) Action {
	return Action{Kind: Reject, Request: request, RetryAfter: retryAfter}
}

// fail is the final answer that promises nothing.
func fail(request string) Action { return Action{Kind: Fail, Request: request} }

// checkHealth sends a health check to an endpoint.
func checkHealth(endpoint EndpointID) Action { return Action{Kind: HealthCheck, Endpoint: endpoint} }

// startTimer has a TimerFired with an ID come after a delay.
func startTimer(delay time.Duration, id uint64) Action {
	return Action{Kind: SetTimer, Delay: delay, TimerID: id}
}

// watchEndpoints subscribes to changes of the endpoint list.
func watchEndpoints() Action { return Action{Kind: WatchEndpoints} }

// logText writes a line of the log.
func logText(text string) Action { return Action{Kind: Log, Text: text} }
