// Package statemachine defines the interface between the registry's replicated log and the state machines to which the
// log's entries are applied. Each state machine owns the records of one kind, the commands that change them, and their
// section of the snapshot. The registry's State dispatches commands to the state machines and owns the revision.
package statemachine

// Operation names the effect of a command. Its value is stored in the log with every command and must not change.
type Operation string

// Command is one write. The log stores it as a JSON object that holds its operation as "op" and the fields of its type.
type Command interface {
	// Operation returns the command's operation, which determines the state machine that applies the command.
	Operation() Operation
}

// Machine is a deterministic state machine for the records of one kind. Apply and Decode are called in the order of the
// log, while the replica holds its lock. Their effect must depend only on the machine's state and on the arguments, so
// that the same log produces the same state on every replica.
type Machine interface {
	// Kind returns the name of the machine's section in a snapshot. It must not change.
	Kind() string
	// Commands returns, for each operation of the machine, a function that returns an empty command to decode into.
	Commands() map[Operation]func() Command
	// Apply executes a command. nextRevision is the revision that the state has after the command, if the command
	// changes the state. A command that fails must not change the state.
	Apply(c Command, nextRevision int64) (Outcome, error)
	// Encode returns the machine's section of a snapshot as JSON.
	Encode() ([]byte, error)
	// Decode replaces the machine's state with a section of a snapshot that was taken at the given revision.
	Decode(section []byte, revision int64) error
}

// Outcome is the result of a command that succeeded.
type Outcome struct {
	// Unchanged reports that the state already was as the command requests. The revision then stays the same.
	Unchanged bool
	// Value is the record that the response to the writer contains; nil if there is none.
	Value any
}

// CommandConstructors returns the result of Machine.Commands for operations that share one type of command. empty must
// return a new empty command at each call.
func CommandConstructors(empty func() Command, operations ...Operation) map[Operation]func() Command {
	commands := make(map[Operation]func() Command, len(operations))
	for _, operation := range operations {
		commands[operation] = empty
	}
	return commands
}
