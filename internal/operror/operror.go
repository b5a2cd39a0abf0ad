// Package operror is what the errors of the product's packages are made of: each has a type of its own in its package,
// a stable code, what failed, on what, and what an operator can do about it. The table in docs/oncall.md is checked
// against them.
package operror

import (
	"errors"
	"fmt"
)

// Entry is one kind of error that a package gives.
type Kind struct {
	Code    string // stable, such as "registry.unknown-member"
	Meaning string // what failed
	Remedy  string // what an operator can do
	Status  int    // of the HTTP answer that tells of it
}

// Described is implemented by every error of this kind.
type Described interface {
	error
	Describe() (e Kind, on string)
}

// Error is an error of the package whose marker type is P; each package names its own type by it, so that errors.As
// tells errors of one package from those of another. Values with the same code match by errors.Is.
type Error[P any] struct {
	Kind
	Subject string // what it failed on; may be empty
	Cause   error  // may be nil
}

// Error words the error with what it failed on and its cause.
func (e *Error[P]) Error() string {
	text := e.Meaning
	if e.Subject != "" {
		text = e.Subject + ": " + text
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap gives the cause.
func (e *Error[P]) Unwrap() error { return e.Cause }

// Is tells whether target is of the same package and code.
func (e *Error[P]) Is(target error) bool {
	t, ok := target.(*Error[P])
	return ok && t.Code == e.Code
}

// Describe gives the kind of the error and what it failed on.
func (e *Error[P]) Describe() (Kind, string) { return e.Kind, e.Subject }

// Of is the same error on something, by a cause that may be nil.
func (e *Error[P]) Of(on string, cause error) *Error[P] {
	return &Error[P]{Kind: e.Kind, Subject: on, Cause: cause}
}

// Set is the kinds of errors of one package.
type Set[P any] struct{ entries []Kind }

// Define adds a kind to the set and gives its error.
func (s *Set[P]) Define(code string, status int, means, remedy string) *Error[P] {
	e := Kind{Code: code, Meaning: means, Remedy: remedy, Status: status}
	s.entries = append(s.entries, e)
	return &Error[P]{Kind: e}
}

// Entries are the kinds in the order of their definition.
func (s *Set[P]) Entries() []Kind { return s.entries }

// Find gives the described error in err's chain.
func Find(err error) (Described, bool) {
	var d Described
	ok := errors.As(err, &d)
	return d, ok
}
