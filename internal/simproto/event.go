package simproto

import (
	"fmt"
	"math"
	"strings"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

// The protocol's names of values, in the order of the values in package balance.
var (
	phaseNames  = []string{"ready", "draining", "gone"}
	statusNames = []string{"delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"}
)

// listKindNames are the protocol's names of the kinds of updates of the endpoint list. listKinds are the matching kinds
// of package balance; "refused" has none.
var (
	listKindNames = []string{"changes", "all", "remembered", "refused"}
	listKinds     = []balance.ListKind{balance.ListChanges, balance.CompleteList, balance.CachedList}
)

// refusedListKind is the index of "refused" in listKindNames. Such an update has no list.
const refusedListKind = 3

// maxRoutingKey is the largest integer that a float64 holds exactly.
const maxRoutingKey = 1<<53 - 1

// decodeEvent fills in m from the fields of an event. If the name of the message is not that of an event, the message
// becomes Unknown.
func decodeEvent(m *Message, f *fields) {
	m.Event = event(m, f)
	if m.Event == nil {
		m.Kind = Unknown
		return
	}
	m.Kind = NodeEvent
	m.Node = f.text("node")
}

// event reads the fields of an event; it returns nil if the name is unknown. It sets the list number of m if the event
// refers to a list.
func event(m *Message, f *fields) balance.Event {
	switch f.name {
	case "backends_changed":
		return endpointsListed(m, f)
	case "work_item":
		return requestArrived(f)
	case "first":
		return streamStarted(f)
	case "bell":
		return balance.TimerFired{ID: f.unsigned("mark", math.MaxInt64)}
	case "probe_result":
		return healthChecked(f)
	case "client_gone":
		return balance.ClientDisconnected{Request: f.text("requestId")}
	case "from_peer":
		return balance.PeerMessage{Peer: f.index("by"), Payload: f.bytes("raw")}
	case "answer":
		return attemptEnded(f)
	}
	return nil
}

// endpointsListed reads an update of the endpoint list. The endpoints are those of the list whose number it sets in m.
func endpointsListed(m *Message, f *fields) balance.Event {
	kind := f.oneOf("kind", listKindNames)
	f.unsigned("stamp", math.MaxInt64)
	if kind == refusedListKind {
		return balance.DiscoveryFailed{}
	}
	m.UsesList = true
	m.ListNumber = f.listNumber()
	return balance.EndpointsListed{Kind: listKinds[kind]}
}

func requestArrived(f *fields) balance.Event {
	e := balance.RequestArrived{
		Request:  f.text("requestId"),
		Class:    f.index("band"),
		TimeLeft: f.duration("timeBudget"),
	}
	f.optional(func() {
		e.Tenant = f.index("userGroup")
		e.ExpectedWork = f.duration("predicted")
		e.ClientRetry = f.flag("againByClient")
		e.Mutates = f.flag("mutates")
		e.HasRoutingKey = f.has("routeKey")
		if e.HasRoutingKey {
			e.RoutingKey = f.unsigned("routeKey", maxRoutingKey)
		}
	})
	return e
}

func streamStarted(f *fields) balance.Event {
	return balance.StreamStarted{
		Request:  f.text("requestId"),
		Endpoint: f.endpointID(),
		Attempt:  f.index("attempt"),
		Elapsed:  f.duration("spent"),
	}
}

func healthChecked(f *fields) balance.Event {
	return balance.HealthChecked{
		Endpoint: f.endpointID(),
		Elapsed:  f.duration("spent"),
		Status:   status(f),
		Load:     load(f),
	}
}

func attemptEnded(f *fields) balance.Event {
	e := balance.AttemptEnded{
		Request:  f.text("requestId"),
		Endpoint: f.endpointID(),
		Attempt:  f.index("attempt"),
		Elapsed:  f.duration("spent"),
		Status:   status(f),
		Load:     load(f),
	}
	f.optional(func() { e.Final = f.flag("noMore") })
	return e
}

func status(f *fields) balance.Status { return balance.Status(f.oneOf("status", statusNames)) }

// load reads a load report. Values with unknown names are skipped.
func load(f *fields) balance.Load {
	var l balance.Load
	if !f.has("load") {
		return l
	}
	s, _ := f.get("load")
	if s == "" || s == "-" {
		return l
	}
	// The order is that of siteconfig.LoadFieldNames.
	values := [...]*float64{&l.Active, &l.Waiting, &l.CPU, &l.AvgMs, &l.RPS, &l.ErrRPS}
	for _, pair := range strings.Split(s, ",") {
		name, value, ok := strings.Cut(pair, ":")
		if !ok {
			f.fail("load", fmt.Sprintf("%q is not name:value", pair))
			return l
		}
		for i, known := range siteconfig.LoadFieldNames {
			if known == name {
				*values[i] = f.parseNumber("load", value)
				l.Has |= 1 << i
			}
		}
	}
	return l
}
