package balance

import (
	"testing"
	"time"
)

// withIncompleteRequest returns a Balancer with an incomplete request, and the endpoint that has it.
func withIncompleteRequest(t *testing.T) (*Balancer, *endpointState) {
	t.Helper()
	b, err := New(Config{Classes: []Class{{LatencyObjective: time.Second, Deadline: time.Second}}, Limits: Limits{MaxAttempts: 3}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(time.Second, EndpointsListed{Kind: CompleteList, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}}, nil)
	out := b.Handle(time.Second, RequestArrived{Request: "a", TimeLeft: time.Second, Incomplete: true}, nil)
	for _, a := range out {
		if a.Kind == Forward {
			return b, b.endpoints[a.Endpoint]
		}
	}
	t.Fatal("not sent")
	return nil, nil
}

// While a request comes in its endpoint has no more to do, and its time has not begun.
func TestIncompleteRequestCountsFromItsLastByte(t *testing.T) {
	b, s := withIncompleteRequest(t)
	if s.inFlight != 0 || b.silenceSeconds(s) != 0 {
		t.Errorf("in flight %v", s.inFlight)
	}
	at := 9 * time.Second // far beyond what its client waits
	out := b.Handle(at, RequestWritten{Request: "a", TimeLeft: time.Second}, nil)
	if s.inFlight != 1 {
		t.Errorf("in flight %v once it is written", s.inFlight)
	}
	ends := false
	for _, a := range out {
		ends = ends || a.Kind == SetTimer && a.Delay == time.Second
	}
	if !ends {
		t.Errorf("nothing ends it at its deadline: %+v", out)
	}
	budget := b.queueBudget.fraction
	b.Handle(at+20*time.Millisecond, AttemptEnded{Request: "a", Endpoint: s.ID, Elapsed: 20 * time.Millisecond,
		Final: true}, nil)
	if s.inFlight != 0 || b.queueBudget.fraction < budget || s.meanLatencySeconds > 0.2 {
		t.Errorf("in flight %v, queue budget %v, mean latency %v: its client's time was taken for the endpoint's", s.inFlight, b.queueBudget.fraction, s.meanLatencySeconds)
	}
}

// A request whose body is used up is rejected; one that can be replayed is retried.
func TestRequestThatIsNotReplayableIsNotRetried(t *testing.T) {
	for _, notReplayable := range []bool{false, true} {
		b, s := withIncompleteRequest(t)
		b.retryBudget.retries = maxRetryBudget
		sent, rejected := 0, 0
		for _, a := range b.Handle(2*time.Second, AttemptEnded{Request: "a", Endpoint: s.ID, Status: StatusConnectFailed,
			NotReplayable: notReplayable}, nil) {
			switch a.Kind {
			case Forward:
				sent++
			case Reject:
				rejected++
			}
		}
		if s.inFlight != 0 || (sent == 0) != notReplayable || (rejected == 1) != notReplayable {
			t.Errorf("not replayable %v: sent %d times, rejected %d, in flight %v", notReplayable, sent, rejected, s.inFlight)
		}
	}
}
