// Package simproto reads and writes the line protocol between the simulator and the adapter, and maps the protocol's
// names to those of package balance. It decides nothing. Malformed lines are errors that name the line and the field;
// unknown messages, fields and settings are skipped.
package simproto

import (
	"time"

	"hitchvale/balance"
)

// Kind is what a message is.
type Kind uint8

// Kinds of messages, with the fields of Message that each one uses beside Line and Name.
const (
	BatchStarted Kind = iota // At
	BatchEnded               // the reply is due now
	NodeStarted              // Node, Seed, Config
	NodeStopped              // Node
	EndpointList             // ListNumber, Endpoints
	NodeEvent                // Node, Event; ListNumber if UsesList
	Unknown                  // a message that this version does not know
)

// MaxListNumber is the highest number of a list.
const MaxListNumber = 15

// Message is one message from the simulator.
type Message struct {
	Kind       Kind
	Line       int    // of the input, from 1
	Name       string // in the protocol
	Node       string
	At         time.Duration
	Seed       uint64
	Config     balance.Config
	ListNumber int
	UsesList   bool // Event is an EndpointsListed whose endpoints are those of list ListNumber
	Endpoints  []balance.Endpoint
	Event      balance.Event
}
