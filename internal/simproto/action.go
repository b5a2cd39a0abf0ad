package simproto

import (
	"encoding/base64"
	"strconv"
	"strings"

	"hitchvale/balance"
)

// actionNames are the protocol's names of the kinds of actions.
var actionNames = [...]string{
	balance.Forward:          "call_out",
	balance.CancelAttempt:    "abandon",
	balance.Reject:           "decline",
	balance.Fail:             "give_up",
	balance.HealthCheck:      "test",
	balance.SetTimer:         "schedule",
	balance.WatchEndpoints:   "subscribe",
	balance.UnwatchEndpoints: "subscribe",
	balance.FetchEndpoints:   "query_all",
	balance.SendToPeer:       "say",
	balance.CloseIdle:        "disconnect",
	balance.Log:              "say_log",
}

// lineBreakReplacer replaces the line breaks of a text, because a text field ends at the end of its line.
var lineBreakReplacer = strings.NewReplacer("\n", " ", "\r", " ")

// replyLine is a line of a reply that is being built.
type replyLine []byte

// text appends a field with a text value.
func (r *replyLine) text(key, value string) {
	*r = append(append(*r, ' '), key...)
	*r = append(append(*r, '='), value...)
}

// number appends a field with an integer value.
func (r *replyLine) number(key string, value int64) {
	*r = append(append(*r, ' '), key...)
	*r = strconv.AppendInt(append(*r, '='), value, 10)
}

// AppendAction appends an action of a node to b, as a line of a reply.
func AppendAction(b []byte, node string, a *balance.Action) []byte {
	line := replyLine(append(b, actionNames[a.Kind]...))
	line.text("node", node)
	switch a.Kind {
	case balance.Forward:
		line.text("requestId", a.Request)
		line.number("backend", int64(a.Endpoint))
		if a.Timeout != 0 {
			line.number("limit", int64(a.Timeout))
		}
	case balance.CancelAttempt:
		line.text("requestId", a.Request)
		line.number("attempt", int64(a.Attempt))
	case balance.Reject:
		line.text("requestId", a.Request)
		if a.RetryAfter > 0 {
			line.number("retryIn", int64(a.RetryAfter))
		}
	case balance.Fail:
		line.text("requestId", a.Request)
	case balance.HealthCheck, balance.CloseIdle:
		line.number("backend", int64(a.Endpoint))
	case balance.SetTimer:
		line.number("in", int64(a.Delay))
		line.number("mark", int64(a.TimerID))
	case balance.WatchEndpoints:
		line.number("active", 1)
	case balance.UnwatchEndpoints:
		line.number("active", 0)
	case balance.SendToPeer:
		line.peerMessage(a)
	case balance.Log:
		line.text("bodyText", lineBreakReplacer.Replace(a.Text))
	}
	return append(line, '\n')
}

// peerMessage appends the fields of a SendToPeer.
func (r *replyLine) peerMessage(a *balance.Action) {
	if a.Peer == balance.AllPeers {
		r.text("target", "all")
	} else {
		r.number("target", int64(a.Peer))
	}
	if len(a.Payload) == 0 {
		r.text("raw", "-")
	} else {
		r.text("raw", base64.StdEncoding.EncodeToString(a.Payload))
	}
}

// AppendAck appends the line that ends a reply to b.
func AppendAck(b []byte) []byte { return append(b, "ack\n"...) }
