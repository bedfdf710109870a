package afsettings

import (
	"strings"

	"github.com/go-faster/errors"
)

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	InvalidSettings ErrorKind = iota // invalid settings
)

// Error reports all faults of the settings together.
type Error struct {
	// Op is the verb whose settings are invalid.
	Op   string
	Kind ErrorKind
	// Faults are messages that begin with the names of the settings concerned.
	Faults []string
}

// Error returns the operation and the kind, then one line for each fault.
func (e *Error) Error() string {
	return e.Op + ": " + e.Kind.String() + ":\n  " + strings.Join(e.Faults, "\n  ")
}

// IsKind reports whether err is an Error of the kind.
func IsKind(err error, kind ErrorKind) bool {
	e, ok := errors.Into[*Error](err)
	return ok && e.Kind == kind
}
