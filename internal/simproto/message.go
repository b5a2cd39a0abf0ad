// Package simproto reads and writes the line protocol between the simulator and its adapter, the command simhost, and
// maps the protocol's names to the types of package balance. It makes no decisions. A malformed line is an error that
// names the line and the field. Unknown fields and settings are skipped; an unknown message is returned as Unknown.
package simproto

import (
	"time"

	"hitchvale/balance"
)

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages, with the fields of Message that each kind uses in addition to Line and Name.
const (
	BatchStarted Kind = iota // At
	BatchEnded               // no fields; the reply must be sent now
	NodeStarted              // Node, Seed, Config
	NodeStopped              // Node
	EndpointList             // ListNumber, Endpoints
	NodeEvent                // Node, Event; ListNumber if UsesList
	Unknown                  // a message that this version does not know
)

// MaxListNumber is the largest number of an endpoint list.
const MaxListNumber = 15

// Message is one message from the simulator.
type Message struct {
	Kind       Kind
	Line       int    // number of its line in the input, from 1
	Name       string // its name in the protocol
	Node       string
	At         time.Duration // time of the batch
	Seed       uint64
	Config     balance.Config
	ListNumber int
	UsesList   bool // Event is an EndpointsListed without endpoints; they are those of list ListNumber
	Endpoints  []balance.Endpoint
	Event      balance.Event
}
