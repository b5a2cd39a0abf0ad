// Package operror defines the errors that operators see. Each kind of error has a stable code, an HTTP status, a
// meaning and a remedy. A package declares its kinds with Define. docs/oncall.md lists all kinds, and a test compares
// the page with them.
package operror

import (
	"errors"
	"fmt"
	"slices"
)

// Kind describes one kind of error.
type Kind struct {
	Code    string // stable and unique, such as "registry.unknown-member"
	Meaning string // what failed
	Remedy  string // what an operator can do
	Status  int    // status of the HTTP response that reports the error
}

// Error is an error of a Kind. errors.Is matches errors of the same code, whatever their subjects and causes are.
type Error struct {
	Kind
	Subject string // the thing on which the operation failed; may be empty
	Cause   error  // may be nil
}

// catalog has the kinds of all packages of the program, in the order of their definition.
var catalog []Kind

// Define adds a kind of error to the catalog and returns an error of this kind without a subject. It must be called
// from package-level variable declarations only, because the catalog is not safe for concurrent use.
func Define(code string, status int, meaning, remedy string) *Error {
	kind := Kind{Code: code, Meaning: meaning, Remedy: remedy, Status: status}
	catalog = append(catalog, kind)
	return &Error{Kind: kind}
}

// Kinds returns the kinds of error of all packages of the program.
func Kinds() []Kind { return slices.Clone(catalog) }

// Of returns an error of the same kind with the given subject and cause. The subject may be empty and the cause nil.
func (e *Error) Of(subject string, cause error) *Error {
	return &Error{Kind: e.Kind, Subject: subject, Cause: cause}
}

// Error returns the subject, the meaning and the cause, separated by colons.
func (e *Error) Error() string {
	text := e.Meaning
	if e.Subject != "" {
		text = e.Subject + ": " + text
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an error of the same code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// Find returns the first *Error in the chain of err. It returns false if there is none.
func Find(err error) (*Error, bool) {
	var found *Error
	ok := errors.As(err, &found)
	return found, ok
}
