package simproto

import (
	"reflect"
	"testing"
	"time"

	"hitchvale/balance"
)

// Each event of the protocol is read as the matching event of package balance.
func TestEventsAreDecoded(t *testing.T) {
	const id = "5d3a91c4-a8f6-4e6c-a7c4-4415b8b3b467"
	for line, want := range map[string]balance.Event{
		"work_item node=node_3 requestId=" + id + " band=2 userGroup=1 routeKey=9007199254740991 timeBudget=240000000 " +
			"predicted=12000000 againByClient=1 mutates=0 shade=blue": balance.RequestArrived{Request: id, Class: 2,
			Tenant: 1, RoutingKey: 1<<53 - 1, HasRoutingKey: true, TimeLeft: 240 * time.Millisecond,
			ExpectedWork: 12 * time.Millisecond, ClientRetry: true},
		"work_item timeBudget=5 band=0 requestId=" + id + " node=node_3": balance.RequestArrived{Request: id, TimeLeft: 5},
		"bell node=node_3 mark=77":                                       balance.TimerFired{ID: 77},
		"client_gone node=node_3 requestId=" + id:                        balance.ClientDisconnected{Request: id},
		"first node=node_3 requestId=" + id + " backend=4294967295 attempt=1 spent=7": balance.StreamStarted{
			Request: id, Endpoint: 4294967295, Attempt: 1, Elapsed: 7},
		"from_peer node=node_3 by=1 raw=aGkgNw==": balance.PeerMessage{Peer: 1, Payload: []byte("hi 7")},
		"from_peer node=node_3 by=1 raw=-":        balance.PeerMessage{Peer: 1},
		"probe_result node=node_3 backend=7 spent=9 status=delivered load=active:3.5,avg_ms:12,x9:1": balance.HealthChecked{
			Endpoint: 7, Elapsed: 9, Load: balance.Load{Has: balance.HasActive | balance.HasAvgMs, Active: 3.5, AvgMs: 12}},
		"probe_result node=node_3 backend=7 spent=9 status=expired": balance.HealthChecked{Endpoint: 7, Elapsed: 9,
			Status: balance.StatusTimedOut},
		"answer node=node_3 requestId=" + id + " spent=18500000 backend=51530247 attempt=0 noMore=1 " +
			"status=dropped": balance.AttemptEnded{Request: id, Elapsed: 18500 * time.Microsecond,
			Endpoint: 51530247, Final: true, Status: balance.StatusConnectionLost},
	} {
		m := readOne(t, line)
		if m.Kind != NodeEvent || m.Node != "node_3" || !reflect.DeepEqual(m.Event, want) {
			t.Errorf("%s\n got %+v\nwant %+v", line, m.Event, want)
		}
	}
}

// Each status name is read as its Status, and only three of them prove that the attempt never ran.
func TestStatusNamesAreDecoded(t *testing.T) {
	names := []string{"delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"}
	for i, name := range names {
		m := readOne(t, "probe_result node=n backend=1 spent=1 status="+name)
		status := m.Event.(balance.HealthChecked).Status
		if status != balance.Status(i) {
			t.Errorf("%s reads as status %d, want %d", name, status, i)
		}
		proves := name == "shed" || name == "dial_failed" || name == "unused"
		if status.NeverRan() != proves {
			t.Errorf("%s: NeverRan is %v, want %v", name, !proves, proves)
		}
	}
}
