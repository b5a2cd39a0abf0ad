package balance

import (
	"testing"
	"time"
)

// openBalancer has one server and one open request out at it.
func openBalancer(t *testing.T) (*Balancer, *endpointState) {
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

// While a request comes in its server has no more to do, and its time has not begun.
func TestOpenRequestCountsFromItsLastByte(t *testing.T) {
	b, s := openBalancer(t)
	if s.inFlight != 0 || b.silenceSeconds(s) != 0 {
		t.Errorf("out %v", s.inFlight)
	}
	at := 9 * time.Second // far beyond what its client waits
	out := b.Handle(at, RequestWritten{Request: "a", TimeLeft: time.Second}, nil)
	if s.inFlight != 1 {
		t.Errorf("out %v once it is written", s.inFlight)
	}
	ends := false
	for _, a := range out {
		ends = ends || a.Kind == SetTimer && a.Delay == time.Second
	}
	if !ends {
		t.Errorf("nothing ends it at its deadline: %+v", out)
	}
	part := b.queueBudget.fraction
	b.Handle(at+20*time.Millisecond, AttemptEnded{Request: "a", Endpoint: s.ID, Elapsed: 20 * time.Millisecond,
		Final: true}, nil)
	if s.inFlight != 0 || b.queueBudget.fraction < part || s.meanLatencySeconds > 0.2 {
		t.Errorf("out %v, part %v, time %v: its client's time was taken for the server's", s.inFlight, b.queueBudget.fraction, s.meanLatencySeconds)
	}
}

// What is used up is not sent again; what is not may be.
func TestSpoiltRequestIsNotSentAgain(t *testing.T) {
	for _, spoilt := range []bool{false, true} {
		b, s := openBalancer(t)
		b.retryBudget.retries = maxRetryBudget
		sent, refused := 0, 0
		for _, a := range b.Handle(2*time.Second, AttemptEnded{Request: "a", Endpoint: s.ID, Status: StatusConnectFailed,
			NotReplayable: spoilt}, nil) {
			switch a.Kind {
			case Forward:
				sent++
			case Reject:
				refused++
			}
		}
		if s.inFlight != 0 || (sent == 0) != spoilt || (refused == 1) != spoilt {
			t.Errorf("spoilt %v: sent %d times, refused %d, out %v", spoilt, sent, refused, s.inFlight)
		}
	}
}
