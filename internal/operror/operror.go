// Package operror defines the errors that operators see: each kind has a stable code, an HTTP status, a meaning and a
// remedy. A package declares its kinds with Define; docs/oncall.md lists them all, and a test compares the two.
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
	Status  int    // of the HTTP answer that carries the error
}

// Error is an error of a Kind. Errors of the same code match by errors.Is, whatever their subject and cause.
type Error struct {
	Kind
	Subject string // what the operation failed on; may be empty
	Cause   error  // may be nil
}

// catalog holds the kinds of every package in the program, in the order of their definition.
var catalog []Kind

// Define adds a kind of error to the catalog and returns its error without a subject. It is to be called from
// package-level variable declarations only: the catalog is not safe for concurrent use.
func Define(code string, status int, meaning, remedy string) *Error {
	kind := Kind{Code: code, Meaning: meaning, Remedy: remedy, Status: status}
	catalog = append(catalog, kind)
	return &Error{Kind: kind}
}

// Kinds returns every kind of error that the packages of this program define.
func Kinds() []Kind { return slices.Clone(catalog) }

// Of returns an error of the same kind with a subject and a cause, which may be nil.
func (e *Error) Of(subject string, cause error) *Error {
	return &Error{Kind: e.Kind, Subject: subject, Cause: cause}
}

// Error joins the subject, the meaning and the cause.
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

// Find returns the first Error in err's chain.
func Find(err error) (*Error, bool) {
	var found *Error
	ok := errors.As(err, &found)
	return found, ok
}
