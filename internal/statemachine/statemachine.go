// Package statemachine is the interface between the registry's replicated log and the kinds of records kept in it. A kind is
// a machine of its own, deterministic, with its own commands and its own part of the snapshot; the registry's State
// dispatches commands to machines and owns the revision. See docs/ROADMAP.md, "A fleet that settles its own affairs".
package statemachine

// Command is one write. In the log it is JSON: its operation as "op" beside the fields of its own type.
type Command interface{ Operation() string }

// Machine is one kind of records. Apply and Decode are called under the replica's lock, in the log's order, and must
// depend on nothing but the machine's state and the command: the same log gives the same state on every replica.
type Machine interface {
	// Kind names the machine's part of the snapshot.
	Kind() string
	// Commands makes an empty command, to decode into, for each operation that the machine takes.
	Commands() map[string]func() Command
	// Apply carries out a command. next is the revision that the state has once the command has changed something;
	// an error changes nothing.
	Apply(c Command, next int64) (Outcome, error)
	// Encode writes the machine's part of a snapshot (JSON), Decode replaces the state with one taken at a revision.
	Encode() ([]byte, error)
	Decode(text []byte, revision int64) error
}

// Outcome is what a command did.
type Outcome struct {
	Unchanged bool // what was asked for is so already: the revision stays
	Value     any  // what the writer is answered; may be nil
}
