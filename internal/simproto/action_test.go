package simproto

import (
	"testing"
	"time"

	"hitchvale/balance"
)

// WatchEndpoints and UnwatchEndpoints are written as the same message with another value.
func TestSubscriptionActions(t *testing.T) {
	for kind, want := range map[balance.ActionKind]string{
		balance.WatchEndpoints:   "active=1",
		balance.UnwatchEndpoints: "active=0",
	} {
		if got := string(AppendAction(nil, "n", &balance.Action{Kind: kind})); got != "subscribe node=n "+want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Each action is written as one line of the protocol.
func TestActionsAreEncodedAsLines(t *testing.T) {
	for want, a := range map[string]balance.Action{
		"call_out node=node_3 requestId=r backend=51530247 limit=80000000": {Kind: balance.Forward, Request: "r",
			Endpoint: 51530247, Timeout: 80 * time.Millisecond},
		"call_out node=node_3 requestId=r backend=1": {Kind: balance.Forward, Request: "r", Endpoint: 1},
		"abandon node=node_3 requestId=r attempt=2":  {Kind: balance.CancelAttempt, Request: "r", Attempt: 2},
		"decline node=node_3 requestId=r":            {Kind: balance.Reject, Request: "r"},
		"decline node=node_3 requestId=r retryIn=5":  {Kind: balance.Reject, Request: "r", RetryAfter: 5},
		"give_up node=node_3 requestId=r":            {Kind: balance.Fail, Request: "r"},
		"test node=node_3 backend=7":                 {Kind: balance.HealthCheck, Endpoint: 7},
		"schedule node=node_3 in=500000000 mark=77":  {Kind: balance.SetTimer, Delay: 500 * time.Millisecond, TimerID: 77},
		"subscribe node=node_3 active=1":             {Kind: balance.WatchEndpoints},
		"query_all node=node_3":                      {Kind: balance.FetchEndpoints},
		"say node=node_3 target=all raw=aGkgNw==": {Kind: balance.SendToPeer, Peer: balance.AllPeers,
			Payload: []byte("hi 7")},
		"say node=node_3 target=2 raw=-":                {Kind: balance.SendToPeer, Peer: 2},
		"disconnect node=node_3 backend=7":              {Kind: balance.CloseIdle, Endpoint: 7},
		"say_log node=node_3 bodyText=two servers gone": {Kind: balance.Log, Text: "two servers\ngone"},
	} {
		if got := string(AppendAction(nil, "node_3", &a)); got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
