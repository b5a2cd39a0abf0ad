// Package statemachine defines the interface between the registry's replicated log and the state machines that its
// entries are applied to. Each machine owns one kind of records, the commands that change them and their section of the
// snapshot; the registry's State dispatches commands to the machines and owns the revision.
package statemachine

// Operation names what a command does. Its value is stored in the log with every command and must not change.
type Operation string

// Command is one write. In the log it is JSON: its operation as "op" beside the fields of its own type.
type Command interface {
	// Operation returns the operation that selects the machine to apply the command to.
	Operation() Operation
}

// Machine is a deterministic state machine over one kind of records. Apply and Decode are called under the replica's
// lock, in the log's order, and must depend on the machine's state and the command alone: the same log gives the same
// state on every replica.
type Machine interface {
	// Kind names the machine's section of the snapshot. It must not change.
	Kind() string
	// Commands returns, for each operation of the machine, a constructor of an empty command to decode into.
	Commands() map[Operation]func() Command
	// Apply executes a command. nextRevision is the revision of the state if the command changes something; a command
	// that fails changes nothing.
	Apply(c Command, nextRevision int64) (Outcome, error)
	// Encode returns the machine's section of a snapshot as JSON.
	Encode() ([]byte, error)
	// Decode replaces the state by a section of a snapshot that was taken at the given revision.
	Decode(section []byte, revision int64) error
}

// Outcome is the result of a command that did not fail.
type Outcome struct {
	// Unchanged reports that the state was already as requested: the revision stays.
	Unchanged bool
	// Value is the record that the writer gets in its answer; nil if there is none.
	Value any
}

// CommandConstructors returns the map that Machine.Commands wants for operations that share one type of command.
func CommandConstructors(empty func() Command, operations ...Operation) map[Operation]func() Command {
	commands := make(map[Operation]func() Command, len(operations))
	for _, operation := range operations {
		commands[operation] = empty
	}
	return commands
}
